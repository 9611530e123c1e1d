"""HTTP/1.1 without I/O: messages, incremental parsers, writers."""
