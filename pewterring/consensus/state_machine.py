"""The interface of the state machine to which a group applies its committed commands."""

from typing import Protocol


class StateMachine(Protocol):
    """A replicated state machine. All calls come from the event loop, in log order."""

    def apply(self, index: int, command: bytes, /) -> object:
        """Applies one command.

        Returns:
            The result of the command, which must depend only on the commands applied so far.
        """
        ...

    def snapshot(self) -> bytes:
        """Returns the complete state, encoded."""
        ...

    def restore(self, data: bytes, /) -> None:
        """Replaces the complete state by the decoded result of an earlier `snapshot` call.

        Raises:
            Exception: of any type, if `data` cannot be decoded.
        """
        ...
