"""Replicated log (Raft): a core without I/O, and the driver that does its I/O and applies entries."""
