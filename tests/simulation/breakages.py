"""Deliberate breakages of the real classes; `named.py` pairs each with a schedule that must catch it.

Each function returns a context in which one guard of the code under test is removed.
"""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from pewterring.batch import partitions
from pewterring.batch.limit_updates import LimitUpdates
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
from pewterring.control import leader_tasks, member_storage
from pewterring.control.calls import READ_PATH, Answer, Call
from pewterring.control.commands import (
    Accepted,
    Command,
    Conflict,
    PatchConfiguration,
    PutConfiguration,
    Result,
)
from pewterring.control.configuration_history import ConfigurationHistory
from pewterring.control.errors import CommandOutcomeUnknownError
from pewterring.control.leadership import GroupLeadership
from pewterring.control.relay import CallRouter
from pewterring.control.snapshot import Snapshot as ControlSnapshot
from pewterring.control.worker_table import WorkerTable
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name
from pewterring.storage.snapshots import SNAPSHOT_SUFFIX

Breakage = Callable[[], Any]  # returns a context in which the real code is broken


def limits_of_queued_jobs_kept() -> Any:
    """A store goes by the limits that were configured when a job was queued."""
    return mock.patch.object(LimitUpdates, "apply", return_value=None)


def partition_needs_snapshot() -> Any:
    """A store starts a partition by itself only if it has a snapshot of it."""
    return mock.patch.object(partitions, "GROUP_FILE_SUFFIXES", (SNAPSHOT_SUFFIX,))


def lease_not_checked() -> Any:
    """A leader that was frozen resumes without checking its lease again."""
    return mock.patch.object(GroupLeadership, "has_lease", property(lambda self: self.ready))


@contextlib.contextmanager
def read_without_barrier() -> Iterator[None]:
    """Every machine answers reads from its own state, without a read barrier."""
    real = CallRouter._until_answered  # noqa: SLF001 - the breakage is of a step inside the class

    async def until_answered(self: CallRouter, call: Call) -> Answer:
        return await (self._handle_here(call) if call.path == READ_PATH else real(self, call))

    with (
        mock.patch.object(GroupLeadership, "read_barrier", return_value=None),
        mock.patch.object(CallRouter, "_until_answered", until_answered),
    ):
        yield


def promotion_without_catch_up() -> Any:
    """A learner is promoted to voter without having caught up."""
    real = MembershipObserver.observe

    def observe(self: MembershipObserver, now: float, group: Any, candidates: Candidates) -> Any:
        seen = real(self, now, group, candidates)
        if seen is None:
            return None
        members = {*seen.membership.voters, *seen.membership.learners}
        return dataclasses.replace(seen, caught_up=members)

    return mock.patch.object(MembershipObserver, "observe", observe)


def learner_counted() -> Any:
    """The match index of a learner counts towards the majority as a voter's does."""

    def advance_commit(self: LeaderRole, _now: float) -> None:
        state = self._state
        members = (*state.members.current.voters, *state.members.current.learners)
        matches = sorted((self.match(member) for member in members), reverse=True)
        index = matches[len(state.voters) // 2]
        if index > state.commit_index and self.may_commit(index):
            state.commit_index = index

    return mock.patch.object(LeaderRole, "advance_commit", advance_commit)


def votes_again_at_once() -> Any:
    """A member that has just started votes at once, though a leader may still count on its silence."""
    real = MemberState.__init__

    def begin(self: MemberState, *args: Any, **named: Any) -> None:
        real(self, *args, **named)
        self.votes_withheld_until = 0.0

    return mock.patch.object(MemberState, "__init__", begin)


def own_unsaved_counted() -> Any:
    """A leader counts its own entries towards a majority before they are on its disk."""
    real = LeaderRole.match

    def match(self: LeaderRole, member: str) -> int:
        if member == self._state.member:
            return self._state.log.last_index
        return real(self, member)

    return mock.patch.object(LeaderRole, "match", match)


def departure_ignored() -> Any:
    """A leader ignores the departure that a voter announced."""
    return mock.patch.object(LeaderRole, "is_departing", return_value=False)


def ends_without_departure() -> Any:
    """A process that shuts down transfers the leadership, but keeps its vote until it is gone."""

    async def depart(self: ReplicatedGroup, _grace_s: float) -> None:
        await self.transfer_leadership()

    return mock.patch.object(ReplicatedGroup, "depart", depart)


def commit_before_majority() -> Any:
    """An entry counts as committed once one other member has it on disk, or the leader alone."""

    def advance_commit(self: LeaderRole, _now: float) -> None:
        state = self._state
        index = max(self.match(voter) for voter in state.voters)
        if index > state.commit_index and self.may_commit(index):
            state.commit_index = index

    return mock.patch.object(LeaderRole, "advance_commit", advance_commit)


def digest_forgotten() -> Any:
    """Accepted digests are lost after a snapshot, so that a resent order is rejected."""
    real = ConfigurationHistory.restore

    def restore(self: ConfigurationHistory, snapshot: ControlSnapshot) -> None:
        real(self, snapshot)
        self.accepted_digests.clear()

    return mock.patch.object(ConfigurationHistory, "restore", restore)


def departed_forgotten() -> Any:
    """Departed workers are forgotten after a snapshot."""
    real = WorkerTable.restore

    def restore(self: WorkerTable, snapshot: ControlSnapshot) -> None:
        real(self, snapshot)
        self._departed.clear()

    return mock.patch.object(WorkerTable, "restore", restore)


def old_tag_votes() -> Any:
    """A machine that lost its disk comes back under its old member name, and votes with an empty log."""

    def same_name(data_dir: Any, ip: str, disk: Any, **_: Any) -> str:
        return member_name(data_dir, ip, disk, member_storage.FIRST_TAG)

    return mock.patch.object(member_storage, "member_name", same_name)


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
    """Terms and votes are never persisted."""
    real = DiskGroupStorage.save

    def save(self: DiskGroupStorage, _hard_state: Any, truncate_from: Any, entries: Any) -> None:
        real(self, None, truncate_from, entries)

    return mock.patch.object(DiskGroupStorage, "save", save)


def acknowledged_before_persisted() -> Any:
    """Messages are sent before what they acknowledge is persisted."""

    def send_when_persisted(self: MemberState, message: Any, _index: int = 0) -> None:
        self.outbox.append(message)

    return mock.patch.object(MemberState, "send_when_persisted", send_when_persisted)


def decommissioning_ended_early() -> Any:
    """A store counts as decommissioned as soon as its status is requested."""
    return mock.patch.object(leader_tasks, "is_decommissioned", return_value=True)


def request_id_reused() -> Any:
    """All requests on a connection have the same id, so that answers reach the wrong caller."""
    return mock.patch("pewterring.transport.channel.itertools.count", lambda first: itertools.cycle((first,)))


def base_not_checked() -> Any:
    """A configuration is accepted whatever its base version is."""
    real = ConfigurationHistory.put

    def put(self: ConfigurationHistory, command: PutConfiguration) -> Result:
        return real(self, msgspec.structs.replace(command, base=self.version))

    return mock.patch.object(ConfigurationHistory, "put", put)


def patch_base_not_checked() -> Any:
    """A patch is applied to whatever version is current."""
    real = ConfigurationHistory.patch

    def patched(self: ConfigurationHistory, command: PatchConfiguration) -> Result:
        return real(self, msgspec.structs.replace(command, base=self.version))

    return mock.patch.object(ConfigurationHistory, "patch", patched)


def patch_known_by_its_result() -> Any:
    """A patch is remembered by the digest of its result instead of its own."""
    real = ConfigurationHistory.patch

    def patched(self: ConfigurationHistory, command: PatchConfiguration) -> Result:
        result = real(self, command)
        if result == Accepted():
            self.accepted_digests[command.version] = document_digest(bytes(self.document))
        return result

    return mock.patch.object(ConfigurationHistory, "patch", patched)


def unknown_outcome_refused() -> Any:
    """An order whose outcome is unknown is answered as a conflict."""
    real = GroupLeadership.propose

    async def propose(self: GroupLeadership, command: Command) -> Result:
        try:
            return await real(self, command)
        except CommandOutcomeUnknownError:
            return Conflict(0)

    return mock.patch.object(GroupLeadership, "propose", propose)


def job_accepted_early() -> Any:
    """A job is acknowledged before it is committed."""
    real = JobSubmissions._accept  # noqa: SLF001 - the breakage is of a step inside the class

    async def accept(self: JobSubmissions, call: SubmitJob) -> SubmitReply:
        self.early = asyncio.ensure_future(real(self, call))  # type: ignore[attr-defined]  # only keeps the task alive
        return JobAccepted()

    return mock.patch.object(JobSubmissions, "_accept", accept)
