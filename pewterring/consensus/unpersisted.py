"""Tracks which part of a member's state is not on disk yet, and the messages that wait for it."""

from pewterring.consensus.log import Log
from pewterring.consensus.messages import ConsensusMessage
from pewterring.consensus.persistent import HardState
from pewterring.consensus.types import Save, Snapshot


class UnpersistedState:
    """Entries up to `persisted_index` are on disk as they are in the log. One save at most is under way."""

    def __init__(self, log: Log, hard_state: HardState) -> None:
        self._log = log
        self.persisted_index = log.last_index
        self._disk_last = log.last_index  # last entry on disk, which may have been overwritten in memory
        self._disk_hard_state = hard_state
        self._snapshot: Snapshot | None = None
        self._waiting: list[ConsensusMessage] = []
        self._under_way: Save | None = None
        self._under_way_to = 0  # entries up to here will be on disk as they are in the log

    @property
    def installing(self) -> bool:
        """Whether a received snapshot is not on disk yet."""
        under_way = self._under_way is not None and self._under_way.snapshot is not None
        return under_way or self._snapshot is not None

    def is_persisted(self, hard_state: HardState) -> bool:
        """Whether this term and vote are on disk."""
        return hard_state == self._disk_hard_state

    def truncated(self, first_dropped: int) -> None:
        """The log forgot the entries from `first_dropped` on."""
        self.persisted_index = min(self.persisted_index, first_dropped - 1)
        self._under_way_to = min(self._under_way_to, first_dropped - 1)

    def replaced(self, snapshot: Snapshot, commit: int) -> None:
        """The log was reset to start behind `snapshot`; before that, it was committed up to `commit`."""
        self._snapshot = snapshot
        self.persisted_index = min(self.persisted_index, commit)
        self._under_way_to = self.persisted_index

    def compacted(self, index: int) -> None:
        """A snapshot of the own state machine at `index` is on disk."""
        if index > self.persisted_index:
            self.persisted_index = index
            self._disk_last = index

    def hold(self, message: ConsensusMessage) -> None:
        """Keeps `message` until everything that is unsaved now is on disk."""
        self._waiting.append(message)

    def take(self, hard_state: HardState) -> Save | None:
        """Starts a save of all that is unsaved; None if there is nothing, or one is under way."""
        if self._under_way is not None:
            return None
        new_hard_state = None if self.is_persisted(hard_state) else hard_state
        last = self._log.last_index
        first = max(self.persisted_index, self._log.base_index) + 1
        disk_last = self._disk_last if self._snapshot is None else self._log.base_index
        stale = disk_last > first - 1
        if new_hard_state is None and self._snapshot is None and first > last and not stale:
            return None
        self._under_way = Save(
            hard_state=new_hard_state,
            snapshot=self._snapshot,
            truncate_from=first if stale else None,
            entries=self._log.between(first, last),
            messages_after_sync=tuple(self._waiting),
        )
        self._under_way_to = last
        self._disk_last = last
        self._snapshot = None
        self._waiting = []
        return self._under_way

    def take_released(self) -> list[ConsensusMessage]:
        """Messages that wait for nothing any more. Call after `take` has found nothing to save."""
        if self._under_way is not None or not self._waiting:
            return []
        released, self._waiting = self._waiting, []
        return released

    def done(self, save: Save) -> None:
        """`save` is on disk."""
        if save is not self._under_way:
            raise ValueError("this save is not the one under way")
        self._under_way = None
        if save.hard_state is not None:
            self._disk_hard_state = save.hard_state
        self.persisted_index = max(self.persisted_index, self._under_way_to)
