"""The errors of the consensus layer.

ConsensusError
├── NotLeaderError             nothing was done: ask the leader
├── TooManyUncommittedError    nothing was done: try again later
├── MembershipRejectedError    nothing was done: the text says what stands against it
├── OutcomeUnknownError        may be carried out later, or never: read before trying again
├── InvariantError             a rule of the protocol is broken: the member stops
├── GroupFailedError           the member has stopped: restart the process once the cause is repaired
└── StorageError               the disk failed: the member stops
    └── StorageFullError       nothing was saved: try again when there is free space
"""


class ConsensusError(Exception):
    """Base of all errors that this layer raises."""


class NotLeaderError(ConsensusError):
    """The call needs the leader and did nothing here.

    Attributes:
        leader: the leader's member name, which the caller may ask instead; None if unknown.
    """

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class TooManyUncommittedError(ConsensusError):
    """The leader's uncommitted entries have reached their limit; it did nothing, and may be asked later."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"not taken: {size_bytes} bytes before it are not committed yet")


class OutcomeUnknownError(ConsensusError):
    """Leadership was lost after the command had been appended: it may still be committed, or never."""


class MembershipRejectedError(ConsensusError):
    """The change of membership is not allowed now and nothing was done; the text says why."""


class RecoveryRefusedError(ConsensusError):
    """The member cannot go on alone, or need not; nothing was changed, and the text says what was found."""


class InvariantError(ConsensusError):
    """A rule of the protocol was broken, such as a committed entry that would be overwritten.

    No caller can go on from it: the member that raises it must stop, so as not to spread the damage.
    """


class GroupFailedError(ConsensusError):
    """This member stopped because its storage or its state machine failed; the text says how."""


class StorageError(ConsensusError):
    """The storage of a group failed: what was to be saved may or may not be on disk."""


class StorageFullError(StorageError):
    """There is no free disk space. Nothing of the call counts as saved; the same call may succeed later."""
