"""Operators' configurations: typed values, validation, the immutable route table."""
