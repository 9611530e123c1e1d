"""Distribution of tables (configuration, workers, nodes) from the control leader to all nodes."""
