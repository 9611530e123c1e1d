"""Atomic file replacement: write a temporary file, sync it, rename it, sync the folder."""

from collections.abc import Iterable
from contextlib import closing

from pewterring.storage.disk import Disk


def write_synced(disk: Disk, name: str, chunks: Iterable[bytes]) -> None:
    """Writes a new file and syncs its content. The file name is not durable yet.

    Raises:
        StorageError: the file may contain any prefix of the content.
    """
    with closing(disk.create(name)) as file:
        for chunk in chunks:
            file.write(chunk)
        file.sync()


def rename_durably(disk: Disk, old: str, new: str) -> None:
    """Renames a synced file, replacing an existing one, and syncs the folder to make the new name durable.

    Raises:
        StorageError: the file has either the old or the new name.
    """
    disk.rename(old, new)
    disk.sync_folder()
