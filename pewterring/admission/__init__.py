"""Admission control: a gradient concurrency limit, divided into shares by heartbeats between processes."""
