"""Greetings and envelopes of lines between processes of the tier, independent of the messages in them.

All test cases of such lines are built here.
"""

import msgspec

from pewterring.transport.line_codec import Envelope, MessageCodec

GOLDEN_FILE = "channel-lines.txt"


class Note(msgspec.Struct, frozen=True, tag=True):
    """A message type of the tests only, which marks the position of a message in a line."""

    text: str


NOTE = Note("some text")
BODY = msgspec.Raw(b'{"type":"Note","text":"some text"}')
ENVELOPES = (Envelope(0, 0, BODY), Envelope(7, 0, BODY), Envelope(0, 7, BODY), Envelope(0, 7))


def codec(cluster: str) -> MessageCodec:
    """The codec of a cluster's processes."""
    return MessageCodec((Note,), cluster)


def greetings() -> list[bytes]:
    """The greetings of a cluster without a name and of one with a name."""
    return [codec("").greeting, codec("blue").greeting]


def lines() -> list[bytes]:
    """A message, a request, its reply, and the reply of a handler that failed."""
    plain = codec("")
    return [
        plain.line(NOTE),
        plain.line(NOTE, request_id=7),
        plain.line(NOTE, reply_to=7),
        plain.failure_line(7),
    ]


def written() -> str:
    """All greetings and lines, as they are written to a connection."""
    return b"".join([*greetings(), *lines()]).decode()
