"""The errors of the consensus layer.

ConsensusError
├── NotLeaderError             the call had no effect: retry at the leader
├── TooManyUncommittedError    the call had no effect: retry later
├── MembershipRejectedError    the call had no effect: the message states the reason
├── OutcomeUnknownError        the command may still be committed: read the state before a retry
├── InvariantError             a rule of the protocol is violated: the member stops
├── GroupFailedError           the member has stopped: restart the process after the cause is repaired
└── StorageError               the disk failed: the member stops
    └── StorageFullError       nothing was saved: retry when there is free disk space
"""


class ConsensusError(Exception):
    """Base class of the errors of the consensus layer."""


class NotLeaderError(ConsensusError):
    """The call must be made at the leader; it had no effect at this member.

    Attributes:
        leader: the member name of the leader, at which the caller may retry; None if it is unknown.
    """

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class TooManyUncommittedError(ConsensusError):
    """The leader rejected the command because its uncommitted entries reached their size limit."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"command rejected: {size_bytes} bytes of earlier entries are not committed yet")


class OutcomeUnknownError(ConsensusError):
    """Leadership was lost after the command was appended: the command may be committed later, or never."""


class MembershipRejectedError(ConsensusError):
    """The membership change is not allowed now and had no effect; the message states the reason."""


class RecoveryRefusedError(ConsensusError):
    """The member cannot, or need not, be recovered as the only voter; nothing was changed.

    The message states the reason.
    """


class InvariantError(ConsensusError):
    """A rule of the protocol was violated; for example, a committed entry would be overwritten.

    Callers cannot recover from this error. The member that raises it must stop, so that inconsistent state
    does not spread to other members.
    """


class GroupFailedError(ConsensusError):
    """This member stopped because its storage or its state machine failed; the message states the cause."""


class StorageError(ConsensusError):
    """The storage of a group failed: the data of the failed call may or may not be on disk."""


class StorageFullError(StorageError):
    """There is no free disk space. The call saved nothing; the same call may succeed later."""
