"""Network transports of the serving tier: HTTP/1.1 on h11, JSON lines over TCP, and UDP datagrams."""
