"""Routing without sockets."""
