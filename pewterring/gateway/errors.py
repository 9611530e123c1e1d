"""Errors that the gateway program raises. What goes wrong between it and workers is an `ExchangeError`."""


class GatewayError(Exception):
    """A gateway could not do what it was asked to; the text says why."""


class InvalidSubmissionError(GatewayError):
    """A batch submission cannot be used; the text names the item and why. The client may correct it."""
