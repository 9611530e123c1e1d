"""pewterring: a gateway that keeps each customer of a shared back end to its plan."""

__version__ = "0.2.0"
