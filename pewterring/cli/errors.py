"""How a command ends otherwise than well. `main` turns these into one line on standard error and a status."""

DONE = 0
FAILED = 1  # it ran and did not succeed
USAGE_ERROR = 2  # arguments, settings or a configuration that cannot be used
RULE_BROKEN = 3  # of `lab`: a rule broke in a run
INTERRUPTED = 130


class CommandError(Exception):
    """A command cannot go on; the text is for its user."""

    status = FAILED


class UsageError(CommandError):
    """Arguments, settings or a configuration cannot be used."""

    status = USAGE_ERROR
