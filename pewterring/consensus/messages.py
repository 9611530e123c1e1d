"""Messages between members of a replicated group, as JSON lines (msgspec structs tagged by class name).

Members are named by strings: `IP#tag`. The address is the part before `#`; the tag is drawn when a data
folder is made, so a member whose disk was lost comes back under another name.
"""

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log. `data` is JSON: a command (`kind` "command"), or `Membership` ("members")."""

    index: int
    term: int
    kind: str  # "empty", "command" or "members"
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

    With `handed_over` the leader of the term before has given up its lease and wants to be succeeded.
    """

    last_index: int
    last_term: int
    prevote: bool
    handed_over: bool = False


class VoteReply(Message, frozen=True, tag=True, kw_only=True):
    """Answers `VoteRequest`. `term` is the voter's own, or the asked one where a pre-vote is granted."""

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
    """Answers `AppendRequest`. `match` is the last index known to agree, or a hint where to try next.

    `leaving` says that the member's process is about to end.
    """

    accepted: bool
    match: int
    round: int
    leaving: bool = False


class SnapshotPart(Message, frozen=True, tag=True, kw_only=True):
    """One piece of a snapshot: `data` is base64 of bytes from `offset`; `total` is its size in bytes.

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
    """Answers `SnapshotPart`: how many bytes the member has of that snapshot."""

    last_index: int
    received: int
    round: int


class TimeoutNow(Message, frozen=True, tag=True, kw_only=True):
    """Tells a voter to stand for election at once; the leader of `term` claims no lease any more."""


class Leave(Message, frozen=True, tag=True, kw_only=True):
    """A voter's farewell: its process is about to end, and a learner that is ready may take its place.

    `round` is the last one of the leader of `term` that this life of the member has heard: what a later life
    answers outweighs it.
    """

    round: int


class Left(Message, frozen=True, tag=True, kw_only=True):
    """Answers `Leave`, whose round it returns: its sender is no voter any more, by a committed change."""

    round: int


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotPart
    | SnapshotReply
    | TimeoutNow
    | Leave
    | Left
)
CONSENSUS_MESSAGES = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotPart,
    SnapshotReply,
    TimeoutNow,
    Leave,
    Left,
)
