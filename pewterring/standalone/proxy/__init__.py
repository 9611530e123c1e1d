"""The gateway on sockets: client requests, timers, and the turns that pass events to the policy."""
