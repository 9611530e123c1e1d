"""What the standalone gateway decides, without I/O: settings, events, actions, state, decisions."""
