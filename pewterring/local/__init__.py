"""A complete serving tier on loopback addresses of one machine, for demonstration and development."""
