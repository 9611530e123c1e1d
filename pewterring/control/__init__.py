"""The control program: keeps configuration, workers, nodes and placements in one replicated log."""
