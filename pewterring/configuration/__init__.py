"""The operator's configuration: typed model, validation, patches and the immutable route table."""
