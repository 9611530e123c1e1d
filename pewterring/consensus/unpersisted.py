"""Owns which part of a member's state is not on disk yet, and the messages that wait until it is.

What may go wrong: a message that leaves too early claims what a loss of power can take back, and an index
that counts as persisted too early commits what only one disk has. So `persisted_index` never rises but in
`on_saved` and `on_compacted`, and everything that changes the log during a save lowers what that save will
count for.
"""

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import ConsensusMessage
from pewterring.consensus.persistent import HardState
from pewterring.consensus.types import Save, Snapshot


class UnpersistedState:
    """The difference between a member's memory and its disk.

    Entries up to `persisted_index` are on disk as they are in the log. At most one save is in progress.
    """

    def __init__(self, log: Log, hard_state: HardState) -> None:
        self._log = log
        self.persisted_index = log.last_index
        self._disk_last_index = log.last_index  # of the entry on disk, which memory may have overwritten
        self._disk_hard_state = hard_state
        self._received_snapshot: Snapshot | None = None
        self._deferred_messages: list[ConsensusMessage] = []
        self._save_in_progress: Save | None = None
        self._in_progress_index = 0  # once that save is done, entries up to here are on disk as in the log

    @property
    def is_installing_snapshot(self) -> bool:
        """Whether a received snapshot is not on disk yet."""
        saving = self._save_in_progress is not None and self._save_in_progress.snapshot is not None
        return saving or self._received_snapshot is not None

    def is_persisted(self, hard_state: HardState) -> bool:
        """Whether this term and vote are on disk."""
        return hard_state == self._disk_hard_state

    def on_truncated(self, first_dropped: int) -> None:
        """The log dropped the entries from `first_dropped` on."""
        self.persisted_index = min(self.persisted_index, first_dropped - 1)
        self._in_progress_index = min(self._in_progress_index, first_dropped - 1)

    def on_snapshot_received(self, snapshot: Snapshot, commit_index: int) -> None:
        """The log was reset to start after `snapshot`; before that, it was committed up to `commit_index`."""
        self._received_snapshot = snapshot
        self.persisted_index = min(self.persisted_index, commit_index)
        self._in_progress_index = self.persisted_index

    def on_compacted(self, index: int) -> None:
        """A snapshot of the member's own state machine at `index` is on disk."""
        if index > self.persisted_index:
            self.persisted_index = index
            self._disk_last_index = index

    def defer(self, message: ConsensusMessage) -> None:
        """Keeps `message` back until everything that is unpersisted now is on disk."""
        self._deferred_messages.append(message)

    def begin_save(self, hard_state: HardState) -> Save | None:
        """Starts a save of all that is unpersisted; None if there is nothing, or one is in progress."""
        if self._save_in_progress is not None:
            return None
        changed_hard_state = None if self.is_persisted(hard_state) else hard_state
        last = self._log.last_index
        first = max(self.persisted_index, self._log.base_index) + 1
        has_stale_entries = self._disk_last_index_after_snapshot > first - 1
        has_new_entries = first <= last
        if not (changed_hard_state or self._received_snapshot or has_new_entries or has_stale_entries):
            return None
        self._save_in_progress = Save(
            hard_state=changed_hard_state,
            snapshot=self._received_snapshot,
            truncate_from=first if has_stale_entries else None,
            entries=self._log.between(first, last),
            messages_after_sync=tuple(self._deferred_messages),
        )
        self._in_progress_index = last
        self._disk_last_index = last
        self._received_snapshot = None
        self._deferred_messages = []
        return self._save_in_progress

    @property
    def _disk_last_index_after_snapshot(self) -> int:
        """The last entry that the disk will have when a received snapshot has replaced its log."""
        return self._disk_last_index if self._received_snapshot is None else self._log.base_index

    def take_deferred_messages(self) -> list[ConsensusMessage]:
        """Messages that wait for nothing any more. Call after `begin_save` has found nothing to save."""
        if self._save_in_progress is not None or not self._deferred_messages:
            return []
        released, self._deferred_messages = self._deferred_messages, []
        return released

    def on_saved(self, save: Save) -> None:
        """`save` is on disk.

        Raises:
            InvariantError: `save` is not the one in progress; the caller mixed up its saves and must stop.
        """
        if save is not self._save_in_progress:
            raise InvariantError("the save that was reported as done is not the one under way")
        self._save_in_progress = None
        if save.hard_state is not None:
            self._disk_hard_state = save.hard_state
        self.persisted_index = max(self.persisted_index, self._in_progress_index)
