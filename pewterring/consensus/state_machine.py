"""The interface of the replicated state: what the committed commands of a group act on."""

from typing import Protocol


class StateMachine(Protocol):
    """What the committed commands act on. All calls come from the event loop, in the log's order."""

    def apply(self, index: int, command: bytes) -> object:
        """Applies one command.

        Returns:
            The command's result, which depends on nothing but the commands so far.
        """
        ...

    def snapshot(self) -> bytes:
        """Returns the complete state, encoded."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the complete state by one that `snapshot` returned.

        Raises:
            Exception: of any type, if `data` cannot be decoded.
        """
        ...
