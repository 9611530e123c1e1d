"""The wire format of the membership protocol: one message per datagram, with as many updates as fit.

All numbers are big-endian. A datagram consists of `M`, the format version, the message kind, the sender's
incarnation and start id, a sequence number and the member that the message is about, followed by updates of
eleven bytes each. docs/membership.md describes the layout. Incomplete or unknown datagrams are rejected.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

HEADER = struct.Struct(">cBBIIIH")
UPDATE = struct.Struct(">HIIB")
MAGIC, VERSION = b"M", 1
MAX_DATAGRAM_BYTES = 256  # so that a datagram between peers always fits into one packet
MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER.size) // UPDATE.size  # updates that fit in one datagram
MAX_NUMBER = 0xFFFFFFFF  # largest incarnation, start id or sequence number


class Kind(IntEnum):
    """The kind of a message."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # requests the receiver to ping the member `about` for the sender
    LEAVE = 4


class State(IntEnum):
    """The known state of a member. A higher state overrides a lower one of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(NamedTuple):
    """One instance's knowledge of a member, as it is disseminated."""

    member: int
    incarnation: int  # only the member itself raises it, to refute updates with a lower incarnation
    start_id: int  # random for each start; reveals a restart, or two instances with the same number
    state: State


class Message(NamedTuple):
    """One datagram. `incarnation` and `start_id` are the sender's."""

    kind: Kind
    incarnation: int
    start_id: int
    sequence: int  # an ack repeats the sequence number of its ping
    about: int  # number of the member that the message is about
    updates: tuple[MemberUpdate, ...] = ()


def encode(message: Message) -> bytes:
    """Encodes a message in at most `MAX_DATAGRAM_BYTES`; updates beyond `MAX_UPDATES` are omitted."""
    header = HEADER.pack(MAGIC, VERSION, *message[:5])
    return header + b"".join(UPDATE.pack(*update) for update in message.updates[:MAX_UPDATES])


def decode(data: bytes) -> Message | None:
    """Decodes a datagram; None if it is not exactly one valid message, of which nothing may be used then."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES or (len(data) - HEADER.size) % UPDATE.size:
        return None
    magic, version, kind, incarnation, start_id, sequence, about = HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        return None
    try:
        updates = tuple(
            MemberUpdate(member, known_incarnation, known_start_id, State(state))
            for member, known_incarnation, known_start_id, state in UPDATE.iter_unpack(data[HEADER.size :])
        )
        return Message(Kind(kind), incarnation, start_id, sequence, about, updates)
    except ValueError:
        return None
