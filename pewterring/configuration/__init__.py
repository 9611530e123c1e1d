"""Operators' configurations: typed values, validation, patches, the immutable route table."""
