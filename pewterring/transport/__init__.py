"""Sockets of the serving tier: HTTP/1.1 over h11, JSON lines, datagrams."""
