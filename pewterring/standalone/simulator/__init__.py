"""Adapter that runs the gateway policy under the simulator's line protocol."""
