"""Messages between members of a replicated group, as lines of the transport."""

from typing import Any

import msgspec

from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import (
    CONSENSUS_MESSAGES,
    ENTRY_MEMBERS,
    AppendReply,
    AppendRequest,
    DepartureAck,
    DepartureNotice,
    Entry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from pewterring.control.program import MESSAGES
from pewterring.transport.lines import MessageCodec
from tests.golden.records import MEMBERS, raw
from tests.golden.rows import Family, Row, message_row

CODEC = MessageCodec(MESSAGES, "cluster-1")

MEMBERSHIP = Membership(voters=MEMBERS, learners=("10.0.0.4#d4",))
PLAIN_MEMBERSHIP = Membership(voters=MEMBERS)
EMPTY_ENTRY = Entry(index=40, term=5, kind="empty")
COMMAND_ENTRY = Entry(index=41, term=5, kind="command", data=raw(b'{"type":"DropJobs","jobs":["job-1"]}'))
MEMBERSHIP_ENTRY = Entry(index=42, term=5, kind=ENTRY_MEMBERS, data=encode_membership(MEMBERSHIP))

_HEAD: dict[str, Any] = {"group": "control", "sender": MEMBERS[0], "target": MEMBERS[1], "term": 5}

_MESSAGES: tuple[tuple[str, msgspec.Struct], ...] = (
    (
        "VoteRequest-full",
        VoteRequest(**_HEAD, last_index=42, last_term=4, prevote=True, leadership_transferred=True),
    ),
    ("VoteRequest-defaults", VoteRequest(**_HEAD, last_index=42, last_term=4, prevote=False)),
    ("VoteReply-full", VoteReply(**_HEAD, granted=True, prevote=True)),
    ("VoteReply-refused", VoteReply(**_HEAD, granted=False, prevote=False)),
    (
        "AppendRequest-full",
        AppendRequest(
            **_HEAD,
            previous_index=39,
            previous_term=4,
            commit=38,
            round=17,
            entries=(EMPTY_ENTRY, COMMAND_ENTRY, MEMBERSHIP_ENTRY),
        ),
    ),
    (
        "AppendRequest-defaults",
        AppendRequest(**_HEAD, previous_index=39, previous_term=4, commit=38, round=17),
    ),
    ("AppendReply-full", AppendReply(**_HEAD, accepted=True, match=42, round=17, departing=True)),
    ("AppendReply-defaults", AppendReply(**_HEAD, accepted=False, match=12, round=17)),
    (
        "SnapshotPart-full",
        SnapshotChunk(
            **_HEAD,
            last_index=30,
            last_term=4,
            membership=MEMBERSHIP,
            offset=65536,
            total=70000,
            checksum=0xCAFEBABE,
            data=bytes(range(40)),
            round=17,
        ),
    ),
    (
        "SnapshotPart-first",
        SnapshotChunk(
            **_HEAD,
            last_index=30,
            last_term=4,
            membership=PLAIN_MEMBERSHIP,
            offset=0,
            total=2,
            checksum=1,
            data=b"{}",
            round=17,
        ),
    ),
    ("SnapshotReply-full", SnapshotReply(**_HEAD, last_index=30, received=65536, round=17)),
    ("TimeoutNow-full", TimeoutNow(**_HEAD)),
    ("Leave-full", DepartureNotice(**_HEAD, round=17)),
    ("Left-full", DepartureAck(**_HEAD, round=17)),
)


def _rows() -> tuple[Row, ...]:
    """One row per message. Members send them without requesting a reply, so envelopes have no ids."""
    return tuple(message_row(CODEC, name, message) for name, message in _MESSAGES)


FAMILY = Family("member_messages.txt", _rows(), CONSENSUS_MESSAGES)
