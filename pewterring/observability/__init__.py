"""Structured logs and metrics of a process."""
