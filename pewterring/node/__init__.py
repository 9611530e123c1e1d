"""Settings of one process of the tier."""
