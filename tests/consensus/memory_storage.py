"""A group's storage in memory, strict about how it is used."""

from collections.abc import Sequence

from pewterring.consensus.errors import StorageError
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup, PersistentState


class StorageMisuseError(AssertionError):
    """The core asked its storage for what would lose or overwrite something."""


def _require(holds: bool, rule: str) -> None:
    if not holds:
        raise StorageMisuseError(rule)


class MemoryStorage:
    """Keeps what was saved. `failing` makes the next calls fail."""

    def __init__(self, voters: tuple[str, ...] = ()) -> None:
        self.hard_state = HardState()
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.membership = Membership(voters=voters)
        self.snapshot: bytes | None = None
        self.entries: list[Entry] = []
        self.saves = 0
        self.failing = False

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)

    @property
    def size_bytes(self) -> int:
        return sum(len(entry.data) for entry in self.entries) + len(self.snapshot or b"")

    def _check(self) -> None:
        if self.failing:
            raise StorageError("the disk is gone")

    def load(self) -> LoadedGroup:
        self._check()
        state = PersistentState(
            term=self.hard_state.term,
            vote=self.hard_state.vote,
            snapshot_index=self.snapshot_index,
            snapshot_term=self.snapshot_term,
            snapshot_membership=self.membership,
            entries=list(self.entries),
        )
        return LoadedGroup(state, self.snapshot)

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        self._check()
        self.saves += 1
        if hard_state is not None:
            _require(hard_state.term >= self.hard_state.term, "terms only rise")
            self.hard_state = hard_state
        if truncate_from is not None:
            _require(self.snapshot_index < truncate_from <= self.last_index, "only what is there is dropped")
            del self.entries[truncate_from - self.snapshot_index - 1 :]
        for entry in entries:
            _require(entry.index == self.last_index + 1, "entries follow without a gap")
            self.entries.append(entry)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self._check()
        self.saves += 1
        _require(index > self.snapshot_index, "snapshots only rise")
        offset = index - self.snapshot_index
        keeps = offset <= len(self.entries) and self.entries[offset - 1].term == term
        self.entries = self.entries[offset:] if keeps else []
        self.snapshot_index = index
        self.snapshot_term = term
        self.membership = membership
        self.snapshot = data
