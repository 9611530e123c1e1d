"""Deliberate breakages of the real classes. The schedules named with them must catch each."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from pewterring.batch.messages import JobAccepted, SubmitJob
from pewterring.batch.submissions import JobSubmissions, SubmitReply
from pewterring.configuration.digest import document_digest
from pewterring.consensus.follower import FollowerRole
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.membership_view import Candidates, MembershipObserver
from pewterring.consensus.messages import SnapshotChunk
from pewterring.consensus.state import MemberState
from pewterring.consensus.types import Snapshot
from pewterring.control import duties
from pewterring.control import program as control_program
from pewterring.control.calls import READ_PATH, Answer, Call
from pewterring.control.commands import (
    Accepted,
    Command,
    Conflict,
    PatchConfiguration,
    PutConfiguration,
    Result,
)
from pewterring.control.errors import OutcomeUnsure
from pewterring.control.leadership import GroupLeadership
from pewterring.control.relay import CallRouter
from pewterring.control.state import ControlState
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name

Breakage = Callable[[], Any]  # gives a context in which the real code is broken


def lease_not_checked() -> Any:
    """A leader that stood still goes on as if it had been there: its lease is not looked at again."""
    return mock.patch.object(GroupLeadership, "has_lease", property(lambda self: self.ready))


@contextlib.contextmanager
def read_out_of_own_state() -> Iterator[None]:
    """Every machine answers reads out of what it has, and asks nobody who leads."""
    real = CallRouter._until_answered

    async def until_answered(self: CallRouter, call: Call) -> Answer:
        return await (self._handle_here(call) if call.path == READ_PATH else real(self, call))

    async def read_barrier(self: GroupLeadership) -> None:
        return None

    with (
        mock.patch.object(GroupLeadership, "read_barrier", read_barrier),
        mock.patch.object(CallRouter, "_until_answered", until_answered),
    ):
        yield


def promotion_without_catch_up() -> Any:
    """A learner becomes a voter whatever it holds."""
    real = MembershipObserver.observe

    def observe(self: MembershipObserver, now: float, group: Any, candidates: Candidates) -> Any:
        seen = real(self, now, group, candidates)
        if seen is None:
            return None
        members = {*seen.membership.voters, *seen.membership.learners}
        return dataclasses.replace(seen, caught_up=members)

    return mock.patch.object(MembershipObserver, "observe", observe)


def learner_counted() -> Any:
    """What a learner has on disk counts as if it were a voter's."""

    def advance_commit(self: LeaderRole, now: float) -> None:
        state = self._state
        members = (*state.members.current.voters, *state.members.current.learners)
        matches = sorted((self.match(member) for member in members), reverse=True)
        index = matches[len(state.voters) // 2]
        if index > state.commit_index and self.may_commit(index):
            state.commit_index = index

    return mock.patch.object(LeaderRole, "advance_commit", advance_commit)


def departure_ignored() -> Any:
    """A leader goes on as if no voter had told it that its process is about to end."""
    return mock.patch.object(LeaderRole, "is_departing", lambda self, member: False)


def ends_without_departure() -> Any:
    """A process that is told to end hands the leadership over, and keeps its vote until it is gone."""

    async def depart(self: ReplicatedGroup, patience_s: float) -> None:
        await self.transfer_leadership()

    return mock.patch.object(ReplicatedGroup, "depart", depart)


def commit_before_majority() -> Any:
    """An entry counts as committed once one other member has it on disk, or the leader alone."""

    def advance_commit(self: LeaderRole, now: float) -> None:
        state = self._state
        index = max(self.match(voter) for voter in state.voters)
        if index > state.commit_index and self.may_commit(index):
            state.commit_index = index

    return mock.patch.object(LeaderRole, "advance_commit", advance_commit)


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

    def on_snapshot_chunk(self: FollowerRole, now: float, chunk: SnapshotChunk) -> None:
        self._on_leader_contact(now, chunk)
        received = self._assembly.add(chunk)
        snapshot = self._assembly.take_complete(chunk) if received >= chunk.total else None
        if snapshot is not None:
            install(self, snapshot)
        self._reply_snapshot(chunk, received, chunk.round)

    def install(self: FollowerRole, snapshot: Snapshot) -> None:
        state = self._state
        state.log.reset(snapshot.index, snapshot.term)
        state.members.reset(snapshot.membership)
        state.unpersisted.on_snapshot_received(snapshot, state.commit_index)
        state.commit_index = snapshot.index

    return mock.patch.object(FollowerRole, "on_snapshot_chunk", on_snapshot_chunk)


def vote_not_synced() -> Any:
    """Terms and votes are never written."""
    real = DiskGroupStorage.save

    def save(self: DiskGroupStorage, hard_state: Any, truncate_from: Any, entries: Any) -> None:
        real(self, None, truncate_from, entries)

    return mock.patch.object(DiskGroupStorage, "save", save)


def told_before_saved() -> Any:
    """Answers leave before what they claim is on disk."""

    def send_when_persisted(self: MemberState, message: Any, index: int = 0) -> None:
        self.outbox.append(message)

    return mock.patch.object(MemberState, "send_when_persisted", send_when_persisted)


def retirement_ended_early() -> Any:
    """A store counts as empty as soon as somebody asks."""
    return mock.patch.object(duties, "is_emptied", lambda *_: True)


def relay_id_used_again() -> Any:
    """All requests on a connection have the same id, so that answers go to whoever waits."""
    return mock.patch("pewterring.transport.channel.itertools.count", lambda first: itertools.cycle((first,)))


def base_not_checked() -> Any:
    """A configuration is taken on whatever version it builds."""
    real = ControlState._put_configuration

    def put(self: ControlState, command: PutConfiguration) -> Result:
        return real(self, msgspec.structs.replace(command, base=self.version))

    return mock.patch.object(ControlState, "_put_configuration", put)


def patch_base_not_checked() -> Any:
    """A patch is applied to whatever version it meets."""
    real = ControlState._patch_configuration

    def patched(self: ControlState, command: PatchConfiguration) -> Result:
        return real(self, msgspec.structs.replace(command, base=self.version))

    return mock.patch.object(ControlState, "_patch_configuration", patched)


def patch_known_by_its_result() -> Any:
    """What is remembered of a patch is the configuration that it made."""
    real = ControlState._patch_configuration

    def patched(self: ControlState, command: PatchConfiguration) -> Result:
        result = real(self, command)
        if result == Accepted():
            self._taken[command.version] = document_digest(bytes(self.document))
        return result

    return mock.patch.object(ControlState, "_patch_configuration", patched)


def unsure_refused() -> Any:
    """An order whose outcome is unknown is answered as if another had won."""
    real = GroupLeadership.propose

    async def propose(self: GroupLeadership, command: Command) -> Result:
        try:
            return await real(self, command)
        except OutcomeUnsure:
            return Conflict(0)

    return mock.patch.object(GroupLeadership, "propose", propose)


def job_accepted_early() -> Any:
    """A job is acknowledged before it is committed."""
    real = JobSubmissions._accept

    async def accept(self: JobSubmissions, call: SubmitJob) -> SubmitReply:
        self.early = asyncio.ensure_future(real(self, call))  # type: ignore[attr-defined]
        return JobAccepted()

    return mock.patch.object(JobSubmissions, "_accept", accept)
