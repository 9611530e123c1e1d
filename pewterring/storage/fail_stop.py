"""Fail-stop: after an error that leaves files in an unknown state nothing is written until they are reloaded.

A sync that failed may report success when it is repeated, without the bytes being on disk. A member that went
on would acknowledge what it does not hold.
"""

from types import TracebackType

from pewterring.storage.errors import StorageError, StorageFullError, StorageUnusableError


class FailStop:
    """Whether files may be written. `files` names them in errors. Stopped until the first `reset`.

    Blocks that change files run inside one of two context managers, which may be entered any number of times:
    `stopping_on_error` stops at any `StorageError`; `stopping_unless_full` at any but `StorageFullError`,
    after which the state of the files is known.
    """

    def __init__(self, files: str) -> None:
        self._files = files
        self._stopped = True
        self.stopping_on_error = _StopOnError(self, unless_full=False)
        self.stopping_unless_full = _StopOnError(self, unless_full=True)

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


class _StopOnError:
    """A class and no generator: each write enters it, and entries are written thousands of times a second."""

    __slots__ = ("_fail_stop", "_unless_full")

    def __init__(self, fail_stop: FailStop, unless_full: bool) -> None:
        self._fail_stop = fail_stop
        self._unless_full = unless_full

    def __enter__(self) -> None:
        pass

    def __exit__(
        self, _kind: type[BaseException] | None, error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        is_known = self._unless_full and isinstance(error, StorageFullError)
        if isinstance(error, StorageError) and not is_known:
            self._fail_stop.stop()
