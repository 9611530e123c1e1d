"""`FailStop`: a disk error stops all writing until the files are read again; a full disk does not."""

import pytest

from pewterring.storage.errors import StorageFailedError, StorageFullError, StorageUnusableError
from pewterring.storage.fail_stop import FailStop


@pytest.fixture
def fail_stop() -> FailStop:
    """A `FailStop` that allows writing, as its files have been read."""
    result = FailStop("the files")
    result.reset()
    return result


def check_stopped(fail_stop: FailStop) -> None:
    with pytest.raises(StorageUnusableError, match="the files"):
        fail_stop.check()


def test_nothing_is_written_before_the_files_are_read() -> None:
    check_stopped(FailStop("the files"))


def test_a_failed_disk_stops_writing_until_the_files_are_read_again(fail_stop: FailStop) -> None:
    with pytest.raises(StorageFailedError), fail_stop.stopping_unless_full:
        raise StorageFailedError("sync")
    check_stopped(fail_stop)
    fail_stop.reset()
    fail_stop.check()


def test_a_full_disk_stops_writing_only_where_its_state_is_not_known(fail_stop: FailStop) -> None:
    with pytest.raises(StorageFullError), fail_stop.stopping_unless_full:
        raise StorageFullError("write")
    fail_stop.check()
    with pytest.raises(StorageFullError), fail_stop.stopping_on_error:
        raise StorageFullError("remove")
    check_stopped(fail_stop)
