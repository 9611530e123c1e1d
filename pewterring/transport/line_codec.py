"""Codec for typed messages as JSON lines, one envelope per line."""

import functools
import operator
from collections.abc import Sequence
from typing import Any

import msgspec

from pewterring.transport.line_errors import ForeignPeerError, UndecodableLineError

PROTOCOL = 1  # incremented when messages of older versions can no longer be decoded
MAX_GREETING_BYTES = 4096  # limit for a peer's first line
FAILURE_BODY = b"null"  # body of a reply that reports a failed handler


class Greeting(msgspec.Struct, frozen=True):
    """The first line that each side of a connection sends."""

    protocol: int
    cluster: str


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line. A nonzero `id` requests a reply; `reply_to` is the id of the request it answers."""

    id: int = 0
    reply_to: int = 0
    body: msgspec.Raw = msgspec.Raw(FAILURE_BODY)

    @property
    def is_failure(self) -> bool:
        """Whether this reply reports that the handler of the request failed."""
        return bytes(self.body) == FAILURE_BODY


class MessageCodec:
    """Encodes and decodes the members of a union of tagged structs.

    `msgspec.Raw` fields of a decoded message reference the entire line and keep it in memory. `cluster` is
    the cluster name, which must match that of the peers.
    """

    def __init__(self, types: Sequence[type[msgspec.Struct]], cluster: str = "") -> None:
        union: Any = functools.reduce(operator.or_, types)
        self._encoder = msgspec.json.Encoder()
        self._body_decoder: msgspec.json.Decoder[msgspec.Struct] = msgspec.json.Decoder(union)
        self._envelope_decoder = msgspec.json.Decoder(Envelope)
        self._greeting_decoder = msgspec.json.Decoder(Greeting)
        self._greeting = Greeting(PROTOCOL, cluster)

    @property
    def greeting(self) -> bytes:
        """The first line sent on a connection, including its line feed."""
        return self._encoder.encode(self._greeting) + b"\n"

    def check_greeting(self, line: bytes) -> None:
        """Checks the first line received from a peer.

        Raises:
            ForeignPeerError: The line is not a greeting of this cluster and protocol.
        """
        try:
            greeting = self._greeting_decoder.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise ForeignPeerError(f"no greeting: {error}") from error
        if greeting.protocol != PROTOCOL:
            raise ForeignPeerError(f"it speaks protocol {greeting.protocol}, not {PROTOCOL}")
        if greeting.cluster != self._greeting.cluster:
            raise ForeignPeerError(f"it is of cluster {greeting.cluster!r}, not {self._greeting.cluster!r}")

    def encode(self, message: msgspec.Struct) -> bytes:
        """Encodes a message without an envelope."""
        return self._encoder.encode(message)

    def decode(self, body: bytes | msgspec.Raw) -> msgspec.Struct:
        """Decodes one message; raises `UndecodableLineError`."""
        try:
            return self._body_decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise UndecodableLineError(str(error)) from error

    def line(self, message: msgspec.Struct, request_id: int = 0, reply_to: int = 0) -> bytes:
        """Encodes a message as one line, including its line feed."""
        return self._line(self._encoder.encode(message), request_id, reply_to)

    def failure_line(self, reply_to: int) -> bytes:
        """Encodes the reply that reports that a handler failed."""
        return self._line(FAILURE_BODY, 0, reply_to)

    def decode_line(self, line: bytes) -> Envelope:
        """Decodes the envelope of a line; raises `UndecodableLineError`."""
        try:
            return self._envelope_decoder.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise UndecodableLineError(str(error)) from error

    def _line(self, body: bytes, request_id: int, reply_to: int) -> bytes:
        envelope = Envelope(request_id, reply_to, msgspec.Raw(body))
        return self._encoder.encode(envelope) + b"\n"
