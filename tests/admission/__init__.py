"""Admission without sockets."""
