"""An in-memory storage of a group that checks the contract of `GroupStorage`."""

from collections.abc import Sequence

from pewterring.consensus.errors import StorageError
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup, PersistentState


class StorageMisuseError(AssertionError):
    """A call that would lose or overwrite stored data."""


def _require(is_met: bool, rule: str) -> None:
    if not is_met:
        raise StorageMisuseError(rule)


class MemoryStorage:
    """Keeps the saved data in memory. All calls raise `StorageError` while `failing`."""

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
            raise StorageError("the disk has failed")

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
            _require(hard_state.term >= self.hard_state.term, "terms must not decrease")
            self.hard_state = hard_state
        if truncate_from is not None:
            _require(
                self.snapshot_index < truncate_from <= self.last_index,
                "truncation must begin in the log",
            )
            del self.entries[truncate_from - self.snapshot_index - 1 :]
        for entry in entries:
            _require(entry.index == self.last_index + 1, "entries must follow without a gap")
            self.entries.append(entry)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self._check()
        self.saves += 1
        _require(index > self.snapshot_index, "the snapshot index must increase")
        offset = index - self.snapshot_index
        keeps_later_entries = offset <= len(self.entries) and self.entries[offset - 1].term == term
        self.entries = self.entries[offset:] if keeps_later_entries else []
        self.snapshot_index = index
        self.snapshot_term = term
        self.membership = membership
        self.snapshot = data
