"""Measures how long a group takes to regain full redundancy after a loss, with its largest permitted state.

    python -m benchmarks.redundancy [--kinds batch,control] [--tolerated 1,2] [--catch-up 4.8,6]
                                    [--cases wiped,wiped-leader,follower,leader,leaving,leaving-leader]
                                    [--seeds 3] [--disk-mb 110] [--memory-mb 320] [--copy-mb-per-s 0]
                                    [--share 0.645] [--link-mbit 600] [--sync-ms 1]
                                    [--mb-per-s 120] [--rates 307,342,449,520]

Members run in virtual time on their real storage, over a disk in memory, and exchange encoded messages. The
membership planner examines the group as it does in the programs. Virtual time includes what a disk, a link
and a processor of the given speeds would take: messages are encoded, sent, received and decoded, and the
state is written and read, at the rates of this machine (measured first, and printed) multiplied by `share`.
Clients submit 1 MB/s of commands throughout. The batch state is the largest that a store of `disk-mb` and
`memory-mb` accepts; with `copy-mb-per-s`, one that is configured with that rate and the shortest `catch-up`.

As many machines are lost at once as the group tolerates: in the `leader` cases the leader and followers,
otherwise followers alone. `wiped` machines return empty after half a second, from which the time counts. The
others never return; as many spare machines are available, which have run for the catch-up bound, and the time
counts from the loss. A `leaving` machine stops as planned while one spare is available; the time counts from
SIGTERM until it has no vote, or has waited for its limit. `rates`, in MB/s, replace the measured rates, which
depend on other load. For each case the shortest and the longest time of all seeds are printed.
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
FIRST_INDEX, FIRST_TERM = 1000, 1  # of the snapshot that all members start with
LINK_DELAY_S = 0.001  # one way
MESSAGE_S = 0.0001  # processor time of each message, in addition to that of its bytes
DOWN_S = 0.5  # until a wiped machine returns
TABLES_S = 0.25  # until stores know a new store: control publishes the table of nodes every 0.2 s
START_S = 1.5  # until the group has a leader
CHECK_INTERVAL_S = 0.005  # between checks whether the group has regained its redundancy
TIMEOUT_S = 30.0
JOB_BYTES = 50_000
JOBS_A_SECOND = 20
GRACE_S = 8.0  # between SIGTERM and SIGKILL
ITEMS = 10
RETAINED_JOBS = 20  # of the jobs submitted during a run; the initial state leaves capacity for them
ROUTES = 300
WORKERS = 800
WORKER_ID_LENGTH = 62  # without its prefix
CODEC = MessageCodec(CONSENSUS_MESSAGES)


@dataclass(frozen=True, slots=True)
class Machine:
    """Throughput of a machine in bytes a second, the duration of a disk sync, and the size of its disk."""

    encoded_bytes: float
    decoded_bytes: float
    snapshot_bytes: float
    restored_bytes: float
    link_bytes: float
    sync_s: float
    disk_bytes: float
    disk_size_bytes: int

    def slowed(self, share: float) -> "Machine":
        """Returns the machine with a slower processor."""
        return replace(
            self,
            encoded_bytes=self.encoded_bytes * share,
            decoded_bytes=self.decoded_bytes * share,
            snapshot_bytes=self.snapshot_bytes * share,
            restored_bytes=self.restored_bytes * share,
        )


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of group: its state machine, its commands, and how its leader plans the membership."""

    machine: Callable[[], StateMachine]
    commands: Callable[[], Iterator[bytes]]
    spare_learners: int | None  # None: as many as the losses that the group tolerates
    interval_s: float
    known_after_s: float  # until the leader knows a machine that has started


def _accept(job: str) -> bytes:
    body = "A" * (JOB_BYTES // ITEMS)
    items = tuple(ItemSpec(f"i-{number}", "/p", {}, body, 100) for number in range(ITEMS))
    return batch_commands.encode_command(batch_commands.AcceptJob(job, "h.example", "/", items))


def batch_command_stream() -> Iterator[bytes]:
    """Yields commands that accept jobs and drop earlier ones."""
    for number in itertools.count():
        yield _accept(f"new-{number}")
        if number >= RETAINED_JOBS:
            yield batch_commands.encode_command(batch_commands.DropJobs((f"new-{number - RETAINED_JOBS}",)))


def batch_state(size_bytes: int) -> bytes:
    """Returns a snapshot with jobs of that size in total."""
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


def control_command_stream() -> Iterator[bytes]:
    """Yields commands that replace the configuration."""
    return (_configuration(version) for version in itertools.count(REMEMBERED_VERSIONS + 1))


def control_state(size_bytes: int) -> bytes:
    """Returns the largest snapshot of control, with 300 routes and 800 workers."""
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
        batch_command_stream,
        None,
        MEMBERSHIP_CHECK_PERIOD_S,
        TABLES_S,
    ),
    "control": Kind(ControlState, control_command_stream, ALL_SPARES, LEADER_CHECK_INTERVAL_S, 0.0),
}
STATES = {"batch": batch_state, "control": control_state}


class Resource:
    """A processor, or one direction of a link: serves one use at a time."""

    def __init__(self) -> None:
        self._free_at = 0.0

    def use(self, now: float, duration_s: float) -> float:
        """Queues a use of that duration; returns the time at which it ends."""
        self._free_at = max(now, self._free_at) + duration_s
        return self._free_at


class MeteredMachine:
    """A state machine whose snapshots occupy a simulated processor."""

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
    """Returns the virtual time in seconds."""
    return asyncio.get_running_loop().time()


class Node:
    """One machine and its member of the group."""

    def __init__(self, name: str, speeds: Machine) -> None:
        self.name = name
        self.disk = SimulatedDisk(speeds.disk_size_bytes)
        self.processor = Resource()
        self.link_out = Resource()
        self.link_in = Resource()
        self.group: ReplicatedGroup | None = None
        self.planner: MembershipPlanner | None = None
        self.membership_checks: asyncio.Task[None] | None = None
        self.departure_check: asyncio.Task[None] | None = None
        self.known_at = 0.0


class Cluster:
    """The running members, the membership planner of each, and the clients that submit commands."""

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
        self.joined_at: float | None = None  # when the first learner joined after the loss
        self.acknowledged = 0
        self.first = tuple(f"10.0.0.{number}#first" for number in range(voters_needed(tolerated)))

    async def start(self, name: str, with_state: bool = False) -> None:
        node = Node(name, self._speeds)
        if with_state:
            self._prepare(node)
        machine = MeteredMachine(self._kind.machine(), node.processor, self._speeds)
        spares = self._kind.spare_learners
        node.planner = MembershipPlanner(
            name, self._tolerated, self._catch_up_s, self._tolerated if spares is None else spares
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
        node.membership_checks = asyncio.create_task(self._check_membership_forever(node))

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
        if node.membership_checks is not None and node.group is not None:
            node.membership_checks.cancel()
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
        first_byte_at = node.link_out.use(now(), duration_s) - duration_s + LINK_DELAY_S
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

    # Membership planning, as in the programs

    def _on_leadership(self, node: Node, leads: bool) -> None:
        if leads and node.planner is not None and node.group is not None:
            node.planner.start(now(), node.group)

    def _on_departure(self, node: Node) -> None:
        if node.departure_check is None or node.departure_check.done():
            node.departure_check = asyncio.create_task(self._check_membership(node))

    async def _check_membership(self, node: Node) -> None:
        with contextlib.suppress(ConsensusError):
            await self._plan_members(node)

    async def _check_membership_forever(self, node: Node) -> None:
        while True:
            await asyncio.sleep(self._kind.interval_s)
            await self._check_membership(node)

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

    # Commands, and the redundancy of the group

    def leader(self) -> ReplicatedGroup | None:
        groups = (node.group for node in self.nodes.values() if node.group is not None)
        leading = [group for group in groups if group.is_leader]
        return max(leading, key=lambda group: group.term, default=None)

    async def write_forever(self) -> None:
        """Submits commands at a fixed rate; a slow command does not delay later ones."""
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

    def is_redundant(self) -> bool:
        """Whether 2f + 1 running voters have all committed entries on their disks."""
        leader = self.leader()
        if leader is None or not leader.membership_is_committed or not leader.has_lease(now()):
            return False
        voters = leader.membership.voters
        return len(voters) == voters_needed(self._tolerated) and all(
            voter in self.nodes and leader.match(voter) >= leader.commit_index for voter in voters
        )

    async def until_redundant(self) -> float | None:
        """Waits until the group is redundant; returns the seconds, or None after `TIMEOUT_S`."""
        began = now()
        while now() - began < TIMEOUT_S:
            if self.is_redundant():
                return now() - began
            await asyncio.sleep(CHECK_INTERVAL_S)
        return None


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds until the first learner joined, and until the group was redundant."""

    joined_s: float
    redundant_s: float


async def measure(cluster: Cluster, case: str, tolerated: int, catch_up_s: float, phase_s: float) -> Times:
    """Simulates one loss until the group is redundant again."""
    for name in cluster.first:
        await cluster.start(name, with_state=True)
    is_wiped = case.startswith("wiped")
    is_departing = case.startswith("leaving")
    spares = 0 if is_wiped else 1 if is_departing else tolerated
    for number in range(spares):
        await cluster.start(f"10.0.1.{number}#spare")
    writes = asyncio.create_task(cluster.write_forever())
    await asyncio.sleep(START_S + phase_s)
    if spares:
        await asyncio.sleep(catch_up_s)  # a spare machine has caught up before the loss
    leader = cluster.leader()
    assert leader is not None and await cluster.until_redundant() is not None
    followers = [name for name in leader.membership.voters if name != leader.member]
    lost = [leader.member, *followers] if case.endswith("leader") else followers
    lost = lost[:tolerated]
    began = now()
    cluster.joined_at = None
    if is_departing:
        departing = cluster.nodes[lost[0]].group
        assert departing is not None
        await departing.depart(DEPARTURE_TIMEOUT_FRACTION * GRACE_S)
    else:
        for name in lost:
            await cluster.lose(name)
    if is_wiped:
        await asyncio.sleep(DOWN_S)
        for name in lost:
            await cluster.start(f"{address_of(name)}#new")
        began = now()
    redundant_after_s = None if is_departing else await cluster.until_redundant()
    ended = now()
    writes.cancel()
    for name in list(cluster.nodes):
        await cluster.lose(name)
    joined_at = ended if cluster.joined_at is None else cluster.joined_at
    succeeded = is_departing or redundant_after_s is not None
    return Times(joined_at - began, ended - began if succeeded else float("inf"))


def _rate(work: Callable[[], object], size_bytes: int, times: int) -> float:
    """Returns the bytes a second of the fastest run, since other load slows some of them."""
    best = float("inf")
    for _ in range(times):
        began = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - began)
    return size_bytes / best


def speeds_here(kind: Kind, state: bytes, given: argparse.Namespace) -> Machine:
    """Returns the measured rates of the codec and the state machine, and the given rates of disk and link."""
    chunk = SnapshotChunk(
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
    line = CODEC.line(chunk)
    machine = kind.machine()
    rates = [float(rate) * 1e6 for rate in given.rates.split(",")] if given.rates else None

    def restore() -> None:
        zlib.crc32(state)
        machine.restore(state)

    if rates is None:
        rates = [
            _rate(lambda: CODEC.line(chunk), len(line), 50),
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
    state = STATES[name](most_bytes - RETAINED_JOBS * JOB_BYTES)
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
        times.sort(key=lambda each: each.redundant_s)
        shortest, longest = times[0], times[-1]
        print(
            f"{name:8} f = {tolerated} {case:12} catch-up {catch_up_s:>4} s:"
            f" {shortest.redundant_s:5.2f} to {longest.redundant_s:5.2f} s"
            f" (joined at {longest.joined_s:.2f} s),"
            f" {_verdict(longest.redundant_s, float(catch_up_s))} ({given.seeds} seeds, {took_s:.0f} s here)",
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
