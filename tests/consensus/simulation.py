"""A group whose network, disks and clocks are simulated, with what must hold checked at every step."""

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
    SNAPSHOT_AFTER,
    TIMING,
    Member,
    SafetyViolationError,
    Weather,
    drops_nothing,
)


def _encoded(member: Member) -> bytes:
    """The member's state. As with the ages in real ones, no two members have the same bytes for it."""
    return json.dumps({"applied": member.applied}, indent=ord(member.name[0]) % 3 or None).encode()


class Simulation:
    """Members by name, simulated time, and the history that all members must agree with."""

    def __init__(self, seed: int, voters: int = 3, raft_class: type[Raft] = Raft) -> None:
        self.rng = random.Random(seed)
        self.raft_class = raft_class
        self.now = 0.0
        self.weather = Weather()
        self.cut_links: set[tuple[str, str]] = set()  # (sender, target)
        self.drops: Callable[[ConsensusMessage], bool] = drops_nothing
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.members: dict[str, Member] = {}
        self.leaders: dict[int, str] = {}  # by term
        self.history: dict[int, tuple[int, bytes]] = {}  # applied entries by index
        self.acknowledged: dict[str, int] = {}  # text -> index
        self.seen_index = 0  # what a read that begins now must see
        self.reads_done = 0
        names = tuple("abcdefg"[:voters])
        for name in names:
            self._add(name, MemoryStorage(names))

    # Machines.

    def _add(self, name: str, disk: MemoryStorage) -> None:
        self.members[name] = Member(name, disk, self.rng.uniform(0.95, 1.05))
        self.start(name)

    def join(self, name: str) -> None:
        """A machine with an empty disk comes up."""
        self._add(name, MemoryStorage())

    def start(self, name: str) -> None:
        member = self.members[name]
        if member.raft is not None:
            return
        member.incarnation += 1
        member.timer_at = None
        loaded = member.disk.load()
        member.applied_to = loaded.state.snapshot_index
        member.applied = json.loads(loaded.snapshot)["applied"] if loaded.snapshot else []
        member.raft = self.raft_class(
            RaftConfig("g", name, TIMING, LIMITS),
            random.Random(self.rng.random()),
            loaded.state,
            self._clock(member),
        )
        self._pump(member)

    def crash(self, name: str, saves_lost: bool = False) -> None:
        """The process dies; a save under way is on disk or is not."""
        member = self.members[name]
        if member.raft is None:
            return
        if member.job is not None and not saves_lost and self.rng.random() < 0.5:
            member.job()
        member.job = None
        member.raft = None
        member.frozen = False
        member.postponed.clear()
        member.proposals.clear()
        member.reads.clear()
        member.since_snapshot = 0

    def freeze(self, name: str) -> None:
        self.members[name].frozen = self.members[name].raft is not None

    def thaw(self, name: str, reading: bool = False) -> None:
        """The process goes on; `reading`: it is asked for a read before each thing that waited for it."""
        member = self.members[name]
        member.frozen = False
        postponed, member.postponed = member.postponed, []
        for action in postponed:
            if reading:
                self.read(name)
            action()

    # Time.

    def _clock(self, member: Member) -> float:
        return member.clock_start + self.now * member.clock_rate

    def set_clock_rate(self, name: str, rate: float) -> None:
        """From now on the member's clock runs at another rate; it does not jump."""
        member = self.members[name]
        member.clock_start += self.now * (member.clock_rate - rate)
        member.clock_rate = rate

    def _at(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float = 30.0) -> None:
        """Runs until `condition` holds, which must come."""
        if not self.run_while(lambda: not condition(), limit):
            raise SafetyViolationError("what was waited for did not come")

    def run_while(self, condition: Callable[[], bool], limit: float) -> bool:
        """Runs while `condition` holds; False if it still does at the limit."""
        end = self.now + limit
        while condition():
            if not self._events or self._events[0][0] > end:
                self.now = end
                return False
            self.now, _, action = heapq.heappop(self._events)
            action()
        return True

    def _in_incarnation(self, member: Member, action: Callable[[Raft], None]) -> Callable[[], None]:
        """The action, done if the process still lives then; when it is frozen, after that."""
        incarnation = member.incarnation

        def act() -> None:
            if member.raft is None or member.incarnation != incarnation:
                return
            if member.frozen:
                member.postponed.append(act)
                return
            try:
                action(member.raft)
            except ConsensusError as error:
                raise SafetyViolationError(str(error)) from error
            self._pump(member)

        return act

    # What a process does.

    def _pump(self, member: Member) -> None:
        raft = member.raft
        assert raft is not None
        self._compact_if_due(member, raft)
        wanted = True
        while wanted:
            ready = raft.take_ready(self._clock(member), can_save=member.job is None)
            self._do(member, raft, ready)
            wanted = ready.snapshot_wanted
            if wanted:
                raft.offer_snapshot(raft.make_snapshot(_encoded(member)))
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

        self._at(time, self._in_incarnation(member, tick))

    def _do(self, member: Member, raft: Raft, ready: Ready) -> None:
        for message in ready.messages_before_sync:
            self._send(message)
        for entry in ready.committed:
            self._apply(member, entry)
        for ticket in ready.confirmed_reads:
            assert ticket.index is not None
            self._check_read(raft, ticket.index, member.reads.pop((raft.term, ticket.number)))
        if ready.save is not None:
            self._begin_save(member, ready.save)

    def _decoded(self, member: Member, snapshot: Snapshot) -> list[list[object]]:
        try:
            applied: list[list[object]] = json.loads(snapshot.data)["applied"]
        except ValueError as error:
            raise SafetyViolationError(f"{member.name} got a snapshot that is none: {error}") from error
        return applied

    def _begin_job(self, member: Member, work: Callable[[], None], done: Callable[[Raft], None]) -> None:
        member.job = work

        def finish(raft: Raft) -> None:
            work()
            member.job = None
            done(raft)

        sync_s = self.rng.uniform(*self.weather.sync_s) if member.sync_s is None else member.sync_s
        self._at(self.now + sync_s, self._in_incarnation(member, finish))

    def _begin_save(self, member: Member, save: Save) -> None:
        def write() -> None:
            if save.snapshot is not None:
                snapshot = save.snapshot
                member.disk.save(save.hard_state, None, ())
                member.disk.save_snapshot(snapshot.index, snapshot.term, snapshot.membership, snapshot.data)
                member.disk.save(None, save.truncate_from, save.entries)
            else:
                member.disk.save(save.hard_state, save.truncate_from, save.entries)

        def done(raft: Raft) -> None:
            if save.snapshot is not None:
                member.applied = self._decoded(member, save.snapshot)
                self._check_restored(member, save.snapshot)
                if save.snapshot.index < member.applied_to:
                    raise SafetyViolationError(f"{member.name} went back from {member.applied_to}")
                member.applied_to = save.snapshot.index
                member.since_snapshot = 0
            raft.persisted(self._clock(member), save)
            for message in save.messages_after_sync:
                self._send(message)

        self._begin_job(member, write, done)

    def _compact_if_due(self, member: Member, raft: Raft) -> None:
        if member.since_snapshot < SNAPSHOT_AFTER or member.job is not None or raft.is_installing_snapshot:
            return
        member.since_snapshot = 0
        snapshot = raft.make_snapshot(_encoded(member))

        def write() -> None:
            member.disk.save_snapshot(snapshot.index, snapshot.term, snapshot.membership, snapshot.data)

        self._begin_job(member, write, lambda raft: raft.compact(snapshot))

    def _apply(self, member: Member, entry: Entry) -> None:
        known = self.history.setdefault(entry.index, (entry.term, bytes(entry.data)))
        if known != (entry.term, bytes(entry.data)):
            raise SafetyViolationError(f"{member.name} applied {entry}, others {known}")
        if entry.index != member.applied_to + 1:
            raise SafetyViolationError(f"{member.name} applied {entry.index} after {member.applied_to}")
        member.applied_to = entry.index
        member.since_snapshot += 1
        if entry.kind == ENTRY_COMMAND:
            text = json.loads(bytes(entry.data))
            member.applied.append([entry.index, entry.term, text])
            if member.proposals.pop((entry.index, entry.term), None) is not None:
                self.acknowledged[text] = entry.index
                self.seen_index = max(self.seen_index, entry.index)

    # The network.

    def _send(self, message: ConsensusMessage) -> None:
        if (message.sender, message.target) in self.cut_links or self.drops(message):
            return
        if self.rng.random() < self.weather.lost:
            return
        self._deliver_later(message)
        if self.rng.random() < self.weather.repeated:
            self._deliver_later(message)

    def _deliver_later(self, message: ConsensusMessage) -> None:
        delay = self.rng.uniform(*self.weather.delay_s)
        if self.rng.random() < self.weather.late:
            delay = self.rng.uniform(0.0, 0.5)
        self._at(self.now + delay, lambda: self._deliver(message))

    def deliver_again(self, message: ConsensusMessage) -> None:
        """A message that came before comes once more."""
        self._deliver_later(message)

    def _deliver(self, message: ConsensusMessage) -> None:
        member = self.members.get(message.target) or self._at_address(message.target)
        if member is not None and (message.sender, member.name) not in self.cut_links:
            self._in_incarnation(member, lambda raft: raft.step(self._clock(member), message))()

    def _at_address(self, target: str) -> Member | None:
        """Who has the address of a member that is gone: it gets what is meant for that one."""
        address = target.partition("#")[0]
        return next((each for each in self.members.values() if each.name.partition("#")[0] == address), None)

    def stand(self, name: str) -> None:
        """The member stands for election now, as if the others had wished it."""
        member = self.members[name]
        assert member.raft is not None
        # No message makes a member stand without a poll, but for a transfer, which voters treat otherwise.
        member.raft._election._campaign(self._clock(member))  # noqa: SLF001 - the line above
        self._pump(member)

    def has_leader(self) -> bool:
        """Whether some member leads and may answer."""
        return any(
            member.raft is not None and member.raft.has_lease(self._clock(member))
            for member in self.members.values()
        )

    def disconnect(self, name: str, other: str) -> None:
        """No message passes between the two."""
        self.cut_links |= {(name, other), (other, name)}

    def isolate(self, name: str) -> None:
        """No message reaches or leaves the member."""
        for other in self.members:
            self.disconnect(name, other)

    # What must hold.

    def _check_leader(self, member: Member, raft: Raft) -> None:
        if raft.is_leader and self.leaders.setdefault(raft.term, member.name) != member.name:
            raise SafetyViolationError(
                f"{member.name} and {self.leaders[raft.term]} lead in term {raft.term}"
            )
        if raft.is_leader and raft.is_installing_snapshot:
            raise SafetyViolationError(f"{member.name} leads while it takes over a snapshot")

    def _check_read(self, raft: Raft, index: int, least: int) -> None:
        if index < least:
            raise SafetyViolationError(f"{raft.member} reads at {index} what was {least} before")
        self.seen_index = max(self.seen_index, index)
        self.reads_done += 1

    def _check_restored(self, member: Member, snapshot: Snapshot) -> None:
        expected = [
            [index, term, json.loads(data)]
            for index, (term, data) in sorted(self.history.items())
            if index <= snapshot.index and isinstance(json.loads(data), str)
        ]
        if member.applied != expected:
            raise SafetyViolationError(f"{member.name} restored what the others never were")

    def check_converges(self) -> None:
        """With all machines and links well, the group takes commands and all members agree."""
        self.weather = Weather()
        self.cut_links.clear()
        self.drops = drops_nothing
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
            raise SafetyViolationError(f"lost: {self.acknowledged.keys() - texts}")
        for name in (*membership.voters, *membership.learners):
            if name in self.members and self.members[name].applied != leader.applied:
                raise SafetyViolationError(f"{name} and {leader.name} differ")

    # What clients do.

    def leader(self) -> str | None:
        """The member that leads in the highest term."""
        leading = [member for member in self.members.values() if member.raft and member.raft.is_leader]
        return (
            max(leading, key=lambda member: member.raft.term if member.raft else 0).name if leading else None
        )

    def leader_raft(self) -> Raft:
        raft = self.members[self.leader() or ""].raft
        assert raft is not None
        return raft

    def propose(self, text: str, name: str | None = None) -> bool:
        """Proposes a command at a member, or at the leader; False if that was refused."""
        member = self.members.get(name or self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        try:
            key = member.raft.propose(json.dumps(text).encode())
        except NotLeaderError:
            return False
        member.proposals[key] = text
        self._pump(member)
        return True

    def read(self, name: str | None = None) -> bool:
        """Reads at a member, or at the leader; False if that was refused."""
        member = self.members.get(name or self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        try:
            ticket = member.raft.request_read(self._clock(member))
        except NotLeaderError:
            return False
        if ticket.index is not None:
            self._check_read(member.raft, ticket.index, self.seen_index)
        else:
            member.reads[member.raft.term, ticket.number] = self.seen_index
        self._pump(member)
        return True

    def change(self, membership: Membership, name: str | None = None) -> bool:
        """Proposes a membership at a member, or at the leader; False if that was refused."""
        member = self.members.get(name or self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        try:
            member.raft.propose_membership(membership)
        except ConsensusError:
            return False
        self._pump(member)
        return True

    def replace_step(self, old: str, new: str) -> bool:
        """The next change on the way from `old` to `new`; True when there is none left."""
        name = self.leader()
        if name is None:
            return False
        raft = self.leader_raft()
        now = raft.membership
        if new not in (*now.voters, *now.learners):
            self.change(Membership(voters=now.voters, learners=(*now.learners, new)))
        elif new in now.learners:
            if raft.match(new) >= raft.commit_index - 5:
                learners = tuple(learner for learner in now.learners if learner != new)
                self.change(Membership(voters=(*now.voters, new), learners=learners))
        elif old in now.voters:
            voters = tuple(voter for voter in now.voters if voter != old)
            self.change(Membership(voters=voters, learners=now.learners))
        else:
            return raft.commit_index >= raft.applied_index and raft.is_ready_leader
        return False
