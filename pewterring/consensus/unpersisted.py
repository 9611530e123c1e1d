"""The part of a member's state that is not on disk yet, and the messages deferred until it is.

A message that is sent too early acknowledges state that a power failure can still destroy, and an index that
counts as persisted too early can commit entries that are on too few disks. So `persisted_index` increases
only in `on_saved` and `on_compacted`, and each change to the log during a save lowers the index up to which
that save will count.
"""

from pewterring.consensus.errors import InvariantError
from pewterring.consensus.log import Log
from pewterring.consensus.messages import ConsensusMessage
from pewterring.consensus.persistent import HardState
from pewterring.consensus.types import Save, Snapshot


class UnpersistedState:
    """The difference between a member's state in memory and on disk.

    The entries up to `persisted_index` are the same on disk and in the log. At most one save is in progress.
    """

    def __init__(self, log: Log, hard_state: HardState) -> None:
        self._log = log
        self.persisted_index = log.last_index
        self._disk_last_index = log.last_index  # the last entry on disk, which the log may have replaced
        self._disk_hard_state = hard_state
        self._received_snapshot: Snapshot | None = None
        self._deferred_messages: list[ConsensusMessage] = []
        self._save_in_progress: Save | None = None
        self._in_progress_index = 0  # the `persisted_index` once that save completes

    @property
    def is_installing_snapshot(self) -> bool:
        """Whether a received snapshot is not on disk yet."""
        is_saving = self._save_in_progress is not None and self._save_in_progress.snapshot is not None
        return is_saving or self._received_snapshot is not None

    def is_persisted(self, hard_state: HardState) -> bool:
        """Whether the term and the vote of `hard_state` are on disk."""
        return hard_state == self._disk_hard_state

    def on_truncated(self, first_dropped: int) -> None:
        """Records that the log deleted the entries from `first_dropped` on."""
        self.persisted_index = min(self.persisted_index, first_dropped - 1)
        self._in_progress_index = min(self._in_progress_index, first_dropped - 1)

    def on_snapshot_received(self, snapshot: Snapshot, commit_index: int) -> None:
        """Records that the log was reset to start after `snapshot`, with `commit_index` before the reset."""
        self._received_snapshot = snapshot
        self.persisted_index = min(self.persisted_index, commit_index)
        self._in_progress_index = self.persisted_index

    def on_compacted(self, index: int) -> None:
        """Records that a snapshot of the member's own state machine at `index` is on disk."""
        if index > self.persisted_index:
            self.persisted_index = index
            self._disk_last_index = index

    def defer(self, message: ConsensusMessage) -> None:
        """Defers `message` until all state that is unpersisted now is on disk."""
        self._deferred_messages.append(message)

    def begin_save(self, hard_state: HardState) -> Save | None:
        """Starts a save of all unpersisted state; None if there is none, or if a save is in progress."""
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
        """Index of the last entry on disk once a received snapshot, if any, has replaced the log on disk."""
        return self._disk_last_index if self._received_snapshot is None else self._log.base_index

    def take_deferred_messages(self) -> list[ConsensusMessage]:
        """Returns deferred messages that may be sent now. Call after `begin_save` found nothing to save."""
        if self._save_in_progress is not None or not self._deferred_messages:
            return []
        released, self._deferred_messages = self._deferred_messages, []
        return released

    def on_saved(self, save: Save) -> None:
        """Records that `save` is on disk.

        Raises:
            InvariantError: `save` is not the one in progress; the caller has a bug and must stop.
        """
        if save is not self._save_in_progress:
            raise InvariantError("the save reported as complete is not the one in progress")
        self._save_in_progress = None
        if save.hard_state is not None:
            self._disk_hard_state = save.hard_state
        self.persisted_index = max(self.persisted_index, self._in_progress_index)
