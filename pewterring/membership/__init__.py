"""Who is there: failure detection and dissemination among gateways, without a leader. Free of I/O."""
