"""How long after a loss 2f + 1 voters hold all again, with the largest state that a group may have.

    python -m benchmarks.redundancy [--kinds batch,control] [--tolerated 1,2] [--catch-up 4.8,6]
                                    [--cases wiped,wiped-leader,follower,leader,leaving,leaving-leader]
                                    [--seeds 3] [--disk-mb 110] [--memory-mb 320] [--copy-mb-per-s 0]
                                    [--share 0.645] [--link-mbit 600] [--sync-ms 1]
                                    [--mb-per-s 120] [--rates 307,342,449,520]

Members run in virtual time on their real storage, over a disk in memory, and hand each other encoded
messages; the planner of members looks at the group as the programs do. The clock counts what a disk, a link
and a processor of the given speed would take: each message is encoded, sent, received and decoded, and the
state is written and read, at the rates that this machine has (measured first, and printed), times `share`.
Commands of 1 MB/s go on. A batch state is as large as a store of `disk-mb` and `memory-mb` takes, and with
`copy-mb-per-s` one that is told that rate and the shortest `catch-up`. As many
machines as may be lost are lost at once, with `leader` the leader and followers, else followers. The `wiped`
ones come back empty after half a second, and count from then; the others are gone for good, where there are
as many spare machines, which have run for the bound on catching up, and count from the loss. A `leaving` one,
alone and with one spare machine, stops by plan: counted is from SIGTERM until it has no vote any more, or has
waited as long as it may. `rates` are those that another run printed, in MB/s: what is measured depends on who
else uses this machine. Printed are the shortest and the longest of so many seeds.
"""

import argparse
import asyncio
import contextlib
import itertools
import os
import random
import time
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import msgspec

from pewterring.batch import commands as batch_commands
from pewterring.batch.capacity import StoreLimits, max_state_bytes
from pewterring.batch.messages import ItemSpec
from pewterring.batch.partitions import MEMBERSHIP_CHECK_PERIOD_S
from pewterring.batch.state import BatchState
from pewterring.consensus.departure import DEPARTURE_TIMEOUT_FRACTION
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.membership import address_of, voters_needed
from pewterring.consensus.membership_planner import ALL_SPARES, MAX_CHANGES_PER_CHECK, MembershipPlanner
from pewterring.consensus.membership_view import Candidates
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage, Membership, SnapshotChunk
from pewterring.consensus.persistent import HardState
from pewterring.consensus.state_machine import StateMachine
from pewterring.consensus.types import RaftLimits
from pewterring.control.commands import PutConfiguration, PutWorker, RemoveWorkers, encode_command
from pewterring.control.configuration_history import REMEMBERED_VERSIONS
from pewterring.control.program import LEADER_CHECK_INTERVAL_S
from pewterring.control.state import ControlState
from pewterring.control.worker_table import REMEMBERED_DEPARTURES
from pewterring.distribution.messages import WorkerRecord
from pewterring.storage.group import DiskGroupStorage
from pewterring.transport.line_codec import MessageCodec
from tests.configuration.documents import numbered_routes
from tests.consensus.slow_members import SlowDiskExecutor
from tests.consensus.virtual_time import run
from tests.storage.simulated_disk import SimulatedDisk

GROUP = "group"
FIRST_INDEX, FIRST_TERM = 1000, 1  # of the snapshot that all begin with
DELAY_S = 0.001  # of a link, one way
MESSAGE_S = 0.0001  # of a processor, for each message besides its bytes
DOWN_S = 0.5  # until a wiped machine is back
TABLES_S = 0.25  # until stores learn of a new one: control publishes its table each 0.2 s
SETTLE_S = 1.5  # after the start
STEP_S = 0.005  # between looks whether the group is whole
PATIENCE_S = 30.0
JOB_BYTES = 50_000
JOBS_A_SECOND = 20
GRACE_S = 8.0  # after SIGTERM
ITEMS = 10
KEPT_JOBS = 20  # of those that come during a run; the first state leaves room for them
ROUTES = 300
WORKERS = 800
WORKER_ID_LENGTH = 62  # besides its prefix
CODEC = MessageCodec(CONSENSUS_MESSAGES)


@dataclass(frozen=True, slots=True)
class Machine:
    """What a machine does in a second."""

    encoded_bytes: float
    decoded_bytes: float
    snapshot_bytes: float
    restored_bytes: float
    link_bytes: float
    sync_s: float
    disk_bytes: float
    disk_size_bytes: int

    def slowed(self, share: float) -> "Machine":
        """With a processor of that share of this one."""
        return replace(
            self,
            encoded_bytes=self.encoded_bytes * share,
            decoded_bytes=self.decoded_bytes * share,
            snapshot_bytes=self.snapshot_bytes * share,
            restored_bytes=self.restored_bytes * share,
        )


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of group: its state, the commands that go on, and how its leader plans members."""

    machine: Callable[[], StateMachine]
    commands: Callable[[], Iterator[bytes]]
    spare_learners: int | None  # None: as many as losses are tolerated
    interval_s: float
    known_after_s: float  # until the leader knows of a machine that started


def _accept(job: str) -> bytes:
    body = "A" * (JOB_BYTES // ITEMS)
    items = tuple(ItemSpec(f"i-{n}", "/p", {}, body, 100) for n in range(ITEMS))
    return batch_commands.encode_command(batch_commands.AcceptJob(job, "h.example", "/", items))


def batch_commands_going_on() -> Iterator[bytes]:
    """Jobs that come, and old ones that are dropped."""
    for number in itertools.count():
        yield _accept(f"new-{number}")
        if number >= KEPT_JOBS:
            yield batch_commands.encode_command(batch_commands.DropJobs((f"new-{number - KEPT_JOBS}",)))


def batch_state(size_bytes: int) -> bytes:
    """A snapshot with jobs of so many bytes."""
    state = BatchState(time.monotonic)
    for number in range(size_bytes // JOB_BYTES):
        state.apply(number + 1, _accept(f"old-{number}"))
    return state.snapshot()


def _configuration(version: int) -> bytes:
    routes = numbered_routes(version, ROUTES)
    document = msgspec.Raw(msgspec.json.encode({"version": version, "routes": routes}))
    return encode_command(PutConfiguration(version - 1, version, f"{version:064d}", document))


def _worker(number: int) -> bytes:
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80"
    return encode_command(PutWorker(WorkerRecord(_worker_id(number), "s", address, "z", 8, "ready")))


def _worker_id(number: int) -> str:
    return f"w-{number:0{WORKER_ID_LENGTH}d}"


def control_commands_going_on() -> Iterator[bytes]:
    """Configurations one after the other."""
    return (_configuration(version) for version in itertools.count(REMEMBERED_VERSIONS + 1))


def control_state(size_bytes: int) -> bytes:
    """A snapshot with all that the state remembers at most, 300 routes and 800 workers."""
    state = ControlState()
    commands = [_configuration(version) for version in range(1, REMEMBERED_VERSIONS + 1)]
    commands += [_worker(number) for number in range(REMEMBERED_DEPARTURES + WORKERS)]
    gone = tuple(_worker_id(number) for number in range(REMEMBERED_DEPARTURES))
    commands.append(encode_command(RemoveWorkers(gone, permanent=True)))
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return state.snapshot()


KINDS = {
    "batch": Kind(
        lambda: BatchState(time.monotonic),
        batch_commands_going_on,
        None,
        MEMBERSHIP_CHECK_PERIOD_S,
        TABLES_S,
    ),
    "control": Kind(ControlState, control_commands_going_on, ALL_SPARES, LEADER_CHECK_INTERVAL_S, 0.0),
}
STATES = {"batch": batch_state, "control": control_state}


class Resource:
    """Does one thing after the other: a processor, or one direction of a link."""

    def __init__(self) -> None:
        self._free_at = 0.0

    def use(self, now: float, duration_s: float) -> float:
        """Takes up something that lasts so long; returns when it is done."""
        self._free_at = max(now, self._free_at) + duration_s
        return self._free_at


class MeteredMachine:
    """A state machine whose snapshots take the processor's time."""

    def __init__(self, inner: StateMachine, processor: Resource, speeds: Machine) -> None:
        self._inner = inner
        self._processor = processor
        self._speeds = speeds

    def apply(self, index: int, command: bytes) -> object:
        return self._inner.apply(index, command)

    def snapshot(self) -> bytes:
        data = self._inner.snapshot()
        self._processor.use(now(), len(data) / self._speeds.snapshot_bytes)
        return data

    def restore(self, data: bytes) -> None:
        self._inner.restore(data)
        self._processor.use(now(), len(data) / self._speeds.restored_bytes)


def now() -> float:
    """Virtual time."""
    return asyncio.get_running_loop().time()


class Node:
    """One machine with its member."""

    def __init__(self, name: str, speeds: Machine) -> None:
        self.name = name
        self.disk = SimulatedDisk(speeds.disk_size_bytes)
        self.processor = Resource()
        self.link_out = Resource()
        self.link_in = Resource()
        self.group: ReplicatedGroup | None = None
        self.planner: MembershipPlanner | None = None
        self.looks: asyncio.Task[None] | None = None
        self.departure_check: asyncio.Task[None] | None = None
        self.known_at = 0.0


class Cluster:
    """The members that run, the planner at each, and the commands that go on."""

    def __init__(
        self, kind: Kind, state: bytes, tolerated: int, catch_up_s: float, speeds: Machine, seed: int
    ) -> None:
        self._kind = kind
        self._state = state
        self._tolerated = tolerated
        self._catch_up_s = catch_up_s
        self._speeds = speeds
        self._rng = random.Random(seed)
        self._commands = kind.commands()
        self.nodes: dict[str, Node] = {}
        self.joined_at: float | None = None  # when the first learner was let in, since the loss
        self.acknowledged = 0
        self.first = tuple(f"10.0.0.{number}#first" for number in range(voters_needed(tolerated)))

    async def start(self, name: str, with_state: bool = False) -> None:
        node = Node(name, self._speeds)
        if with_state:
            self._prepare(node)
        machine = MeteredMachine(self._kind.machine(), node.processor, self._speeds)
        kept = self._kind.spare_learners
        node.planner = MembershipPlanner(
            name, self._tolerated, self._catch_up_s, self._tolerated if kept is None else kept
        )
        group = ReplicatedGroup(
            GROUP,
            name,
            GroupEnvironment(
                storage=DiskGroupStorage(node.disk, GROUP),
                machine=machine,
                send=self._send,
                clock=asyncio.get_running_loop().time,
                rng=random.Random(self._rng.random()),
                executor=SlowDiskExecutor(node.disk, self._speeds.sync_s, self._speeds.disk_bytes),
            ),
            callbacks=GroupCallbacks(
                on_leadership=lambda leads: self._on_leadership(node, leads),
                on_departure=lambda: self._on_departure(node),
            ),
        )
        node.group = group
        node.known_at = now() + self._kind.known_after_s
        self.nodes[name] = node
        await group.start()
        node.looks = asyncio.create_task(self._look_forever(node))

    def _prepare(self, node: Node) -> None:
        membership = Membership(self.first)
        storage = DiskGroupStorage(node.disk, GROUP)
        storage.load()
        storage.initialize(membership)
        storage.save(HardState(FIRST_TERM, None), None, ())
        storage.save_snapshot(FIRST_INDEX, FIRST_TERM, membership, self._state)
        storage.close()

    async def lose(self, name: str) -> None:
        node = self.nodes.pop(name)
        if node.looks is not None and node.group is not None:
            node.looks.cancel()
            await node.group.stop()

    # The network

    def _send(self, message: ConsensusMessage) -> None:
        node = self.nodes.get(message.sender)
        if node is None:
            return
        line = CODEC.line(message)
        encoded_at = node.processor.use(now(), MESSAGE_S + len(line) / self._speeds.encoded_bytes)
        asyncio.get_running_loop().call_at(encoded_at, self._transmit, node, message.target, line)

    def _transmit(self, node: Node, target: str, line: bytes) -> None:
        duration_s = len(line) / self._speeds.link_bytes
        first_byte_at = node.link_out.use(now(), duration_s) - duration_s + DELAY_S
        asyncio.get_running_loop().call_at(first_byte_at, self._arrive, target, line)

    def _arrive(self, target: str, line: bytes) -> None:
        node = self.nodes.get(target)
        if node is not None:
            read_at = node.link_in.use(now(), len(line) / self._speeds.link_bytes)
            asyncio.get_running_loop().call_at(read_at, self._decode, node, line)

    def _decode(self, node: Node, line: bytes) -> None:
        decoded_at = node.processor.use(now(), MESSAGE_S + len(line) / self._speeds.decoded_bytes)
        asyncio.get_running_loop().call_at(decoded_at, self._receive, node, line)

    def _receive(self, node: Node, line: bytes) -> None:
        if self.nodes.get(node.name) is node and node.group is not None:
            message = CODEC.decode(CODEC.decode_line(line).body)
            assert isinstance(message, ConsensusMessage)
            node.group.receive(message)

    # The planner, as the programs run it

    def _on_leadership(self, node: Node, leads: bool) -> None:
        if leads and node.planner is not None and node.group is not None:
            node.planner.start(now(), node.group)

    def _on_departure(self, node: Node) -> None:
        if node.departure_check is None or node.departure_check.done():
            node.departure_check = asyncio.create_task(self._look_once(node))

    async def _look_once(self, node: Node) -> None:
        with contextlib.suppress(ConsensusError):
            await self._plan_members(node)

    async def _look_forever(self, node: Node) -> None:
        while True:
            await asyncio.sleep(self._kind.interval_s)
            await self._look_once(node)

    async def _plan_members(self, node: Node) -> None:
        group, planner = node.group, node.planner
        assert group is not None and planner is not None
        for _ in range(MAX_CHANGES_PER_CHECK):
            if not group.has_lease(now()):
                return
            change = planner.plan(now(), group, self._candidates())
            if change is None:
                return
            if len(change.learners) > len(group.membership.learners) and self.joined_at is None:
                self.joined_at = now()
            await group.change_membership(change)

    def _candidates(self) -> Candidates:
        known = [name for name, node in self.nodes.items() if node.known_at <= now()]
        return Candidates(tuple(known), {address_of(name): name for name in known})

    # What goes on, and what is looked for

    def leader(self) -> ReplicatedGroup | None:
        groups = (node.group for node in self.nodes.values() if node.group is not None)
        leading = [group for group in groups if group.is_leader]
        return max(leading, key=lambda group: group.term, default=None)

    async def write_forever(self) -> None:
        """Commands at their pace, each in its own time: a slow one holds up none that follow."""
        writes: set[asyncio.Task[None]] = set()
        while True:
            write = asyncio.create_task(self._write())
            writes.add(write)
            write.add_done_callback(writes.discard)
            await asyncio.sleep(1 / JOBS_A_SECOND)

    async def _write(self) -> None:
        leader = self.leader()
        if leader is not None:
            with contextlib.suppress(ConsensusError):
                await leader.propose(next(self._commands))
                self.acknowledged += 1

    def is_whole(self) -> bool:
        """Whether 2f + 1 voters that are there have all that is committed on their disks."""
        leader = self.leader()
        if leader is None or not leader.membership_is_committed or not leader.has_lease(now()):
            return False
        voters = leader.membership.voters
        return len(voters) == voters_needed(self._tolerated) and all(
            voter in self.nodes and leader.match(voter) >= leader.commit_index for voter in voters
        )

    async def until_whole(self) -> float | None:
        """How long that took; None where it did not come."""
        began = now()
        while now() - began < PATIENCE_S:
            if self.is_whole():
                return now() - began
            await asyncio.sleep(STEP_S)
        return None


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds since the loss or the return. A batch learner joins when its copy may begin."""

    joined_s: float
    whole_s: float


async def measure(cluster: Cluster, case: str, tolerated: int, catch_up_s: float, phase_s: float) -> Times:
    """One loss, until the group is whole."""
    for name in cluster.first:
        await cluster.start(name, with_state=True)
    is_wiped = case.startswith("wiped")
    is_departing = case.startswith("leaving")
    spares = 0 if is_wiped else 1 if is_departing else tolerated
    for number in range(spares):
        await cluster.start(f"10.0.1.{number}#spare")
    writes = asyncio.create_task(cluster.write_forever())
    await asyncio.sleep(SETTLE_S + phase_s)
    if spares:
        await asyncio.sleep(catch_up_s)  # a spare machine has had its time before the next loss comes
    leader = cluster.leader()
    assert leader is not None and await cluster.until_whole() is not None
    followers = [name for name in leader.membership.voters if name != leader.member]
    lost = [leader.member, *followers] if case.endswith("leader") else followers
    lost = lost[:tolerated]
    began = now()
    cluster.joined_at = None
    if is_departing:
        leaving = cluster.nodes[lost[0]].group
        assert leaving is not None
        await leaving.depart(DEPARTURE_TIMEOUT_FRACTION * GRACE_S)
    else:
        for name in lost:
            await cluster.lose(name)
    if is_wiped:
        await asyncio.sleep(DOWN_S)
        for name in lost:
            await cluster.start(f"{address_of(name)}#new")
        began = now()
    whole = None if is_departing else await cluster.until_whole()
    ended = now()
    writes.cancel()
    for name in list(cluster.nodes):
        await cluster.lose(name)
    joined_at = ended if cluster.joined_at is None else cluster.joined_at
    came = is_departing or whole is not None
    return Times(joined_at - began, ended - began if came else float("inf"))


def _rate(work: Callable[[], object], size_bytes: int, times: int) -> float:
    """Bytes a second of the fastest of some runs: others use this machine too."""
    best = float("inf")
    for _ in range(times):
        began = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - began)
    return size_bytes / best


def speeds_here(kind: Kind, state: bytes, given: argparse.Namespace) -> Machine:
    """What the codec and the state machine take on this machine, and the rest as given."""
    part = SnapshotChunk(
        group=GROUP,
        sender="a",
        target="b",
        term=1,
        last_index=1,
        last_term=1,
        membership=Membership(("a",)),
        offset=0,
        total=len(state),
        checksum=1,
        data=os.urandom(RaftLimits().snapshot_chunk_bytes),
        round=1,
    )
    line = CODEC.line(part)
    machine = kind.machine()
    rates = [float(rate) * 1e6 for rate in given.rates.split(",")] if given.rates else None

    def restore() -> None:
        zlib.crc32(state)
        machine.restore(state)

    if rates is None:
        rates = [
            _rate(lambda: CODEC.line(part), len(line), 50),
            _rate(lambda: CODEC.decode(CODEC.decode_line(line).body), len(line), 50),
        ]
        restored = _rate(restore, len(state), 3)
        rates += [_rate(lambda: zlib.crc32(machine.snapshot()), len(state), 3), restored]
    return Machine(
        encoded_bytes=rates[0],
        decoded_bytes=rates[1],
        snapshot_bytes=rates[2],
        restored_bytes=rates[3],
        link_bytes=given.link_mbit * 1e6 / 8,
        sync_s=given.sync_ms / 1000,
        disk_bytes=given.mb_per_s * 1e6,
        disk_size_bytes=given.disk_mb * 1_000_000,
    )


def _verdict(longest_s: float, catch_up_s: float) -> str:
    if longest_s > catch_up_s:
        return "OVER catch-up"
    return "over half" if longest_s > catch_up_s / 2 else "within half"


def _measure_kind(name: str, given: argparse.Namespace) -> None:
    kind = KINDS[name]
    shortest_s = min(float(bound) for bound in given.catch_up.split(","))
    limits = StoreLimits(given.memory_mb, given.disk_mb, given.copy_mb_per_s, shortest_s)
    most_bytes = max_state_bytes(limits)
    state = STATES[name](most_bytes - KEPT_JOBS * JOB_BYTES)
    speeds = speeds_here(kind, state, given)
    print(
        f"{name}: state {len(state) / 1e6:.2f} MB; MB/s: encode {speeds.encoded_bytes / 1e6:.0f},"
        f" decode {speeds.decoded_bytes / 1e6:.0f}, snapshot {speeds.snapshot_bytes / 1e6:.0f},"
        f" restore {speeds.restored_bytes / 1e6:.0f}; times {given.share:g}",
        flush=True,
    )
    speeds = speeds.slowed(given.share)
    choices = itertools.product(given.tolerated.split(","), given.catch_up.split(","), given.cases.split(","))
    for tolerated, catch_up_s, case in choices:
        began = time.perf_counter()
        times = []
        for seed in range(given.seeds):
            cluster = Cluster(kind, state, int(tolerated), float(catch_up_s), speeds, seed)
            phase_s = random.Random(seed).uniform(0, 0.5)
            times.append(run(measure(cluster, case, int(tolerated), float(catch_up_s), phase_s)))
        took_s = time.perf_counter() - began
        times.sort(key=lambda one: one.whole_s)
        shortest, longest = times[0], times[-1]
        print(
            f"{name:8} f = {tolerated} {case:12} catch-up {catch_up_s:>4} s:"
            f" {shortest.whole_s:5.2f} to {longest.whole_s:5.2f} s (joined at {longest.joined_s:.2f} s),"
            f" {_verdict(longest.whole_s, float(catch_up_s))} ({given.seeds} seeds, {took_s:.0f} s here)",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--kinds", default="batch,control")
    parser.add_argument("--tolerated", default="1,2")
    parser.add_argument("--catch-up", default="4.8,6")
    parser.add_argument("--cases", default="wiped,wiped-leader,follower,leader,leaving,leaving-leader")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--disk-mb", type=int, default=110)
    parser.add_argument("--memory-mb", type=int, default=320)
    parser.add_argument("--copy-mb-per-s", type=float, default=0)
    parser.add_argument("--share", type=float, default=0.645, help="of this machine's processor")
    parser.add_argument("--link-mbit", type=float, default=600)
    parser.add_argument("--sync-ms", type=float, default=1)
    parser.add_argument("--mb-per-s", type=float, default=120)
    parser.add_argument("--rates", default="", help="MB/s: encode, decode, snapshot, restore")
    given = parser.parse_args()
    print("load", *os.getloadavg(), flush=True)
    for name in given.kinds.split(","):
        _measure_kind(name, given)
    print("load", *os.getloadavg(), flush=True)


if __name__ == "__main__":
    main()
