"""Time constants shared by several packages."""

MILLISECONDS_PER_SECOND = 1000.0
PAUSE_THRESHOLD_S = 0.5  # a longer gap between two clock readings means that the process was paused
