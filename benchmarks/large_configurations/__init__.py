"""Plays orders of several megabytes on real processes: `python -m benchmarks.large_configurations --help`."""
