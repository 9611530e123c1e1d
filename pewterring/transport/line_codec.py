"""Typed messages as lines of JSON: one envelope a line."""

import functools
import operator
from collections.abc import Sequence
from typing import Any

import msgspec

from pewterring.transport.line_errors import ForeignPeerError, UndecodableLineError

PROTOCOL = 1  # raised when older programs can no longer be understood
MAX_GREETING_BYTES = 4096  # what a peer may send before it has said who it is
FAILURE_BODY = b"null"  # body of a reply that says that the handler failed


class Greeting(msgspec.Struct, frozen=True):
    """The first line of each side of a connection."""

    protocol: int
    cluster: str


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line. `id` asks for a reply; `reply_to` is the id of the request that this line answers."""

    id: int = 0
    reply_to: int = 0
    body: msgspec.Raw = msgspec.Raw(FAILURE_BODY)

    @property
    def is_failure(self) -> bool:
        """Whether the peer could not answer the request."""
        return bytes(self.body) == FAILURE_BODY


class MessageCodec:
    """Encodes and decodes the members of a union of tagged structs.

    A decoded message's `msgspec.Raw` fields refer to the whole line and keep it in memory. `cluster` is the
    name that peers must give too.
    """

    def __init__(self, types: Sequence[type[msgspec.Struct]], cluster: str = "") -> None:
        union: Any = functools.reduce(operator.or_, types)
        self._encoder = msgspec.json.Encoder()
        self._bodies: msgspec.json.Decoder[msgspec.Struct] = msgspec.json.Decoder(union)
        self._envelopes = msgspec.json.Decoder(Envelope)
        self._greetings = msgspec.json.Decoder(Greeting)
        self._greeting = Greeting(PROTOCOL, cluster)

    @property
    def greeting(self) -> bytes:
        """The first line that is sent on a connection, its line feed included."""
        return self._encoder.encode(self._greeting) + b"\n"

    def check_greeting(self, line: bytes) -> None:
        """Checks the first line of a peer.

        Raises:
            ForeignPeerError: It is not that of this cluster and protocol.
        """
        try:
            greeting = self._greetings.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise ForeignPeerError(f"no greeting: {error}") from error
        if greeting.protocol != PROTOCOL:
            raise ForeignPeerError(f"it speaks protocol {greeting.protocol}, not {PROTOCOL}")
        if greeting.cluster != self._greeting.cluster:
            raise ForeignPeerError(f"it is of cluster {greeting.cluster!r}, not {self._greeting.cluster!r}")

    def encode(self, message: msgspec.Struct) -> bytes:
        """Encodes the message alone, without an envelope."""
        return self._encoder.encode(message)

    def decode(self, body: bytes | msgspec.Raw) -> msgspec.Struct:
        """Decodes one message; raises `UndecodableLineError`."""
        try:
            return self._bodies.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise UndecodableLineError(str(error)) from error

    def line(self, message: msgspec.Struct, request_id: int = 0, reply_to: int = 0) -> bytes:
        """Encodes a message as one line, its line feed included."""
        return self._line(self._encoder.encode(message), request_id, reply_to)

    def failure_line(self, reply_to: int) -> bytes:
        """The line that says that a request could not be answered."""
        return self._line(FAILURE_BODY, 0, reply_to)

    def decode_line(self, line: bytes) -> Envelope:
        """Decodes the envelope of a line; raises `UndecodableLineError`."""
        try:
            return self._envelopes.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise UndecodableLineError(str(error)) from error

    def _line(self, body: bytes, request_id: int, reply_to: int) -> bytes:
        envelope = Envelope(request_id, reply_to, msgspec.Raw(body))
        return self._encoder.encode(envelope) + b"\n"
