"""Files that are either complete or absent after a loss of power: written aside, synced, renamed."""

from collections.abc import Iterable
from contextlib import closing

from pewterring.storage.disk import Disk


def write_synced(disk: Disk, name: str, chunks: Iterable[bytes]) -> None:
    """Writes a new file and syncs its content. Its name is not durable yet.

    Raises:
        StorageError: the file may hold any beginning of the content.
    """
    with closing(disk.create(name)) as file:
        for chunk in chunks:
            file.write(chunk)
        file.sync()


def rename_durably(disk: Disk, old: str, new: str) -> None:
    """Renames a synced file in place of an earlier one, and syncs the folder so that the new name lasts.

    Raises:
        StorageError: the file has the old name or the new one.
    """
    disk.rename(old, new)
    disk.sync_folder()
