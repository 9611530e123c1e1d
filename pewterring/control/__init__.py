"""The control program: configuration, workers, nodes and placement behind one replicated log."""
