"""Fail-stop: after an error that leaves files in an unknown state nothing is written until they are reloaded.

A sync that failed may report success when it is repeated, without the bytes being on disk. A member that went
on would acknowledge what it does not hold.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from pewterring.storage.errors import StorageError, StorageFullError, StorageUnusableError


class FailStop:
    """Whether files may be written. `files` names them in errors. Stopped until the first `reset`."""

    def __init__(self, files: str) -> None:
        self._files = files
        self._stopped = True

    def reset(self) -> None:
        """Allows writing: the files have been read."""
        self._stopped = False

    def stop(self) -> None:
        """Forbids writing until the next `reset`."""
        self._stopped = True

    def check(self) -> None:
        """Passes where writing is allowed.

        Raises:
            StorageUnusableError: the files were not read, or a call failed since.
        """
        if self._stopped:
            raise StorageUnusableError(self._files)

    @contextmanager
    def stopping_on_error(self) -> Iterator[None]:
        """Stops at any `StorageError` in the block."""
        try:
            yield
        except StorageError:
            self._stopped = True
            raise

    @contextmanager
    def stopping_unless_full(self) -> Iterator[None]:
        """Stops at any `StorageError` in the block but `StorageFullError`, after which the state is known."""
        try:
            yield
        except StorageFullError:
            raise
        except StorageError:
            self._stopped = True
            raise
