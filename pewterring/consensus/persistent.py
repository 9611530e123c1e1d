"""The state that a member of a group keeps on disk, and the interface of its storage.

Raft's safety depends on `GroupStorage.save`: if an acknowledged vote or entry is missing after a power
failure, two leaders can be elected in one term, or a committed entry can be lost (Raft paper, figure 2,
"persistent state").
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from pewterring.consensus.errors import StorageError
from pewterring.consensus.messages import Entry, Membership

__all__ = ["GroupStorage", "HardState", "LoadedGroup", "PersistentState", "StorageError"]


@dataclass(frozen=True, slots=True)
class HardState:
    """The current term, and the name of the member that got this member's vote in it, if any."""

    term: int = 0
    vote: str | None = None


@dataclass(slots=True)
class PersistentState:
    """The state that a member reads from its disk at start, without the bytes of the snapshot.

    `entries` follow the snapshot without a gap. The first voters of a new group all start with the same
    `snapshot_membership` at index 0; a member that joins later starts with an empty one.
    """

    term: int = 0
    vote: str | None = None
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_membership: Membership = field(default_factory=lambda: Membership(voters=()))
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LoadedGroup:
    """The result of `GroupStorage.load`. `snapshot` is None if no snapshot has been saved yet."""

    state: PersistentState
    snapshot: bytes | None = None
    snapshot_file: str = ""  # the file name for the error message if the snapshot cannot be decoded


class GroupStorage(Protocol):
    """The storage of one member of one group.

    All calls block, are made by one thread at a time, and raise `StorageError` when they fail. After a failed
    call no further call is made, except to repeat a call that raised `StorageFullError`.
    """

    def load(self) -> LoadedGroup:
        """Reads the complete state. Drops an incomplete record that a crash left at the end of the log."""
        ...

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        """Writes and syncs: once it returns, the data survives a power failure.

        In this order: writes `hard_state`, if given; deletes the entries from index `truncate_from` on, if
        given; appends `entries`, which follow the remaining entries without a gap.
        """
        ...

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        """Writes and syncs a snapshot that replaces all entries up to `index`, and deletes those entries.

        Entries after `index` are kept if the log holds the entry (`index`, `term`); otherwise the complete
        log is deleted, and the next entry saved is `index` + 1. `index` never decreases.
        """
        ...

    @property
    def size_bytes(self) -> int:
        """The size of the stored data on disk, in bytes."""
        ...
