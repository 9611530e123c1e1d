"""Membership among gateways without a leader: failure detection and dissemination (SWIM), without I/O."""
