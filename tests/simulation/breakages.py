"""Deliberate breakages of the real classes. The schedules named with them must catch each."""

from collections.abc import Callable
from typing import Any
from unittest import mock

from pewterring.configuration.reader import read_configuration
from pewterring.consensus.following import Following
from pewterring.consensus.leading import Leading
from pewterring.consensus.messages import Membership, SnapshotPart
from pewterring.consensus.raft import Raft
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Snapshot
from pewterring.control import duties
from pewterring.control import program as control_program
from pewterring.control.errors import NotLeading
from pewterring.control.leadership import GroupLeadership
from pewterring.control.membership import MembershipPlanner
from pewterring.control.state import ControlState
from pewterring.distribution.follower import TableFollower
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name

Breakage = Callable[[], Any]  # gives a context in which the real code is broken


def lease_not_checked() -> Any:
    """A leader that stood still goes on as if it had been there: its lease is not looked at again."""
    return mock.patch.object(GroupLeadership, "has_lease", property(lambda self: self.ready))


def read_without_barrier() -> Any:
    """A leader reads what it has, and asks nobody whether it still leads."""

    async def read_barrier(self: GroupLeadership) -> None:
        if not self.ready:
            raise NotLeading

    return mock.patch.object(GroupLeadership, "read_barrier", read_barrier)


def promotion_without_catch_up() -> Any:
    """A learner becomes a voter whatever it holds."""

    def all_members(membership: Membership, *_: Any) -> set[str]:
        return {*membership.voters, *membership.learners}

    return mock.patch.object(duties, "caught_up_members", all_members)


def learner_counted() -> Any:
    """What a learner has on disk counts as if it were a voter's."""

    def advance_commit(self: Leading, now: float) -> None:
        state = self._state
        members = (*state.members.current.voters, *state.members.current.learners)
        matches = sorted((self.match(member) for member in members), reverse=True)
        index = matches[len(state.voters) // 2]
        if index > state.commit_index and self.may_commit(index):
            state.commit_index = index

    return mock.patch.object(Leading, "advance_commit", advance_commit)


def commit_before_majority() -> Any:
    """An entry counts as committed once one other member has it on disk, or the leader alone."""

    def advance_commit(self: Leading, now: float) -> None:
        state = self._state
        index = max(self.match(voter) for voter in state.voters)
        if index > state.commit_index and self.may_commit(index):
            state.commit_index = index

    return mock.patch.object(Leading, "advance_commit", advance_commit)


def digest_forgotten() -> Any:
    """What was taken is not known any more after a snapshot, so that a resend is refused."""
    real = ControlState.restore

    def restore(self: ControlState, data: bytes) -> None:
        real(self, data)
        self._taken.clear()

    return mock.patch.object(ControlState, "restore", restore)


def departed_forgotten() -> Any:
    """Workers that left for good are not known any more after a snapshot."""
    real = ControlState.restore

    def restore(self: ControlState, data: bytes) -> None:
        real(self, data)
        self._departed.clear()

    return mock.patch.object(ControlState, "restore", restore)


def old_tag_votes() -> Any:
    """A machine that lost its disk comes back under its old name, and votes with an empty log."""

    def same_name(data_dir: Any, ip: str, disk: Any, tag: str | None = None) -> str:
        return member_name(data_dir, ip, disk, control_program.FIRST_TAG)

    return mock.patch.object(control_program, "member_name", same_name)


def snapshot_over_newer() -> Any:
    """A snapshot is installed though the member has committed more than it covers."""

    def on_snapshot_part(self: Following, now: float, part: SnapshotPart) -> None:
        self._hear_leader(now, part)
        received = self._assembly.add(part)
        whole = self._assembly.take_whole(part) if received >= part.total else None
        if whole is not None:
            install(self, whole)
        self._reply_snapshot(part, received, part.round)

    def install(self: Following, snapshot: Snapshot) -> None:
        state = self._state
        state.log.reset(snapshot.index, snapshot.term)
        state.members.reset(snapshot.membership)
        state.unsaved.replaced(snapshot, state.commit_index)
        state.commit_index = snapshot.index

    return mock.patch.object(Following, "on_snapshot_part", on_snapshot_part)


def vote_not_synced() -> Any:
    """Terms and votes are never written."""
    real = DiskGroupStorage.save

    def save(self: DiskGroupStorage, hard_state: Any, truncate_from: Any, entries: Any) -> None:
        real(self, None, truncate_from, entries)

    return mock.patch.object(DiskGroupStorage, "save", save)


def told_before_saved() -> Any:
    """Answers leave before what they claim is on disk."""

    def send_when_saved(self: MemberState, message: Any, index: int = 0) -> None:
        self.outbox.append(message)

    return mock.patch.object(MemberState, "send_when_saved", send_when_saved)


def own_unsaved_counted() -> Any:
    """A leader counts its own entries before they are on its disk."""

    def match(self: Leading, member: str) -> int:
        if member == self._state.member:
            return self._state.log.last_index
        peer = self._replication.peers.get(member)
        return peer.match if peer else 0

    return mock.patch.object(Leading, "match", match)


def retirement_ended_early() -> Any:
    """A store counts as empty as soon as somebody asks."""
    return mock.patch.object(duties, "is_emptied", lambda *_: True)


def lost_voter_dropped_at_once() -> Any:
    """A voter that is silent is dropped before another is ready to take its place."""
    real = MembershipPlanner.plan

    def plan(self: MembershipPlanner, now: float, membership: Membership, caught_up: Any) -> Any:
        lost = self._lost_voter(now, membership)
        if lost is not None and len(membership.voters) > 1:
            return Membership(tuple(each for each in membership.voters if each != lost), membership.learners)
        return real(self, now, membership, caught_up)

    return mock.patch.object(MembershipPlanner, "plan", plan)


def leads_before_own_entry() -> Any:
    """A leader answers before an entry of its own term is committed."""
    return mock.patch.object(Raft, "leads_committed", property(lambda self: self.is_leader))


def votes_at_once_after_a_start() -> Any:
    """A member votes at once after a start, though a leader may still count on its silence."""
    real = MemberState.__init__

    def begin(self: MemberState, *arguments: Any, **named: Any) -> None:
        real(self, *arguments, **named)
        self.vote_free_at = 0.0

    return mock.patch.object(MemberState, "__init__", begin)


def feed_goes_back() -> Any:
    """A gateway takes whatever configuration it is told."""

    def newer(self: TableFollower, document: Any) -> Any:
        text = bytes(document)
        return self.tables.configuration if text == b"null" else read_configuration(text)

    return mock.patch.object(TableFollower, "_newer", newer)


BREAKAGES: dict[str, Breakage] = {
    "lease not checked after a freeze": lease_not_checked,
    "read without barrier": read_without_barrier,
    "promotion without catch-up": promotion_without_catch_up,
    "learner counted": learner_counted,
    "commit before majority": commit_before_majority,
    "digest forgotten": digest_forgotten,
    "departed forgotten": departed_forgotten,
    "old tag allowed to vote": old_tag_votes,
    "snapshot applied over a newer one": snapshot_over_newer,
    "vote not synced": vote_not_synced,
    "told before saved": told_before_saved,
    "own unsaved counted": own_unsaved_counted,
    "retirement ended early": retirement_ended_early,
    "lost voter dropped at once": lost_voter_dropped_at_once,
    "leads before its own entry": leads_before_own_entry,
    "votes at once after a start": votes_at_once_after_a_start,
    "feed goes back": feed_goes_back,
}
