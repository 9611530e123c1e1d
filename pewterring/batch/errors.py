"""Errors of the batch layer. Each says what failed and whether the caller may repeat what it wanted."""


class BatchError(Exception):
    """The root of this package's errors; the text says what failed and where."""


class NotLeadingError(BatchError):
    """This store does not lead the partition: nothing was done or will be. Repeat the call at the leader."""


class CommandRefusedError(BatchError):
    """This store leads and accepts no commands now: nothing was done or will be. Repeat the call later."""


class CommandOutcomeUnknownError(BatchError):
    """A command was proposed and may be applied, now or later. Commands are idempotent: repeat the call."""


class InvalidCommandError(BatchError):
    """An entry of the log is no command of a batch partition: another version, or a damaged log."""


class InvalidSnapshotError(BatchError):
    """A snapshot of a batch partition cannot be read: another version, or a damaged file."""


class StoreSettingsError(BatchError):
    """The store cannot start with its settings; the text names the setting to correct."""
