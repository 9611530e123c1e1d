"""The adapter that puts gatekeepers on the simulator's wire."""
