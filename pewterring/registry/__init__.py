"""Workers as control knows them: heartbeats, registrations, time-outs."""
