"""The messages between members of a replicated group, encoded as JSON lines (tagged msgspec structs).

Members of different versions exchange these messages, and logs are read by later versions. So a type that is
renamed in the code keeps its old tag (`tag=`), and a renamed field its old name (`msgspec.field(name=)`).

A member is named by a string, `IP#tag`: the part before `#` is its address. The tag is generated at random
when the data directory is created, so a member that lost its disk returns under a new name.
"""

import msgspec

# The kinds of log entries, as written on the wire and on disk.
# The first entry of each leader; committing it commits all entries of earlier terms (Raft paper, section 8).
ENTRY_EMPTY = "empty"
ENTRY_COMMAND = "command"
ENTRY_MEMBERS = "members"


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log. `data` is JSON: a command, a `Membership` or null, depending on `kind`."""

    index: int
    term: int
    kind: str  # one of the ENTRY_ constants
    data: msgspec.Raw = msgspec.Raw(b"null")


class Membership(msgspec.Struct, frozen=True):
    """The members of a group. Voters count towards majorities; learners only receive the log."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The fields common to all messages. `sender` and `target` are the names of members of `group`."""

    group: str
    sender: str
    target: str
    term: int


class VoteRequest(Message, frozen=True, tag=True, kw_only=True):
    """Requests a vote. With `prevote` it only requests whether a vote would be granted in `term`.

    With `leadership_transferred` the leader of the previous term has given up its lease to the sender.
    """

    last_index: int
    last_term: int
    prevote: bool
    leadership_transferred: bool = msgspec.field(default=False, name="handed_over")  # the wire's name


class VoteReply(Message, frozen=True, tag=True, kw_only=True):
    """The reply to `VoteRequest`. `term` is the voter's own, or the requested one for a granted pre-vote."""

    granted: bool
    prevote: bool


class AppendRequest(Message, frozen=True, tag=True, kw_only=True):
    """Replicates the entries that follow (`previous_index`, `previous_term`); without entries, a heartbeat.

    `round` is the number of the leader's heartbeat round. The reply returns it; leases and reads rely on it.
    """

    previous_index: int
    previous_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class AppendReply(Message, frozen=True, tag=True, kw_only=True, omit_defaults=True):
    """The reply to `AppendRequest`.

    If accepted, `match` is the last index up to which both logs agree and the member's log is on disk;
    otherwise it is the index that the leader should try next. `departing` announces that the member's
    process is about to end.
    """

    accepted: bool
    match: int
    round: int
    departing: bool = msgspec.field(default=False, name="leaving")  # the wire's name


class SnapshotChunk(Message, frozen=True, tag="SnapshotPart", kw_only=True):  # the wire's name
    """One chunk of a snapshot. `data` holds the bytes from `offset` on, written as base64.

    `total` is the size of the complete snapshot in bytes, and `checksum` its CRC-32.
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
    """The reply to `SnapshotChunk`: `received` is the number of bytes of the snapshot that the member has."""

    last_index: int
    received: int
    round: int


class TimeoutNow(Message, frozen=True, tag=True, kw_only=True):
    """Requests that a voter start an election at once; the leader of `term` has given up its lease."""


class DepartureNotice(Message, frozen=True, tag="Leave", kw_only=True):  # the wire's name
    """Announces that a voter's process is about to end, so that a caught-up learner may replace it.

    `round` is the last heartbeat round of the leader of `term` that this incarnation of the member received.
    A reply of a later incarnation to a later round cancels the notice.
    """

    round: int


class DepartureAck(Message, frozen=True, tag="Left", kw_only=True):  # the wire's name
    """The reply to `DepartureNotice`, with its round: a committed membership change has removed the voter."""

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
