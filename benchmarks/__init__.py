"""Measurements and long runs that are started by hand."""
