"""What a member of a group keeps on disk, and the interface of the storage that keeps it.

Raft's safety rests on `GroupStorage.save`: a vote or an entry that was acknowledged and is gone after a loss
of power can elect two leaders in one term, or lose a committed entry (Raft paper, figure 2, "persistent
state").
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from pewterring.consensus.errors import StorageError
from pewterring.consensus.messages import Entry, Membership

__all__ = ["GroupStorage", "HardState", "LoadedGroup", "PersistentState", "StorageError"]


@dataclass(frozen=True, slots=True)
class HardState:
    """The term and the vote given in it (`vote` is a member's name, or None)."""

    term: int = 0
    vote: str | None = None


@dataclass(slots=True)
class PersistentState:
    """What a member finds on its disk when it starts, except the bytes of the snapshot.

    `entries` follow the snapshot without a gap. A new group's first voters start with the same
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
    """What `GroupStorage.load` returns. `snapshot` is None before the first snapshot was saved."""

    state: PersistentState
    snapshot: bytes | None = None
    snapshot_file: str = ""  # named in the error if the content cannot be read


class GroupStorage(Protocol):
    """Storage of one member of one group.

    All calls block, come from one thread at a time, and raise `StorageError` when they fail. No call follows
    one that failed, but for a repeat of one that raised `StorageFullError`.
    """

    def load(self) -> LoadedGroup:
        """Reads everything. What a crash left half-written at the end of the log is dropped."""
        ...

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        """Writes and syncs: when it returns, all of it outlasts a loss of power.

        First `hard_state`, if given; then the entries from index `truncate_from` on are forgotten, if
        given; then `entries`, which follow what is kept without a gap, are appended.
        """
        ...

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        """Writes and syncs a snapshot that stands for all entries up to `index`, and forgets those.

        Entries after `index` are kept if the log holds the entry (`index`, `term`); otherwise the whole
        log is forgotten, and the next entry saved is `index` + 1. `index` only rises.
        """
        ...

    @property
    def size_bytes(self) -> int:
        """Bytes on disk."""
        ...
