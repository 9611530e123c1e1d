"""Distribution of tables (configuration, workers, nodes) from the control leader to all nodes.

`messages` defines the wire messages, `tables` the tables of a node, `subscription` the rules for accepting
updates (without I/O), and `subscriber` the session with the control leader. The leader's side is in the
control package.
"""
