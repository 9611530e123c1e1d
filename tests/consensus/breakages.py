"""Cores that break one rule each: the checks of the simulation must catch every one of them."""

import dataclasses

from pewterring.consensus.leading import Leading
from pewterring.consensus.messages import AppendReply, ConsensusMessage, VoteReply, VoteRequest
from pewterring.consensus.raft import Raft
from pewterring.consensus.types import Ready, Save


class _SendsEarly(Raft):
    """Sends some messages before the disk has what they claim."""

    early: type[ConsensusMessage]
    _real_save: Save | None = None

    def take_ready(self, now: float, can_save: bool = True) -> Ready:
        ready = super().take_ready(now, can_save)
        if ready.save is None:
            return ready
        self._real_save = ready.save
        waiting = ready.save.messages_after_sync
        early = [message for message in waiting if isinstance(message, self.early)]
        late = [message for message in waiting if not isinstance(message, self.early)]
        save = dataclasses.replace(ready.save, messages_after_sync=late)
        return dataclasses.replace(ready, messages_first=[*ready.messages_first, *early], save=save)

    def persisted(self, now: float, save: Save) -> None:
        assert self._real_save is not None
        super().persisted(now, self._real_save)


class VoteBeforeSync(_SendsEarly):
    """Tells its vote before it is on disk."""

    early = VoteReply


class AnswerBeforeSync(_SendsEarly):
    """Claims entries before they are on disk."""

    early = AppendReply


class _CountsUnsaved(Leading):
    def match(self, member: str) -> int:
        if member == self._state.member:
            return self._state.log.last_index
        return super().match(member)


class CountsOwnUnsaved(Raft):
    """Counts its own entries towards a majority before they are on disk."""

    def _begin_leading(self, now: float) -> Leading:
        return _CountsUnsaved(self._state, now)


class _CommitsOldTerm(Leading):
    def may_commit(self, index: int) -> bool:
        return True


class CommitsOldTerm(Raft):
    """Commits entries of earlier terms because a majority has them."""

    def _begin_leading(self, now: float) -> Leading:
        return _CommitsOldTerm(self._state, now)


class ReadsWithoutLease(Raft):
    """Takes itself for the leader as long as nobody tells it otherwise."""

    def has_lease(self, now: float) -> bool:
        return self.is_leader


class ReadsBeforeOwnEntry(Raft):
    """Reads before an entry of its own term is committed, when it does not know yet what is."""

    @property
    def leads_committed(self) -> bool:
        return self.is_leader

    def _begin_leading(self, now: float) -> Leading:
        leading = super()._begin_leading(now)
        leading._first_index = 0
        return leading


class VotesAgainAtOnce(Raft):
    """Votes at once after a start, though a leader may still count on its silence."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._state.vote_free_at = 0.0


class VotesWhileLed(Raft):
    """Votes for others though it heard the leader just now."""

    def step(self, now: float, message: ConsensusMessage) -> None:
        if isinstance(message, VoteRequest):
            self._state.vote_free_at = 0.0
        super().step(now, message)


BREAKAGES: tuple[type[Raft], ...] = (
    VoteBeforeSync,
    AnswerBeforeSync,
    CountsOwnUnsaved,
    CommitsOldTerm,
    ReadsWithoutLease,
    ReadsBeforeOwnEntry,
    VotesAgainAtOnce,
    VotesWhileLed,
)
