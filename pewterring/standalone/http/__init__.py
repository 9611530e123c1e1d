"""HTTP/1.1 without I/O: message types, incremental parsers and serializers."""
