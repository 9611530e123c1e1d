"""Owns the messages between members of a replicated group, as JSON lines (msgspec structs with a tag).

What may go wrong: members of an older and a newer version talk to each other, and logs outlive versions. A
type that is renamed here keeps its tag, a field its name, by `tag=` and `msgspec.field(name=)`.

Members are named by strings: `IP#tag`. The address is the part before `#`; the tag is drawn when a data
folder is made, so a member whose disk was lost comes back under another name.
"""

import msgspec

# The kinds of entries, as they stand on the wire and on disk.
ENTRY_EMPTY = (
    "empty"  # the first of each leader, which commits what earlier terms left (Raft paper, section 8)
)
ENTRY_COMMAND = "command"
ENTRY_MEMBERS = "members"


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log. `data` is JSON: a command, a `Membership`, or null, by its `kind`."""

    index: int
    term: int
    kind: str  # one of the kinds above
    data: msgspec.Raw = msgspec.Raw(b"null")


class Membership(msgspec.Struct, frozen=True):
    """The members of a group: voters count for majorities, learners only receive the log."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """What all messages carry. `group` names the replicated group, `target` and `sender` members of it."""

    group: str
    sender: str
    target: str
    term: int


class VoteRequest(Message, frozen=True, tag=True, kw_only=True):
    """Asks for a vote. With `prevote` it only asks whether one would be granted at `term`.

    With `leadership_transferred` the leader of the term before has given up its lease for a successor.
    """

    last_index: int
    last_term: int
    prevote: bool
    leadership_transferred: bool = msgspec.field(default=False, name="handed_over")  # the wire's name


class VoteReply(Message, frozen=True, tag=True, kw_only=True):
    """Answers `VoteRequest`. `term` is the voter's own, or the requested one if a pre-vote is granted."""

    granted: bool
    prevote: bool


class AppendRequest(Message, frozen=True, tag=True, kw_only=True):
    """Replicates `entries` behind (`previous_index`, `previous_term`); without entries it is a heartbeat.

    `round` numbers the leader's heartbeats; the reply returns it, for leases and read barriers.
    """

    previous_index: int
    previous_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class AppendReply(Message, frozen=True, tag=True, kw_only=True, omit_defaults=True):
    """Answers `AppendRequest`. `match` is the last index known to agree, or a hint which to try next.

    `departing` says that the member's process is about to end.
    """

    accepted: bool
    match: int
    round: int
    departing: bool = msgspec.field(default=False, name="leaving")  # the wire's name


class SnapshotChunk(Message, frozen=True, tag="SnapshotPart", kw_only=True):  # the wire's name
    """One chunk of a snapshot: `data` is base64 of bytes from `offset`; `total` is its size in bytes.

    `checksum` is the CRC-32 of all of it.
    """

    last_index: int
    last_term: int
    membership: Membership
    offset: int
    total: int
    checksum: int
    data: bytes
    round: int


class SnapshotReply(Message, frozen=True, tag=True, kw_only=True):
    """Answers `SnapshotChunk`: how many bytes the member has of that snapshot."""

    last_index: int
    received: int
    round: int


class TimeoutNow(Message, frozen=True, tag=True, kw_only=True):
    """Tells a voter to stand for election at once; the leader of `term` claims no lease any more."""


class DepartureNotice(Message, frozen=True, tag="Leave", kw_only=True):  # the wire's name
    """A voter's process is about to end, and a learner that is ready may take its place.

    `round` is the last one of the leader of `term` that this incarnation of the member has received: what a
    later incarnation answers outweighs it.
    """

    round: int


class DepartureAck(Message, frozen=True, tag="Left", kw_only=True):  # the wire's name
    """Answers `DepartureNotice`, whose round it returns: a committed change has removed the voter."""

    round: int


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | DepartureNotice
    | DepartureAck
)
CONSENSUS_MESSAGES = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    DepartureNotice,
    DepartureAck,
)
