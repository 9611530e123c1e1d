"""Errors of the consensus layer."""


class ConsensusError(Exception):
    """Base of all errors that this layer raises."""


class NotLeaderError(ConsensusError):
    """The call needs the leader and did nothing here. `leader` is the leader's member name, if known."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class TooManyUncommittedError(ConsensusError):
    """The leader waits for so many bytes of entries to be committed that it takes no more; it did nothing."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"not taken: {size_bytes} bytes before it are not committed yet")


class OutcomeUnknownError(ConsensusError):
    """Leadership was lost after the command had been appended: it may still be committed, or never."""


class MembershipRejectedError(ConsensusError):
    """The change of membership is not allowed now; the text says why."""


class InvariantError(ConsensusError):
    """A rule of the protocol was broken, such as a committed entry that would be overwritten."""


class GroupFailedError(ConsensusError):
    """This member stopped because its storage or its state machine failed; the text says how."""


class StorageError(ConsensusError):
    """The storage of a group failed: what was to be saved may or may not be on disk."""


class StorageFullError(StorageError):
    """There is no room. Nothing of the call counts as saved; the same call may succeed later."""
