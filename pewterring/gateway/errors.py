"""Errors raised by the gateway. Failures of exchanges with workers are `ExchangeError`s instead."""


class GatewayError(Exception):
    """Base class of the errors of the gateway; the message gives the reason."""


class InvalidSubmissionError(GatewayError):
    """A batch submission is invalid; the message names the item and the reason, for the client."""
