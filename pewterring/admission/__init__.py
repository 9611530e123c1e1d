"""Admission: gradient ceiling and reserved shares, for the gatekeeper and the serving tier."""
