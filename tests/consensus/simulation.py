"""A group with a simulated network, disks and clocks, whose invariants are checked at every step."""

import heapq
import json
import random
from collections.abc import Callable

from pewterring.consensus.errors import ConsensusError, NotLeaderError
from pewterring.consensus.messages import ENTRY_COMMAND, ConsensusMessage, Entry, Membership
from pewterring.consensus.raft import Raft
from pewterring.consensus.types import RaftConfig, Ready, Save, Snapshot
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.simulated_members import (
    LIMITS,
    SNAPSHOT_INTERVAL_ENTRIES,
    TIMING,
    FaultProfile,
    Member,
    SafetyViolationError,
    drop_nothing,
)


def _encode_state(member: Member) -> bytes:
    """Encodes the member's state. As in production, members encode the same state in different bytes."""
    return json.dumps({"applied": member.applied}, indent=ord(member.name[0]) % 3 or None).encode()


class Simulation:
    """The members by name, simulated time, and the history with which all members must agree."""

    def __init__(self, seed: int, voters: int = 3, raft_class: type[Raft] = Raft) -> None:
        self.rng = random.Random(seed)
        self.raft_class = raft_class
        self.now = 0.0
        self.faults = FaultProfile()
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, target)
        self.should_drop: Callable[[ConsensusMessage], bool] = drop_nothing
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, str] = {}  # by term
        self.history: dict[int, tuple[int, bytes]] = {}  # term and data of the applied entries, by index
        self.acknowledged: dict[str, int] = {}  # index of each acknowledged command, by its text
        self.required_index = 0  # a read that starts now must see all entries up to this index
        self.completed_reads = 0
        names = tuple("abcdefg"[:voters])
        for name in names:
            self._add(name, MemoryStorage(names))

    # Machines.

    def _add(self, name: str, disk: MemoryStorage) -> None:
        self.members[name] = Member(name, disk, self.rng.uniform(0.95, 1.05))
        self.start(name)

    def join(self, name: str) -> None:
        """Starts a new machine with an empty disk."""
        self._add(name, MemoryStorage())

    def start(self, name: str) -> None:
        member = self.members[name]
        if member.raft is not None:
            return
        member.incarnation += 1
        member.timer_at = None
        loaded = member.disk.load()
        member.applied_index = loaded.state.snapshot_index
        member.applied = json.loads(loaded.snapshot)["applied"] if loaded.snapshot else []
        member.raft = self.raft_class(
            RaftConfig("g", name, TIMING, LIMITS),
            random.Random(self.rng.random()),
            loaded.state,
            self._clock(member),
        )
        self._process_ready(member)

    def crash(self, name: str, saves_lost: bool = False) -> None:
        """Kills the process. A disk write in progress may complete, unless `saves_lost`."""
        member = self.members[name]
        if member.raft is None:
            return
        if member.disk_write is not None and not saves_lost and self.rng.random() < 0.5:
            member.disk_write()
        member.disk_write = None
        member.raft = None
        member.frozen = False
        member.postponed_actions.clear()
        member.proposals.clear()
        member.reads.clear()
        member.entries_since_snapshot = 0

    def freeze(self, name: str) -> None:
        self.members[name].frozen = self.members[name].raft is not None

    def thaw(self, name: str, reading: bool = False) -> None:
        """Resumes a frozen process; with `reading`, requests a read before each postponed action."""
        member = self.members[name]
        member.frozen = False
        postponed_actions, member.postponed_actions = member.postponed_actions, []
        for action in postponed_actions:
            if reading:
                self.read(name)
            action()

    # Time.

    def _clock(self, member: Member) -> float:
        return member.clock_start + self.now * member.clock_rate

    def set_clock_rate(self, name: str, rate: float) -> None:
        """Changes the rate of the member's clock, without a jump of its time."""
        member = self.members[name]
        member.clock_start += self.now * (member.clock_rate - rate)
        member.clock_rate = rate

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float = 30.0) -> None:
        """Runs until `condition` holds; fails if it does not within `limit` seconds."""
        if not self.run_while(lambda: not condition(), limit):
            raise SafetyViolationError(f"the condition did not hold within {limit} s")

    def run_while(self, condition: Callable[[], bool], limit: float) -> bool:
        """Runs while `condition` holds; False if it still does after `limit` seconds."""
        end = self.now + limit
        while condition():
            if not self._events or self._events[0][0] > end:
                self.now = end
                return False
            self.now, _, action = heapq.heappop(self._events)
            action()
        return True

    def _in_incarnation(self, member: Member, action: Callable[[Raft], None]) -> Callable[[], None]:
        """Binds an action to the member's current process: dropped if that ends, postponed while frozen."""
        incarnation = member.incarnation

        def run_or_postpone() -> None:
            if member.raft is None or member.incarnation != incarnation:
                return
            if member.frozen:
                member.postponed_actions.append(run_or_postpone)
                return
            try:
                action(member.raft)
            except ConsensusError as error:
                raise SafetyViolationError(str(error)) from error
            self._process_ready(member)

        return run_or_postpone

    # Processes.

    def _process_ready(self, member: Member) -> None:
        raft = member.raft
        assert raft is not None
        self._compact_if_due(member, raft)
        snapshot_wanted = True
        while snapshot_wanted:
            ready = raft.take_ready(self._clock(member), can_save=member.disk_write is None)
            self._handle_ready(member, raft, ready)
            snapshot_wanted = ready.snapshot_wanted
            if snapshot_wanted:
                raft.offer_snapshot(raft.make_snapshot(_encode_state(member)))
        self._check_leader(member, raft)
        self._arm_timer(member, raft)

    def _arm_timer(self, member: Member, raft: Raft) -> None:
        deadline = raft.next_deadline()
        if deadline is None:
            return
        time = max(self.now, (deadline - member.clock_start) / member.clock_rate + 1e-6)
        if member.timer_at is not None and member.timer_at <= time:
            return
        member.timer_at = time

        def tick(raft: Raft) -> None:
            if member.timer_at == time:
                member.timer_at = None
            raft.tick(self._clock(member))

        self._schedule(time, self._in_incarnation(member, tick))

    def _handle_ready(self, member: Member, raft: Raft, ready: Ready) -> None:
        for message in ready.messages_before_sync:
            self._send(message)
        for entry in ready.committed:
            self._apply(member, entry)
        for ticket in ready.confirmed_reads:
            assert ticket.index is not None
            self._check_read(raft, ticket.index, member.reads.pop((raft.term, ticket.number)))
        if ready.save is not None:
            self._begin_save(member, ready.save)

    def _decode_state(self, member: Member, snapshot: Snapshot) -> list[list[object]]:
        try:
            applied: list[list[object]] = json.loads(snapshot.data)["applied"]
        except ValueError as error:
            raise SafetyViolationError(f"{member.name} received an invalid snapshot: {error}") from error
        return applied

    def _begin_disk_write(
        self, member: Member, write: Callable[[], None], on_done: Callable[[Raft], None]
    ) -> None:
        member.disk_write = write

        def finish(raft: Raft) -> None:
            write()
            member.disk_write = None
            on_done(raft)

        sync_s = self.rng.uniform(*self.faults.sync_s) if member.sync_s is None else member.sync_s
        self._schedule(self.now + sync_s, self._in_incarnation(member, finish))

    def _begin_save(self, member: Member, save: Save) -> None:
        def write() -> None:
            if save.snapshot is not None:
                snapshot = save.snapshot
                member.disk.save(save.hard_state, None, ())
                member.disk.save_snapshot(snapshot.index, snapshot.term, snapshot.membership, snapshot.data)
                member.disk.save(None, save.truncate_from, save.entries)
            else:
                member.disk.save(save.hard_state, save.truncate_from, save.entries)

        def on_done(raft: Raft) -> None:
            if save.snapshot is not None:
                member.applied = self._decode_state(member, save.snapshot)
                self._check_restored(member, save.snapshot)
                if save.snapshot.index < member.applied_index:
                    raise SafetyViolationError(
                        f"{member.name} went back from entry {member.applied_index} to an older snapshot"
                    )
                member.applied_index = save.snapshot.index
                member.entries_since_snapshot = 0
            raft.persisted(self._clock(member), save)
            for message in save.messages_after_sync:
                self._send(message)

        self._begin_disk_write(member, write, on_done)

    def _compact_if_due(self, member: Member, raft: Raft) -> None:
        if (
            member.entries_since_snapshot < SNAPSHOT_INTERVAL_ENTRIES
            or member.disk_write is not None
            or raft.is_installing_snapshot
        ):
            return
        member.entries_since_snapshot = 0
        snapshot = raft.make_snapshot(_encode_state(member))

        def write() -> None:
            member.disk.save_snapshot(snapshot.index, snapshot.term, snapshot.membership, snapshot.data)

        self._begin_disk_write(member, write, lambda raft: raft.compact(snapshot))

    def _apply(self, member: Member, entry: Entry) -> None:
        expected = self.history.setdefault(entry.index, (entry.term, bytes(entry.data)))
        if expected != (entry.term, bytes(entry.data)):
            raise SafetyViolationError(f"{member.name} applied {entry}, other members {expected}")
        if entry.index != member.applied_index + 1:
            raise SafetyViolationError(f"{member.name} applied {entry.index} after {member.applied_index}")
        member.applied_index = entry.index
        member.entries_since_snapshot += 1
        if entry.kind == ENTRY_COMMAND:
            text = json.loads(bytes(entry.data))
            member.applied.append([entry.index, entry.term, text])
            if member.proposals.pop((entry.index, entry.term), None) is not None:
                self.acknowledged[text] = entry.index
                self.required_index = max(self.required_index, entry.index)

    # The network.

    def _send(self, message: ConsensusMessage) -> None:
        if (message.sender, message.target) in self.blocked_links or self.should_drop(message):
            return
        if self.rng.random() < self.faults.loss_rate:
            return
        self._deliver_later(message)
        if self.rng.random() < self.faults.duplicate_rate:
            self._deliver_later(message)

    def _deliver_later(self, message: ConsensusMessage) -> None:
        delay = self.rng.uniform(*self.faults.delay_s)
        if self.rng.random() < self.faults.long_delay_rate:
            delay = self.rng.uniform(0.0, 0.5)
        self._schedule(self.now + delay, lambda: self._deliver(message))

    def deliver_again(self, message: ConsensusMessage) -> None:
        """Delivers a duplicate of a message that was sent before."""
        self._deliver_later(message)

    def _deliver(self, message: ConsensusMessage) -> None:
        member = self.members.get(message.target) or self._at_address(message.target)
        if member is not None and (message.sender, member.name) not in self.blocked_links:
            self._in_incarnation(member, lambda raft: raft.step(self._clock(member), message))()

    def _at_address(self, target: str) -> Member | None:
        """The member at the address of `target`, which receives the messages to a replaced member."""
        address = target.partition("#")[0]
        return next(
            (member for member in self.members.values() if member.name.partition("#")[0] == address), None
        )

    def start_election(self, name: str) -> None:
        """Makes the member start an election now, as if it had won a pre-vote."""
        member = self.members[name]
        assert member.raft is not None
        # Only `TimeoutNow` starts an election without a pre-vote, but voters treat that election differently.
        member.raft._election._campaign(self._clock(member))  # noqa: SLF001 - see the comment above
        self._process_ready(member)

    def has_leader_with_lease(self) -> bool:
        """Whether a member leads and has a lease, so that it may answer reads."""
        return any(
            member.raft is not None and member.raft.has_lease(self._clock(member))
            for member in self.members.values()
        )

    def disconnect(self, name: str, other: str) -> None:
        """Drops all messages between two members from now on."""
        self.blocked_links |= {(name, other), (other, name)}

    def isolate(self, name: str) -> None:
        """Drops all messages to and from the member from now on."""
        for other in self.members:
            self.disconnect(name, other)

    # Invariants.

    def _check_leader(self, member: Member, raft: Raft) -> None:
        if raft.is_leader and self.leaders.setdefault(raft.term, member.name) != member.name:
            raise SafetyViolationError(
                f"{member.name} and {self.leaders[raft.term]} lead in term {raft.term}"
            )
        if raft.is_leader and raft.is_installing_snapshot:
            raise SafetyViolationError(f"{member.name} leads while it installs a snapshot")

    def _check_read(self, raft: Raft, index: int, required_index: int) -> None:
        if index < required_index:
            raise SafetyViolationError(
                f"{raft.member} reads at index {index}, but {required_index} is required"
            )
        self.required_index = max(self.required_index, index)
        self.completed_reads += 1

    def _check_restored(self, member: Member, snapshot: Snapshot) -> None:
        expected = [
            [index, term, json.loads(data)]
            for index, (term, data) in sorted(self.history.items())
            if index <= snapshot.index and isinstance(json.loads(data), str)
        ]
        if member.applied != expected:
            raise SafetyViolationError(f"{member.name} restored a state that contradicts the history")

    def check_converges(self) -> None:
        """Removes all faults, then checks that the group accepts commands and all members agree."""
        self.faults = FaultProfile()
        self.blocked_links.clear()
        self.should_drop = drop_nothing
        for name, member in self.members.items():
            self.start(name)
            member.sync_s = None
            if member.frozen:
                self.thaw(name)
        self.run_until(lambda: self.leader() is not None and self.leader_raft().is_ready_leader)
        text = f"last {self.now}"
        while text not in self.acknowledged:
            self.propose(text)
            self.run(0.5)
        self.run(2.0)
        leader = self.members[self.leader() or ""]
        membership = self.leader_raft().membership
        texts = {entry[2] for entry in leader.applied}
        if not texts >= self.acknowledged.keys():
            raise SafetyViolationError(f"lost commands: {self.acknowledged.keys() - texts}")
        for name in (*membership.voters, *membership.learners):
            if name in self.members and self.members[name].applied != leader.applied:
                raise SafetyViolationError(f"{name} and {leader.name} have different commands")

    # Clients.

    def leader(self) -> str | None:
        """The member that leads in the highest term, if any."""
        leading = [member for member in self.members.values() if member.raft and member.raft.is_leader]
        return (
            max(leading, key=lambda member: member.raft.term if member.raft else 0).name if leading else None
        )

    def leader_raft(self) -> Raft:
        raft = self.members[self.leader() or ""].raft
        assert raft is not None
        return raft

    def propose(self, text: str, name: str | None = None) -> bool:
        """Proposes a command at a member, by default the leader; False if it was rejected."""
        member = self.members.get(name or self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        try:
            key = member.raft.propose(json.dumps(text).encode())
        except NotLeaderError:
            return False
        member.proposals[key] = text
        self._process_ready(member)
        return True

    def read(self, name: str | None = None) -> bool:
        """Requests a read at a member, by default the leader; False if it was rejected."""
        member = self.members.get(name or self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        try:
            ticket = member.raft.request_read(self._clock(member))
        except NotLeaderError:
            return False
        if ticket.index is not None:
            self._check_read(member.raft, ticket.index, self.required_index)
        else:
            member.reads[member.raft.term, ticket.number] = self.required_index
        self._process_ready(member)
        return True

    def propose_membership(self, membership: Membership, name: str | None = None) -> bool:
        """Proposes a membership at a member, by default the leader; False if it was rejected."""
        member = self.members.get(name or self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        try:
            member.raft.propose_membership(membership)
        except ConsensusError:
            return False
        self._process_ready(member)
        return True

    def advance_replacement(self, old: str, new: str) -> bool:
        """Proposes the next membership change to replace `old` by `new`; True once all are done."""
        name = self.leader()
        if name is None:
            return False
        raft = self.leader_raft()
        current = raft.membership
        if new not in (*current.voters, *current.learners):
            self.propose_membership(Membership(voters=current.voters, learners=(*current.learners, new)))
        elif new in current.learners:
            if raft.match(new) >= raft.commit_index - 5:
                learners = tuple(learner for learner in current.learners if learner != new)
                self.propose_membership(Membership(voters=(*current.voters, new), learners=learners))
        elif old in current.voters:
            voters = tuple(voter for voter in current.voters if voter != old)
            self.propose_membership(Membership(voters=voters, learners=current.learners))
        else:
            return raft.commit_index >= raft.applied_index and raft.is_ready_leader
        return False
