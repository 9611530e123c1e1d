"""Errors of the control package: why a call was not carried out, or stored data could not be read.

Each says whether anything was done, which decides what the caller may do: send the call to another member,
send the same call again, or give up.
"""

from http import HTTPStatus
from typing import ClassVar


class ControlError(Exception):
    """Base of all errors that this package raises."""


class NotLeadingError(ControlError):
    """This member does not lead the control group, is not sure of it, or can take nothing now.

    Nothing was done: the call may be sent to the leader, or to this member again.
    """

    def __init__(self, reason: str = "this member is not known to lead the control group") -> None:
        super().__init__(f"{reason}; nothing was done, the call may be sent to another member")


class StaleCallError(ControlError):
    """A relayed call was on the way for too long. Nothing was done: it may be sent anew."""

    def __init__(self) -> None:
        super().__init__(
            "the relayed call was on the way for too long; nothing was done, it may be sent anew"
        )


class RelayError(ControlError):
    """The leader did not answer a relayed call. It may have been handled; the same call may be repeated."""


class CommandOutcomeUnknownError(ControlError):
    """A command may or may not come into force. The same command may be sent again: it is idempotent."""

    def __init__(self) -> None:
        super().__init__("the command may or may not come into force; the same command may be sent again")


class InvalidCommandError(ControlError):
    """An entry of the log is not a command, or one of a later version: the member must not go on."""


class InvalidSnapshotError(ControlError):
    """The bytes are no snapshot of the control state, or of a later version: the member cannot start."""


class DecommissioningRefusedError(ControlError):
    """A store's decommissioning was not started. `status` is that of the HTTP answer."""

    status: ClassVar[HTTPStatus]


class UnknownStoreError(DecommissioningRefusedError):
    """No store of that node id was ever seen."""

    status = HTTPStatus.NOT_FOUND


class TooFewStoresError(DecommissioningRefusedError):
    """Fewer stores than a partition needs would remain: the operator adds stores first."""

    status = HTTPStatus.CONFLICT


class StoresAbsentError(DecommissioningRefusedError):
    """Enough stores would remain if some came back that went missing just now: the call may be sent again."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
