"""Settings of one process of the serving tier, read from its settings file."""
