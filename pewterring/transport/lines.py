"""Public interface of the JSON-lines transport between processes over TCP."""

from pewterring.transport.channel import (
    MAX_BACKLOG_BYTES,
    MAX_LINE_BYTES,
    Channel,
    Message,
    MessageHandler,
)
from pewterring.transport.line_codec import Envelope, MessageCodec
from pewterring.transport.line_errors import (
    ChannelClosedError,
    ForeignPeerError,
    RequestFailedError,
    RequestNotSentError,
    RequestTimeoutError,
    TransportError,
    UndecodableLineError,
)
from pewterring.transport.line_server import ChannelSettings, LineServer, connect
from pewterring.transport.link_pool import LinkPool

__all__ = [
    "MAX_BACKLOG_BYTES",
    "MAX_LINE_BYTES",
    "Channel",
    "ChannelClosedError",
    "ChannelSettings",
    "Envelope",
    "ForeignPeerError",
    "LineServer",
    "LinkPool",
    "Message",
    "MessageCodec",
    "MessageHandler",
    "RequestFailedError",
    "RequestNotSentError",
    "RequestTimeoutError",
    "TransportError",
    "UndecodableLineError",
    "connect",
]
