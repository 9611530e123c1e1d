"""Batch jobs: replicated jobs and results, scheduling, and the store program."""
