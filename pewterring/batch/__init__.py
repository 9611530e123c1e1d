"""Batch jobs: the replicated state of jobs and results, the scheduling of items, and the store program."""
