"""Lines between processes of the tier, apart from the messages in them: the greeting and the envelopes.

This is the one place where lines are built.
"""

import msgspec

from pewterring.transport.line_codec import Envelope, MessageCodec

GOLDEN_FILE = "channel-lines.txt"


class Note(msgspec.Struct, frozen=True, tag=True):
    """A message of no program, to show where a message stands in a line."""

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
    """All of them, a line each."""
    return b"".join([*greetings(), *lines()]).decode()
