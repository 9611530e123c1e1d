"""What a process tells of itself: log lines and metrics."""
