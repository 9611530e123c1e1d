"""Replicated log (Raft): a core without I/O and the driver that persists, sends and applies for it."""
