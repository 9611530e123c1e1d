"""Snapshots on their way: chunks do not mix, and neither silence nor compaction sends one for ever."""

import dataclasses
import itertools
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pewterring.consensus.log import Log
from pewterring.consensus.messages import (
    AppendReply,
    ConsensusMessage,
    Entry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
)
from pewterring.consensus.replication import Replication, ReplicationMode
from pewterring.consensus.snapshot_transfer import MAX_REORDERED_BYTES, SnapshotAssembly
from pewterring.consensus.types import RaftLimits, Snapshot
from tests.consensus.raft_internals import log_of
from tests.consensus.simulated_members import LIMITS, Weather
from tests.consensus.simulation import Simulation

MEMBERS = Membership(voters=("a", "b", "c"))
CHUNK_BYTES = 10
WINDOW = RaftLimits().snapshot_chunks_in_flight
PATIENCE_S = 0.4


def chunk(data: bytes, offset: int, index: int = 7, sent_in: int = 3) -> SnapshotChunk:
    """The chunk of `data` from `offset` on."""
    return SnapshotChunk(
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
        data=data[offset : offset + CHUNK_BYTES],
        round=1,
    )


OLD = b"old state, as one member has it"
NEW = b"new state, as the others have.."


def test_chunks_in_order_make_the_snapshot() -> None:
    assembly = SnapshotAssembly()
    received = 0
    while received < len(NEW):
        last = chunk(NEW, received)
        received = assembly.add(last)
    assert assembly.take_complete(last) == Snapshot(7, 2, MEMBERS, NEW)


def test_chunks_of_two_snapshots_of_one_index_do_not_mix() -> None:
    """A second leader encodes the same state in other bytes, of the same length."""
    assert len(OLD) == len(NEW)
    assembly = SnapshotAssembly()
    assembly.add(chunk(OLD, 0, sent_in=3))
    assert assembly.add(chunk(NEW, CHUNK_BYTES, sent_in=4)) == 0
    assert assembly.add(chunk(NEW, 0, sent_in=4)) == CHUNK_BYTES
    assert assembly.add(chunk(OLD, CHUNK_BYTES, sent_in=4)) == 0
    assert assembly.add(chunk(NEW, CHUNK_BYTES, sent_in=4)) == 2 * CHUNK_BYTES


def test_a_late_chunk_of_an_older_snapshot_undoes_nothing() -> None:
    assembly = SnapshotAssembly()
    assembly.add(chunk(NEW, 0, index=9))
    assert assembly.add(chunk(OLD, 0, index=7)) == 0
    assert assembly.add(chunk(NEW, CHUNK_BYTES, index=9)) == 2 * CHUNK_BYTES


def test_a_new_leader_may_send_an_older_snapshot() -> None:
    assembly = SnapshotAssembly()
    assembly.add(chunk(NEW, 0, index=9, sent_in=3))
    assert assembly.add(chunk(OLD, 0, index=7, sent_in=4)) == CHUNK_BYTES


def test_a_chunk_that_comes_twice_undoes_nothing() -> None:
    assembly = SnapshotAssembly()
    assembly.add(chunk(NEW, 0))
    assembly.add(chunk(NEW, CHUNK_BYTES))
    assert assembly.add(chunk(NEW, 0)) == 2 * CHUNK_BYTES
    assert assembly.add(chunk(NEW, CHUNK_BYTES)) == 2 * CHUNK_BYTES
    assert assembly.add(chunk(NEW, 2 * CHUNK_BYTES)) == 3 * CHUNK_BYTES


def test_bytes_that_are_not_as_sent_are_no_snapshot() -> None:
    assembly = SnapshotAssembly()
    short = chunk(NEW[:CHUNK_BYTES], 0)
    damaged = msgspec.structs.replace(short, data=b"x" * CHUNK_BYTES)
    assert assembly.add(damaged) == damaged.total
    assert assembly.take_complete(damaged) is None
    assert assembly.add(short) == CHUNK_BYTES
    assert assembly.take_complete(short) is not None


@dataclass
class Sending:
    """A leader's replication to one member that needs a snapshot of some chunks."""

    replication: Replication
    log: Log
    data: bytes
    now: float = 0.0

    @classmethod
    def begin(cls, chunks_in_flight: int = 1) -> "Sending":
        log = Log(100, 1)
        limits = RaftLimits(snapshot_chunk_bytes=CHUNK_BYTES, snapshot_chunks_in_flight=chunks_in_flight)
        replication = Replication("g", "a", 1, log, limits)
        replication.set_members(("a", "b"))
        sending = cls(replication, log, NEW * 3)
        sending.hear(accepted=False)
        sending.chunks()
        replication.offer_snapshot(Snapshot(100, 1, MEMBERS, sending.data))
        return sending

    def hear(self, accepted: bool = True, round_number: int = 1) -> None:
        """The member answers a heartbeat, having nothing."""
        self.replication.on_append_reply(
            AppendReply(
                group="g", sender="b", target="a", term=1, accepted=accepted, match=0, round=round_number
            )
        )

    def answer(self, received: int) -> None:
        self.replication.on_snapshot_reply(
            SnapshotReply(
                group="g", sender="b", target="a", term=1, last_index=100, received=received, round=1
            )
        )

    def chunks(self) -> list[int]:
        """Offsets of the chunks that are sent now."""
        return [message.offset for message in self.messages()]

    def messages(self) -> list[SnapshotChunk]:
        """The chunks that are sent now."""
        outgoing = self.replication.flush(self.now, 1, 100)
        return [message for message in outgoing if isinstance(message, SnapshotChunk)]

    @property
    def is_over(self) -> bool:
        """Whether the leader knows that the member has all."""
        return self.replication.peers["b"].match == 100


def test_an_answer_that_comes_twice_sends_one_chunk() -> None:
    sending = Sending.begin()
    assert sending.chunks() == [0]
    sending.answer(CHUNK_BYTES)
    assert sending.chunks() == [CHUNK_BYTES]
    sending.answer(CHUNK_BYTES)
    assert sending.chunks() == []
    sending.now = 1.0
    sending.replication.retransmit_overdue(sending.now, 0.4)
    assert sending.chunks() == [CHUNK_BYTES]


def test_a_member_that_lost_the_chunks_gets_them_again() -> None:
    sending = Sending.begin()
    sending.chunks()
    sending.answer(CHUNK_BYTES)
    sending.chunks()
    sending.answer(0)
    assert sending.chunks() == [0]


def test_silence_keeps_what_the_member_has() -> None:
    sending = Sending.begin()
    sending.chunks()
    sending.answer(CHUNK_BYTES)
    sending.chunks()
    sending.replication.mark_unresponsive("b")
    assert sending.chunks() == []
    assert not sending.replication.snapshot_wanted
    sending.hear()
    assert not sending.replication.snapshot_wanted
    assert sending.chunks() == [CHUNK_BYTES]


def test_a_snapshot_to_a_silent_member_is_dropped_when_the_log_left_it_behind() -> None:
    sending = Sending.begin()
    sending.log.append(Entry(index, 1, "empty") for index in range(101, 121))
    sending.replication.mark_unresponsive("b")
    assert sending.replication.oldest_snapshot_index() is None
    sending.log.compact(110, 0)
    sending.replication.on_log_compacted()
    sending.hear()
    assert sending.replication.snapshot_wanted
    assert sending.replication.peers["b"].mode is ReplicationMode.SNAPSHOT


def offsets(*chunks: int) -> list[int]:
    return [number * CHUNK_BYTES for number in chunks]


def _with_a_window() -> tuple[Sending, SnapshotAssembly, list[SnapshotChunk]]:
    """A member that has the first chunk, and the window of chunks that is on the way to it."""
    sending = Sending.begin(WINDOW)
    assembly = SnapshotAssembly()
    (first,) = sending.messages()
    sending.answer(assembly.add(first))
    window = sending.messages()
    assert [chunk.offset for chunk in window] == offsets(1, 2, 3, 4)
    return sending, assembly, window


def _finish(sending: Sending, assembly: SnapshotAssembly) -> None:
    """All further chunks come in order, and their answers."""
    for _ in range(100):
        for message in sending.messages():
            received = assembly.add(message)
            if received == message.total:
                snapshot = assembly.take_complete(message)
                assert snapshot is not None
                assert snapshot.data == sending.data
            sending.answer(received)
        if sending.is_over:
            return
    raise AssertionError("the snapshot never came")


def test_a_window_of_chunks_is_on_the_way() -> None:
    sending, assembly, window = _with_a_window()
    assert sending.chunks() == []
    for number, message in enumerate(window):
        sending.answer(assembly.add(message))
        assert sending.chunks() == offsets(5 + number)


def test_a_member_that_is_only_slow_is_sent_nothing_twice() -> None:
    """Each chunk takes longer than a leader waits for one, and heartbeats wait behind the chunks."""
    sending, _, _ = _with_a_window()
    sent = offsets(0, 1, 2, 3, 4)
    for received in range(2, len(sending.data) // CHUNK_BYTES + 1):
        sending.now += 3 * PATIENCE_S
        sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
        sending.hear(round_number=1)
        sending.answer(received * CHUNK_BYTES)
        sent += sending.chunks()
    assert sent == offsets(*range(-(-len(sending.data) // CHUNK_BYTES)))


def test_chunks_that_a_later_heartbeat_overtook_are_lost() -> None:
    sending, _, window = _with_a_window()
    sending.hear(round_number=2)
    sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    assert sending.chunks() == []
    sending.now += 1.1 * PATIENCE_S
    sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    assert sending.chunks() == [chunk.offset for chunk in window]


def test_chunks_of_which_nothing_is_heard_are_lost_after_the_time_of_all() -> None:
    sending, _, window = _with_a_window()
    sending.now += 0.9 * WINDOW * PATIENCE_S
    sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    assert sending.chunks() == []
    sending.now += 0.2 * WINDOW * PATIENCE_S
    sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    assert sending.chunks() == [chunk.offset for chunk in window]


@pytest.mark.parametrize("lost", range(WINDOW))
def test_a_chunk_that_is_lost_comes_again(lost: int) -> None:
    """The chunks behind it are kept, so the next answer tells all of the window."""
    sending, assembly, window = _with_a_window()
    for number, message in enumerate(window):
        if number != lost:
            sending.answer(assembly.add(message))
    following = sending.messages()
    assert len(following) == lost
    sending.hear(round_number=2)
    sending.now += 1.1 * PATIENCE_S
    sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    again = sending.messages()
    assert again[0].offset == window[lost].offset
    assert assembly.add(again[0]) == window[-1].offset + CHUNK_BYTES
    for message in (*again, *following):
        sending.answer(assembly.add(message))
    _finish(sending, assembly)


@pytest.mark.parametrize("order", list(itertools.permutations(range(WINDOW))))
def test_chunks_and_answers_in_any_order_send_nothing_twice(order: tuple[int, ...]) -> None:
    sending, assembly, window = _with_a_window()
    answers = [assembly.add(window[number]) for number in order]
    sent = [chunk.offset for chunk in window]
    for number in order:
        sending.answer(answers[number])
        sending.answer(answers[number])
        sent += sending.chunks()
    assert sent == offsets(*range(1, 9))


def test_a_member_that_begins_anew_amid_the_window_is_sent_the_first_chunk_once() -> None:
    """All chunks that are on the way are answered with nothing."""
    sending, _, window = _with_a_window()
    anew = SnapshotAssembly()
    sent = []
    for message in window:
        sending.answer(anew.add(message))
        sent += sending.chunks()
    assert sent == [0]
    sending.now += 2 * PATIENCE_S
    sending.hear(round_number=2)
    sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    _finish(sending, anew)


def test_an_answer_of_before_the_member_began_anew_is_overcome() -> None:
    """It tells more than the member has, and the answers that tell less look late."""
    sending, assembly, window = _with_a_window()
    old = [assembly.add(message) for message in window]
    anew = SnapshotAssembly()
    sending.answer(anew.add(window[0]))
    (first,) = sending.messages()
    sending.answer(anew.add(first))
    sending.messages()
    sending.answer(old[-1])
    for round_number in range(2, 6):
        for message in sending.messages():
            sending.answer(anew.add(message))
        sending.now += 2 * PATIENCE_S
        sending.hear(round_number=round_number)
        sending.replication.retransmit_overdue(sending.now, PATIENCE_S)
    _finish(sending, anew)


class _ObservedAssembly(SnapshotAssembly):
    @property
    def reordered_offsets(self) -> list[int]:
        return list(self._reordered)


def test_chunks_far_ahead_are_not_kept() -> None:
    assembly = _ObservedAssembly()
    data = bytes(MAX_REORDERED_BYTES + 10 * CHUNK_BYTES)
    assembly.add(chunk(data, 0))
    for offset in range(2 * CHUNK_BYTES, len(data), CHUNK_BYTES * 1000):
        assembly.add(chunk(data, offset))
    assembly.add(chunk(data, MAX_REORDERED_BYTES + 2 * CHUNK_BYTES))
    assert max(assembly.reordered_offsets) <= MAX_REORDERED_BYTES + CHUNK_BYTES


@dataclass
class Lossy:
    """A leader and a member; chunks and answers on the way are lost, doubled and come in any order."""

    sending: Sending
    assembly: SnapshotAssembly = dataclasses.field(default_factory=SnapshotAssembly)
    chunks: list[SnapshotChunk] = dataclasses.field(default_factory=list)
    answers: list[int] = dataclasses.field(default_factory=list)
    snapshot: Snapshot | None = None
    round_number: int = 1

    def send(self) -> None:
        sent = self.sending.messages()
        assert len(sent) <= WINDOW
        self.chunks += sent

    def chunk_comes(self, position: int, is_doubled: bool) -> None:
        if not self.chunks:
            return
        message = self.chunks[position % len(self.chunks)]
        if not is_doubled:
            self.chunks.remove(message)
        self.answers.append(message.total if self.snapshot is not None else self._take(message))

    def _take(self, message: SnapshotChunk) -> int:
        received = self.assembly.add(message)
        if received < message.total:
            return received
        self.snapshot = self.assembly.take_complete(message)
        return message.total if self.snapshot is not None else 0

    def answer_comes(self, position: int, is_doubled: bool) -> None:
        if not self.answers:
            return
        answer = self.answers[position % len(self.answers)]
        if not is_doubled:
            self.answers.remove(answer)
        self.sending.answer(answer)

    def chunk_is_lost(self, position: int, _: bool) -> None:
        if self.chunks:
            del self.chunks[position % len(self.chunks)]

    def answer_is_lost(self, position: int, _: bool) -> None:
        if self.answers:
            del self.answers[position % len(self.answers)]

    def time_passes(self, position: int, is_heard: bool) -> None:
        self.sending.now += position / 4
        self.round_number += 1
        if is_heard:
            self.sending.hear(round_number=self.round_number)
        self.sending.replication.retransmit_overdue(self.sending.now, PATIENCE_S)

    def falls_silent(self, _: int, is_heard: bool) -> None:
        self.sending.replication.mark_unresponsive("b")
        if is_heard:
            self.sending.hear(round_number=self.round_number)

    def begins_anew(self, _: int, __: bool) -> None:
        if self.snapshot is None:
            self.assembly = SnapshotAssembly()


EVENTS = (
    Lossy.chunk_comes,
    Lossy.chunk_comes,
    Lossy.answer_comes,
    Lossy.answer_comes,
    Lossy.chunk_is_lost,
    Lossy.answer_is_lost,
    Lossy.time_passes,
    Lossy.falls_silent,
    Lossy.begins_anew,
)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 8), st.booleans()), max_size=60))
def test_a_snapshot_comes_whole_whatever_became_of_chunks_and_answers(
    events: list[tuple[Callable[[Lossy, int, bool], None], int, bool]],
) -> None:
    lossy = Lossy(Sending.begin(WINDOW))
    for event, position, flag in events:
        lossy.send()
        event(lossy, position, flag)
        assert not lossy.sending.is_over or lossy.snapshot is not None
    for _ in range(30):
        lossy.send()
        while lossy.chunks or lossy.answers:
            lossy.chunk_comes(0, False)
            lossy.answer_comes(0, False)
            lossy.send()
        lossy.time_passes(8, True)
    assert lossy.sending.is_over
    assert lossy.snapshot is not None
    assert lossy.snapshot.data == lossy.sending.data


def _leader_and_away(simulation: Simulation, changes: int) -> tuple[str, str]:
    """A leader, and a member that was away during so many changes."""
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().is_ready_leader)
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
    """Half of the chunks are lost; the leader makes several snapshots before the one on its way is there."""
    simulation = Simulation(seed)
    leader, away = _leader_and_away(simulation, 60)
    fate = random.Random(seed)
    sent: set[int] = set()

    def loses(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotChunk) and not simulation.members[away].disk.snapshot_index:
            sent.add(message.last_index)
        return isinstance(message, SnapshotChunk) and fate.random() < 0.5

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
    """The member answers heartbeats, and no chunk of a snapshot reaches it."""
    simulation = Simulation(seed)
    leader, away = _leader_and_away(simulation, 40)
    simulation.drops = lambda message: isinstance(message, SnapshotChunk)
    simulation.start(away)
    longest = 0
    for number in range(600):
        simulation.propose(f"more {number} {'x' * 50}")
        simulation.run(0.02)
        raft = simulation.members[leader].raft
        assert raft is not None
        longest = max(longest, log_of(raft).size_bytes)
    bound = LIMITS.retained_for_transfers_bytes + 40 * 150  # and what comes until the next snapshot
    assert longest < bound
    simulation.check_converges()


@pytest.mark.parametrize("count", range(1, 10))
def test_a_leader_that_goes_amid_the_window_mixes_nothing(count: int) -> None:
    """With so many chunks sent; those of the old leader come as late as those of the next."""
    simulation = Simulation(count)
    leader, away = _leader_and_away(simulation, 60)
    chunks: list[SnapshotChunk] = []

    def is_kept_back(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotChunk) and message.sender == leader:
            chunks.append(message)
        return False

    simulation.drops = is_kept_back
    simulation.start(away)
    simulation.run_until(lambda: len(chunks) >= count)
    simulation.crash(leader)
    simulation.run_until(lambda: simulation.leader() not in (None, leader))
    for late in chunks:
        simulation.deliver_again(late)
        simulation.run(0.002)
    simulation.run(2.0)
    assert simulation.members[away].disk.snapshot_index > 0
    simulation.check_converges()


def test_a_snapshot_takes_fewer_journeys_than_it_has_chunks() -> None:
    simulation = Simulation(1)
    _, away = _leader_and_away(simulation, 300)
    journey_s = 0.2
    simulation.weather = Weather(delay_s=(journey_s / 2, journey_s / 2))
    chunks: list[int] = []

    def is_lost(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotChunk):
            chunks.append(message.offset)
        return False

    simulation.drops = is_lost
    simulation.start(away)
    began = simulation.now
    simulation.run_until(lambda: simulation.members[away].disk.snapshot_index > 0)
    assert simulation.now - began < len(chunks) * journey_s / 2
