"""Errors of the JSON-lines transport."""


class TransportError(Exception):
    """Base class of errors in the communication between two processes."""


class UndecodableLineError(TransportError):
    """A line is not an envelope, or its body is not a message type of the codec."""


class ForeignPeerError(UndecodableLineError):
    """The peer's first line is not a greeting of this cluster and protocol version."""


class ChannelClosedError(TransportError):
    """The connection closed before the reply; the peer may or may not have handled the request."""


class RequestNotSentError(ChannelClosedError):
    """No byte of the request was written: no connection, or the write backlog is full."""


class RequestTimeoutError(TransportError):
    """No reply arrived within the timeout; the peer may or may not have handled the request."""


class RequestFailedError(TransportError):
    """The peer's handler failed instead of returning a reply."""
