"""An in-memory disk that simulates power losses, which discard unsynced changes, and full disks."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from pewterring.storage.disk import DiskFile, Operation
from pewterring.storage.errors import StorageFailedError, StorageFullError

UNLIMITED_BYTES = 1 << 60  # more than any test writes
CLOSED = -1  # matches no incarnation of a disk


class PowerLossError(Exception):
    """Simulates a power loss during an operation. Not a `StorageError`, so that nothing handles it."""


class _Fate(Enum):
    """The effect of a power loss on an unsynced change. The order decides what a given seed draws."""

    LOST = auto()
    TORN = auto()
    SURVIVES = auto()


class _Change(NamedTuple):
    """A write of `data` at `offset`, or a truncation to size `offset` if `data` is None."""

    offset: int
    data: bytes | None


@dataclass
class _Content:
    """One file: its durable content, its current content and the changes in between."""

    durable: bytes = b""
    current: bytearray = field(default_factory=bytearray)
    changes: list[_Change] = field(default_factory=list)

    def change(self, offset: int, data: bytes | None) -> None:
        self.changes.append(_Change(offset, data))
        _apply(self.current, offset, data)

    def sync(self) -> None:
        self.durable = bytes(self.current)
        self.changes.clear()

    def lose_power(self, rng: random.Random, lose_all: bool) -> None:
        """Applies a random outcome of a power loss: each unsynced change survives, is torn or is lost."""
        content = bytearray(self.durable)
        for offset, data in self.changes:
            fate = _Fate.LOST if lose_all else rng.choice(list(_Fate))
            if fate == _Fate.LOST:
                continue
            if fate == _Fate.TORN and data is not None:
                data = data[: rng.randrange(len(data) + 1)]
            _apply(content, offset, data)
        self.current = content
        self.sync()


def _apply(content: bytearray, offset: int, data: bytes | None) -> None:
    if data is None:
        del content[offset:]
        return
    content.extend(bytes(max(0, offset - len(content))))
    content[offset : offset + len(data)] = data


class SimulatedFile:
    """An open file of a `SimulatedDisk`."""

    def __init__(self, disk: "SimulatedDisk", name: str, content: _Content) -> None:
        self._disk = disk
        self._name = name
        self._content = content
        self._incarnation = disk.incarnation

    def write(self, data: bytes) -> None:
        free_bytes = self._disk.free_bytes()
        offset = len(self._content.current)
        self._content.change(offset, data[:free_bytes])
        self._disk.bytes_written += len(data)
        self._reach(Operation.WRITE)
        if free_bytes < len(data):
            raise StorageFullError(f"no free disk space for {self._name}")

    def truncate(self, size: int) -> None:
        self._content.change(size, None)
        self._reach(Operation.TRUNCATE)

    def sync(self) -> None:
        self._reach(Operation.SYNC)
        self._content.sync()
        if self._name in self._disk.files:
            self._disk.durable_names[self._name] = self._content

    def close(self) -> None:
        self._incarnation = CLOSED

    def _reach(self, operation: Operation) -> None:
        assert self._incarnation == self._disk.incarnation, (
            "the file was closed, or opened before the loss of power"
        )
        self._disk.reach(operation, self._name)


class SimulatedDisk:
    """Implements `Disk`. `on_operation` is called in the middle of each operation and may raise an error.

    At that point the change has been made but not synced.
    """

    def __init__(self, capacity_bytes: int | None = None) -> None:
        self.files: dict[str, _Content] = {}
        self.durable_names: dict[str, _Content] = {}
        self.on_operation: Callable[[int, Operation, str], None] | None = None
        self.operations = 0
        self.bytes_written = 0
        self.peak_bytes = 0  # highest total size of all files after any operation
        self.capacity = capacity_bytes  # in bytes; None: unlimited
        self.incarnation = (
            0  # number of the process using the disk; files opened by earlier processes are closed
        )
        self._name_changes: list[Callable[[dict[str, _Content]], object]] = []

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self._content(name).current)

    def size(self, name: str) -> int:
        return len(self._content(name).current)

    def create(self, name: str) -> DiskFile:
        content = _Content()
        self._change_names(lambda names: names.__setitem__(name, content))
        self.reach(Operation.CREATE, name)
        return SimulatedFile(self, name, content)

    def open(self, name: str) -> DiskFile:
        return SimulatedFile(self, name, self._content(name))

    def rename(self, old: str, new: str) -> None:
        content = self._content(old)

        def change(names: dict[str, _Content]) -> None:
            names.pop(old, None)
            names[new] = content

        self._change_names(change)
        self.reach(Operation.RENAME, old)

    def remove(self, name: str) -> None:
        self._content(name)
        self._change_names(lambda names: names.pop(name, None))
        self.reach(Operation.REMOVE, name)

    def sync_folder(self) -> None:
        self.reach(Operation.SYNC_FOLDER, "")
        self.durable_names = dict(self.files)
        self._name_changes.clear()

    # Fault injection and inspection by tests

    def reach(self, operation: Operation, name: str) -> None:
        self.operations += 1
        self.peak_bytes = max(self.peak_bytes, sum(len(content.current) for content in self.files.values()))
        if self.on_operation is not None:
            self.on_operation(self.operations, operation, name)

    def free_bytes(self) -> int:
        if self.capacity is None:
            return UNLIMITED_BYTES
        return max(0, self.capacity - sum(len(content.current) for content in self.files.values()))

    def lose_power_at(self, number: int) -> None:
        """Raises `PowerLossError` in the operation with this number, counted from 1 from now on."""
        failing_operation = self.operations + number

        def hook(count: int, operation: Operation, name: str) -> None:
            if count == failing_operation:
                raise PowerLossError(f"{operation} {name}")

        self.on_operation = hook

    def kill(self) -> None:
        """Simulates a killed process: its files are closed, and everything that it wrote remains."""
        self.on_operation = None
        self.incarnation += 1

    def lose_power(self, rng: random.Random) -> None:
        """Simulates a power loss: synced changes remain, and each other one survives, is torn or is lost."""
        self.kill()
        lose_all = rng.random() < 0.25
        names = dict(self.durable_names)
        for change in self._name_changes:
            if not lose_all and rng.random() < 0.5:
                change(names)
        contents = {id(content): content for content in names.values()}
        for content in contents.values():
            content.lose_power(rng, lose_all)
        self.files = names
        self.durable_names = dict(names)
        self._name_changes.clear()

    def damage(self, name: str, content: bytes) -> None:
        """Replaces a file's durable content."""
        self.files[name].current = bytearray(content)
        self.files[name].sync()

    def _change_names(self, change: Callable[[dict[str, _Content]], object]) -> None:
        self._name_changes.append(change)
        change(self.files)

    def _content(self, name: str) -> _Content:
        if name not in self.files:
            raise StorageFailedError(f"file {name} does not exist")
        return self.files[name]
