"""Snapshots on their way: parts do not mix, and neither silence nor compaction sends one for ever."""

import random
import zlib
from dataclasses import dataclass

import msgspec
import pytest

from pewterring.consensus.log import Log
from pewterring.consensus.messages import (
    AppendReply,
    ConsensusMessage,
    Entry,
    Membership,
    SnapshotPart,
    SnapshotReply,
)
from pewterring.consensus.replication import Flow, Replication
from pewterring.consensus.transfer import SnapshotAssembly
from pewterring.consensus.types import RaftLimits, Snapshot
from tests.consensus.parts import LIMITS
from tests.consensus.simulation import Simulation

MEMBERS = Membership(voters=("a", "b", "c"))
PART_BYTES = 10


def part(data: bytes, offset: int, index: int = 7, sent_in: int = 3) -> SnapshotPart:
    """The part of `data` from `offset` on."""
    return SnapshotPart(
        group="g",
        sender="a",
        target="b",
        term=sent_in,
        last_index=index,
        last_term=2,
        membership=MEMBERS,
        offset=offset,
        total=len(data),
        checksum=zlib.crc32(data),
        data=data[offset : offset + PART_BYTES],
        round=1,
    )


OLD = b"old state, as one member has it"
NEW = b"new state, as the others have.."


def test_parts_in_order_make_the_snapshot() -> None:
    assembly = SnapshotAssembly()
    received = 0
    while received < len(NEW):
        last = part(NEW, received)
        received = assembly.add(last)
    assert assembly.take_whole(last) == Snapshot(7, 2, MEMBERS, NEW)


def test_parts_of_two_snapshots_of_one_index_do_not_mix() -> None:
    """A second leader encodes the same state in other bytes, of the same length."""
    assert len(OLD) == len(NEW)
    assembly = SnapshotAssembly()
    assembly.add(part(OLD, 0, sent_in=3))
    assert assembly.add(part(NEW, PART_BYTES, sent_in=4)) == 0
    assert assembly.add(part(NEW, 0, sent_in=4)) == PART_BYTES
    assert assembly.add(part(OLD, PART_BYTES, sent_in=4)) == 0
    assert assembly.add(part(NEW, PART_BYTES, sent_in=4)) == 2 * PART_BYTES


def test_a_late_part_of_an_older_snapshot_undoes_nothing() -> None:
    assembly = SnapshotAssembly()
    assembly.add(part(NEW, 0, index=9))
    assert assembly.add(part(OLD, 0, index=7)) == 0
    assert assembly.add(part(NEW, PART_BYTES, index=9)) == 2 * PART_BYTES


def test_a_new_leader_may_send_an_older_snapshot() -> None:
    assembly = SnapshotAssembly()
    assembly.add(part(NEW, 0, index=9, sent_in=3))
    assert assembly.add(part(OLD, 0, index=7, sent_in=4)) == PART_BYTES


def test_a_part_that_comes_twice_undoes_nothing() -> None:
    assembly = SnapshotAssembly()
    assembly.add(part(NEW, 0))
    assembly.add(part(NEW, PART_BYTES))
    assert assembly.add(part(NEW, 0)) == 2 * PART_BYTES
    assert assembly.add(part(NEW, PART_BYTES)) == 2 * PART_BYTES
    assert assembly.add(part(NEW, 2 * PART_BYTES)) == 3 * PART_BYTES


def test_bytes_that_are_not_as_sent_are_no_snapshot() -> None:
    assembly = SnapshotAssembly()
    short = part(NEW[:PART_BYTES], 0)
    damaged = msgspec.structs.replace(short, data=b"x" * PART_BYTES)
    assert assembly.add(damaged) == damaged.total
    assert assembly.take_whole(damaged) is None
    assert assembly.add(short) == PART_BYTES
    assert assembly.take_whole(short) is not None


@dataclass
class Sending:
    """A leader's replication to one member that needs a snapshot of some parts."""

    replication: Replication
    log: Log
    data: bytes
    now: float = 0.0

    @classmethod
    def begin(cls) -> "Sending":
        log = Log(100, 1)
        limits = RaftLimits(snapshot_part_bytes=PART_BYTES)
        replication = Replication("g", "a", 1, log, limits)
        replication.set_members(("a", "b"))
        sending = cls(replication, log, NEW * 3)
        sending.hear(accepted=False)
        sending.parts()
        replication.offer_snapshot(Snapshot(100, 1, MEMBERS, sending.data))
        return sending

    def hear(self, accepted: bool = True) -> None:
        """The member answers a heartbeat, having nothing."""
        self.replication.on_append_reply(
            AppendReply(group="g", sender="b", target="a", term=1, accepted=accepted, match=0, round=1)
        )

    def answer(self, received: int) -> None:
        self.replication.on_snapshot_reply(
            SnapshotReply(
                group="g", sender="b", target="a", term=1, last_index=100, received=received, round=1
            )
        )

    def parts(self) -> list[int]:
        """Offsets of the parts that are sent now."""
        outgoing = self.replication.flush(self.now, 1, 100)
        return [message.offset for message in outgoing if isinstance(message, SnapshotPart)]


def test_an_answer_that_comes_twice_sends_one_part() -> None:
    sending = Sending.begin()
    assert sending.parts() == [0]
    sending.answer(PART_BYTES)
    assert sending.parts() == [PART_BYTES]
    sending.answer(PART_BYTES)
    assert sending.parts() == []
    sending.now = 1.0
    sending.replication.retry_lost(sending.now, 0.4)
    assert sending.parts() == [PART_BYTES]


def test_a_member_that_lost_the_parts_gets_them_again() -> None:
    sending = Sending.begin()
    sending.parts()
    sending.answer(PART_BYTES)
    sending.parts()
    sending.answer(0)
    assert sending.parts() == [0]


def test_silence_keeps_what_the_member_has() -> None:
    sending = Sending.begin()
    sending.parts()
    sending.answer(PART_BYTES)
    sending.parts()
    sending.replication.give_up("b")
    assert sending.parts() == [] and not sending.replication.snapshot_wanted
    sending.hear()
    assert not sending.replication.snapshot_wanted
    assert sending.parts() == [PART_BYTES]


def test_a_snapshot_to_a_silent_member_is_dropped_when_the_log_left_it_behind() -> None:
    sending = Sending.begin()
    sending.log.append(Entry(index, 1, "empty") for index in range(101, 121))
    sending.replication.give_up("b")
    assert sending.replication.oldest_snapshot() is None
    sending.log.compact(110, 0)
    sending.replication.compacted()
    sending.hear()
    assert sending.replication.snapshot_wanted
    assert sending.replication.peers["b"].flow is Flow.SNAPSHOT


def _leader_and_away(simulation: Simulation, changes: int) -> tuple[str, str]:
    """A leader, and a member that was away during so many changes."""
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().leads_committed)
    leader = simulation.leader() or ""
    away = next(name for name in simulation.members if name != leader)
    simulation.crash(away)
    for number in range(changes):
        simulation.propose(f"{number} {'x' * 50}")
        simulation.run(0.02)
    return leader, away


@pytest.mark.parametrize("seed", range(3))
def test_a_member_that_stands_still_again_and_again_gets_its_snapshot(seed: int) -> None:
    """Each time longer than a leader waits for an answer, while changes go on."""
    simulation = Simulation(seed)
    _, away = _leader_and_away(simulation, 300)
    simulation.start(away)
    for step in range(12):
        simulation.run(0.25)
        simulation.freeze(away)
        simulation.propose(f"meanwhile {step}")
        simulation.run(1.0)
        simulation.thaw(away)
    assert simulation.members[away].disk.snapshot_index > 0
    simulation.check_converges()


@pytest.mark.parametrize("seed", range(3))
def test_newer_snapshots_do_not_begin_one_anew(seed: int) -> None:
    """Half of the parts are lost; the leader makes several snapshots before the one on its way is there."""
    simulation = Simulation(seed)
    leader, away = _leader_and_away(simulation, 60)
    fate = random.Random(seed)
    sent: set[int] = set()

    def loses(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotPart) and not simulation.members[away].disk.snapshot_index:
            sent.add(message.last_index)
        return isinstance(message, SnapshotPart) and fate.random() < 0.5

    simulation.drops = loses
    before = simulation.members[leader].disk.snapshot_index
    simulation.start(away)
    for number in range(400):
        if simulation.members[away].disk.snapshot_index:
            break
        simulation.propose(f"meanwhile {number}")
        simulation.run(0.05)
    assert sent == {simulation.members[away].disk.snapshot_index}
    assert simulation.members[leader].disk.snapshot_index > before + 40
    simulation.check_converges()


@pytest.mark.parametrize("seed", range(3))
def test_a_snapshot_that_is_never_taken_up_does_not_keep_the_log(seed: int) -> None:
    """The member answers heartbeats, and no part of a snapshot reaches it."""
    simulation = Simulation(seed)
    leader, away = _leader_and_away(simulation, 40)
    simulation.drops = lambda message: isinstance(message, SnapshotPart)
    simulation.start(away)
    longest = 0
    for number in range(600):
        simulation.propose(f"more {number} {'x' * 50}")
        simulation.run(0.02)
        raft = simulation.members[leader].raft
        assert raft is not None
        longest = max(longest, raft._state.log.size_bytes)
    bound = LIMITS.kept_for_snapshots_bytes + 40 * 150  # and what comes until the next snapshot
    assert longest < bound
    simulation.check_converges()
