"""The lab: an emulator of what gatekeepers serve, with tools for experiments. Needs the extra `[lab]`."""
