"""Errors of the JSON-lines transport."""


class TransportError(Exception):
    """Something failed between two processes."""


class UndecodableLineError(TransportError):
    """A line is not an envelope, or its body is none of the codec's messages."""


class ForeignPeerError(UndecodableLineError):
    """The peer's first line is not the greeting of this cluster and this protocol."""


class ChannelClosedError(TransportError):
    """The connection closed before the answer came; the peer may or may not have handled the request."""


class RequestNotSentError(ChannelClosedError):
    """No byte of the request was written: not connected, closed before, or the write backlog is full."""


class RequestTimeoutError(TransportError):
    """No answer came in time; the peer may or may not have handled the request."""


class RequestFailedError(TransportError):
    """The peer's handler ended with an error instead of an answer."""
