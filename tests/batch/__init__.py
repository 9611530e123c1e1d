"""Tests of batch jobs: their items and results, and the stores that run and replicate them."""
