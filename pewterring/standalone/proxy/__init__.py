"""The gatekeeper on sockets: requests, timers and the turn that hands events to the module."""
