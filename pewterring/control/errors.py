"""Errors of the control layer."""


class ControlError(Exception):
    """A call to control cannot be answered now."""


class NotLeading(ControlError):
    """This process does not lead the control group, is not sure of it, or can take nothing now.

    Nothing was done.
    """


class CallTooOld(ControlError):
    """A relayed call was on the way for too long; nothing was done."""


class OutcomeUnsure(ControlError):
    """A command may or may not come into force."""
