"""Errors of the batch layer."""


class BatchError(Exception):
    """Something of the batch interface failed."""


class LeadershipLost(BatchError):
    """This store does not lead the partition; what was asked was not done and will not be."""


class NotTaken(BatchError):
    """This store leads and takes no commands now; what was asked was not done and will not be."""


class OutcomeUnsure(BatchError):
    """A command was proposed, and whether it is or will be applied is not known."""
