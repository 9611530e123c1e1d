"""Registration of workers with control: heartbeats, changes to commit, and timeouts."""
