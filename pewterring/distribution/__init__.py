"""Distribution of tables (configuration, workers, nodes) from the control leader to all nodes.

`messages` is what goes over the wire, `tables` what a node knows, `subscription` the rules by which it takes
tables (without I/O), `subscriber` the session with the control leader. The leader's side is in the control
package.
"""
