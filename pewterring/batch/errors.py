"""Errors of the batch layer. The docstring of each says whether the caller may repeat the call."""


class BatchError(Exception):
    """The base class of this package's errors. The message says what failed and where."""


class NotLeadingError(BatchError):
    """This store does not lead the partition. The command is not applied: repeat the call at the leader."""


class CommandRefusedError(BatchError):
    """This store leads but accepts no commands now. The command is not applied: repeat the call later."""


class CommandOutcomeUnknownError(BatchError):
    """A command was proposed and may be applied, now or later. Commands are idempotent: repeat the call."""


class InvalidCommandError(BatchError):
    """An entry of the log is not a batch command: another version wrote it, or the log is damaged."""


class InvalidSnapshotError(BatchError):
    """A snapshot of a batch partition cannot be read: another version wrote it, or the file is damaged."""


class StoreSettingsError(BatchError):
    """The store cannot start with its settings; the text names the setting to correct."""
