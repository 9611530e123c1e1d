"""Exit statuses and errors of commands. `main` prints an error as one line and returns its status."""

DONE = 0
FAILED = 1  # the command ran but did not succeed
USAGE_ERROR = 2  # invalid arguments, settings or configuration
RULE_BROKEN = 3  # `lab`: a run violated a rule
INTERRUPTED = 130


class CommandError(Exception):
    """A command cannot continue; the text is shown to the user."""

    status = FAILED


class UsageError(CommandError):
    """Arguments, settings or a configuration are invalid."""

    status = USAGE_ERROR
