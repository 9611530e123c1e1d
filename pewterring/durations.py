"""Figures of time that several parts of the serving tier share."""

MILLISECONDS_A_SECOND = 1000.0
LATE_CHECK_S = 0.5  # a longer pause between checks of a clock means that this process itself was held up
