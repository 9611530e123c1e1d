"""Golden files: bytes on the wire and on disk that must stay the same, whatever the code is called."""
