"""Tests of the batch interface: jobs, items, results and the stores that keep them."""
