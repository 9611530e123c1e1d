"""Constants of time that several packages share."""

MILLISECONDS_PER_SECOND = 1000.0
PAUSE_THRESHOLD_S = 0.5  # a longer time between two checks of a clock means that this process was paused
