"""The same scenarios on real sockets: real gatekeeper processes between stand-ins, on loopback alone."""
