"""Tests of `pewterring.distribution` by itself."""
