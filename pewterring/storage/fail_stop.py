"""Stops all writing after an error that leaves files in an unknown state, until the files are reloaded.

A failed sync may report success when it is repeated, although the bytes are not on disk. A member that
continued to write would acknowledge data that it has not stored.
"""

from types import TracebackType

from pewterring.storage.errors import StorageError, StorageFullError, StorageUnusableError


class FailStop:
    """Tracks whether files may be written; writing is forbidden until the first `reset`.

    `files` describes the files in error messages. Code that changes files runs inside one of two reusable
    context managers: `stopping_on_error` forbids writing after any `StorageError`; `stopping_unless_full`
    after any except `StorageFullError`, which leaves the files in a known state.
    """

    def __init__(self, files: str) -> None:
        self._files = files
        self._stopped = True
        self.stopping_on_error = _StopOnError(self, unless_full=False)
        self.stopping_unless_full = _StopOnError(self, unless_full=True)

    def reset(self) -> None:
        """Allows writing; called once the files have been read."""
        self._stopped = False

    def stop(self) -> None:
        """Forbids writing until the next `reset`."""
        self._stopped = True

    def check(self) -> None:
        """Returns if writing is allowed.

        Raises:
            StorageUnusableError: the files have not been read, or a call has failed since.
        """
        if self._stopped:
            raise StorageUnusableError(self._files)


class _StopOnError:
    """Context manager that stops writing after an error.

    A class is cheaper to enter than a generator-based context manager, and each write enters it, thousands of
    times a second.
    """

    __slots__ = ("_fail_stop", "_unless_full")

    def __init__(self, fail_stop: FailStop, unless_full: bool) -> None:
        self._fail_stop = fail_stop
        self._unless_full = unless_full

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        _error_type: type[BaseException] | None,
        error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        is_state_known = self._unless_full and isinstance(error, StorageFullError)
        if isinstance(error, StorageError) and not is_state_known:
            self._fail_stop.stop()
