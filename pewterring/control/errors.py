"""Errors of the control package: why a call was not executed, or stored data could not be read.

Each error of a call states whether the call may have taken effect, and so whether the caller may send it to
another member, may repeat the same call, or must give up.
"""

from http import HTTPStatus
from typing import ClassVar


class ControlError(Exception):
    """Base of all errors that this package raises."""


class NotLeadingError(ControlError):
    """This member does not lead the control group, cannot confirm that it does, or is overloaded.

    Nothing was done: the call may be sent to the leader, or to this member again.
    """

    def __init__(self, reason: str = "this member is not known to lead the control group") -> None:
        super().__init__(f"{reason}; nothing was done, the call may be sent to another member")


class StaleCallError(ControlError):
    """A relayed call took too long to reach the leader. Nothing was done: it may be sent again."""

    def __init__(self) -> None:
        super().__init__(
            "the relayed call took too long to reach the leader; nothing was done, it may be sent again"
        )


class RelayError(ControlError):
    """The leader did not answer a relayed call. The call may have taken effect; it may be repeated."""


class CommandOutcomeUnknownError(ControlError):
    """A command may or may not take effect. The same command may be sent again: commands are idempotent."""

    def __init__(self) -> None:
        super().__init__("the command may or may not take effect; the same command may be sent again")


class InvalidCommandError(ControlError):
    """A log entry is not a command, or one of a later software version: the member must stop."""


class InvalidSnapshotError(ControlError):
    """The bytes are not a snapshot of the control state, or one of a later software version.

    The member cannot start with such a snapshot.
    """


class DecommissioningRefusedError(ControlError):
    """The decommissioning of a store was refused. `status` is the status of the HTTP response."""

    status: ClassVar[HTTPStatus]


class UnknownStoreError(DecommissioningRefusedError):
    """No store with this node id ever connected."""

    status = HTTPStatus.NOT_FOUND


class TooFewStoresError(DecommissioningRefusedError):
    """Fewer stores than a partition needs would remain: the operator must add stores first."""

    status = HTTPStatus.CONFLICT


class StoresAbsentError(DecommissioningRefusedError):
    """Too few stores would remain unless recently absent ones come back: the call may be repeated later."""

    status = HTTPStatus.SERVICE_UNAVAILABLE


class TooManyDocumentsError(ControlError):
    """Too many large documents wait to be validated. Nothing was done; a later call may succeed."""
