"""Who is there: failure detection and dissemination among gatekeepers, without a leader. Free of I/O."""
