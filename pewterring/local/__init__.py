"""A whole tier on the loopback addresses of one machine, to try it out and to develop against."""
