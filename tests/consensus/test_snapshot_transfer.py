"""Snapshot transfers under loss, duplication, reordering, restarts and leader changes.

Chunks of different snapshots must not mix, and each transfer must complete without keeping the log for ever.
"""

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
from tests.consensus.simulated_members import LIMITS, FaultProfile
from tests.consensus.simulation import Simulation

MEMBERS = Membership(voters=("a", "b", "c"))
CHUNK_BYTES = 10
WINDOW = RaftLimits().snapshot_chunks_in_flight
TIMEOUT_S = 0.4


def chunk(data: bytes, offset: int, index: int = 7, leader_term: int = 3) -> SnapshotChunk:
    """Returns the chunk at `offset` of a snapshot with the content `data`."""
    return SnapshotChunk(
        group="g",
        sender="a",
        target="b",
        term=leader_term,
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
    """A second leader encodes the same state in different bytes of the same length."""
    assert len(OLD) == len(NEW)
    assembly = SnapshotAssembly()
    assembly.add(chunk(OLD, 0, leader_term=3))
    assert assembly.add(chunk(NEW, CHUNK_BYTES, leader_term=4)) == 0
    assert assembly.add(chunk(NEW, 0, leader_term=4)) == CHUNK_BYTES
    assert assembly.add(chunk(OLD, CHUNK_BYTES, leader_term=4)) == 0
    assert assembly.add(chunk(NEW, CHUNK_BYTES, leader_term=4)) == 2 * CHUNK_BYTES


def test_a_delayed_chunk_of_an_older_snapshot_does_not_reset_the_assembly() -> None:
    assembly = SnapshotAssembly()
    assembly.add(chunk(NEW, 0, index=9))
    assert assembly.add(chunk(OLD, 0, index=7)) == 0
    assert assembly.add(chunk(NEW, CHUNK_BYTES, index=9)) == 2 * CHUNK_BYTES


def test_a_new_leader_may_send_an_older_snapshot() -> None:
    assembly = SnapshotAssembly()
    assembly.add(chunk(NEW, 0, index=9, leader_term=3))
    assert assembly.add(chunk(OLD, 0, index=7, leader_term=4)) == CHUNK_BYTES


def test_a_duplicated_chunk_does_not_reset_the_assembly() -> None:
    assembly = SnapshotAssembly()
    assembly.add(chunk(NEW, 0))
    assembly.add(chunk(NEW, CHUNK_BYTES))
    assert assembly.add(chunk(NEW, 0)) == 2 * CHUNK_BYTES
    assert assembly.add(chunk(NEW, CHUNK_BYTES)) == 2 * CHUNK_BYTES
    assert assembly.add(chunk(NEW, 2 * CHUNK_BYTES)) == 3 * CHUNK_BYTES


def test_a_snapshot_with_a_wrong_checksum_is_discarded() -> None:
    assembly = SnapshotAssembly()
    valid = chunk(NEW[:CHUNK_BYTES], 0)
    damaged = msgspec.structs.replace(valid, data=b"x" * CHUNK_BYTES)
    assert assembly.add(damaged) == damaged.total
    assert assembly.take_complete(damaged) is None
    assert assembly.add(valid) == CHUNK_BYTES
    assert assembly.take_complete(valid) is not None


@dataclass
class LeaderSide:
    """The leader's replication to one member, b, that needs a snapshot of several chunks."""

    replication: Replication
    log: Log
    data: bytes
    now: float = 0.0

    @classmethod
    def start(cls, chunks_in_flight: int = 1) -> "LeaderSide":
        """Starts a transfer to b, which has an empty log; no chunk is sent yet."""
        log = Log(100, 1)
        limits = RaftLimits(snapshot_chunk_bytes=CHUNK_BYTES, snapshot_chunks_in_flight=chunks_in_flight)
        replication = Replication("g", "a", 1, log, limits)
        replication.set_members(("a", "b"))
        leader = cls(replication, log, NEW * 3)
        leader.receive_heartbeat_reply(accepted=False)
        leader.send_offsets()
        replication.offer_snapshot(Snapshot(100, 1, MEMBERS, leader.data))
        return leader

    def receive_heartbeat_reply(self, accepted: bool = True, round_number: int = 1) -> None:
        """Receives the reply to a heartbeat, from a member without any entries."""
        self.replication.on_append_reply(
            AppendReply(
                group="g", sender="b", target="a", term=1, accepted=accepted, match=0, round=round_number
            )
        )

    def receive_snapshot_reply(self, received: int) -> None:
        """Receives the member's acknowledgement of `received` bytes."""
        self.replication.on_snapshot_reply(
            SnapshotReply(
                group="g", sender="b", target="a", term=1, last_index=100, received=received, round=1
            )
        )

    def send_offsets(self) -> list[int]:
        """Sends the chunks that may be sent now, and returns their offsets."""
        return [message.offset for message in self.send_chunks()]

    def send_chunks(self) -> list[SnapshotChunk]:
        """Sends the chunks that may be sent now, and returns them."""
        outgoing = self.replication.flush(self.now, 1, 100)
        return [message for message in outgoing if isinstance(message, SnapshotChunk)]

    @property
    def is_complete(self) -> bool:
        """Whether the leader knows that the member has the complete snapshot."""
        return self.replication.peers["b"].match == 100


def test_a_duplicated_reply_causes_no_retransmission() -> None:
    leader = LeaderSide.start()
    assert leader.send_offsets() == [0]
    leader.receive_snapshot_reply(CHUNK_BYTES)
    assert leader.send_offsets() == [CHUNK_BYTES]
    leader.receive_snapshot_reply(CHUNK_BYTES)
    assert leader.send_offsets() == []
    leader.now = 1.0
    leader.replication.retransmit_overdue(leader.now, 0.4)
    assert leader.send_offsets() == [CHUNK_BYTES]


def test_a_member_that_lost_its_chunks_receives_them_again() -> None:
    leader = LeaderSide.start()
    leader.send_offsets()
    leader.receive_snapshot_reply(CHUNK_BYTES)
    leader.send_offsets()
    leader.receive_snapshot_reply(0)
    assert leader.send_offsets() == [0]


def test_the_transfer_to_an_unresponsive_member_continues_once_it_answers() -> None:
    leader = LeaderSide.start()
    leader.send_offsets()
    leader.receive_snapshot_reply(CHUNK_BYTES)
    leader.send_offsets()
    leader.replication.mark_unresponsive("b")
    assert leader.send_offsets() == []
    assert not leader.replication.snapshot_wanted
    leader.receive_heartbeat_reply()
    assert not leader.replication.snapshot_wanted
    assert leader.send_offsets() == [CHUNK_BYTES]


def test_a_transfer_to_an_unresponsive_member_is_dropped_once_its_following_entries_are_compacted() -> None:
    leader = LeaderSide.start()
    leader.log.append(Entry(index, 1, "empty") for index in range(101, 121))
    leader.replication.mark_unresponsive("b")
    assert leader.replication.oldest_snapshot_index() is None
    leader.log.compact(110, 0)
    leader.replication.on_log_compacted()
    leader.receive_heartbeat_reply()
    assert leader.replication.snapshot_wanted
    assert leader.replication.peers["b"].mode is ReplicationMode.SNAPSHOT


def offsets(*chunk_numbers: int) -> list[int]:
    return [number * CHUNK_BYTES for number in chunk_numbers]


def _with_window_in_flight() -> tuple[LeaderSide, SnapshotAssembly, list[SnapshotChunk]]:
    """Returns a leader, a member that has the first chunk, and the window of chunks in flight to it."""
    leader = LeaderSide.start(WINDOW)
    assembly = SnapshotAssembly()
    (first,) = leader.send_chunks()
    leader.receive_snapshot_reply(assembly.add(first))
    window = leader.send_chunks()
    assert [chunk.offset for chunk in window] == offsets(1, 2, 3, 4)
    return leader, assembly, window


def _finish(leader: LeaderSide, assembly: SnapshotAssembly) -> None:
    """Delivers all further chunks and replies in order, until the transfer is complete."""
    for _ in range(100):
        for message in leader.send_chunks():
            received = assembly.add(message)
            if received == message.total:
                snapshot = assembly.take_complete(message)
                assert snapshot is not None
                assert snapshot.data == leader.data
            leader.receive_snapshot_reply(received)
        if leader.is_complete:
            return
    raise AssertionError("the snapshot transfer did not complete")


def test_a_window_of_chunks_is_kept_in_flight() -> None:
    leader, assembly, window = _with_window_in_flight()
    assert leader.send_offsets() == []
    for number, message in enumerate(window):
        leader.receive_snapshot_reply(assembly.add(message))
        assert leader.send_offsets() == offsets(5 + number)


def test_a_member_that_is_only_slow_is_sent_nothing_twice() -> None:
    """Each chunk takes longer than the timeout for one chunk, and heartbeats queue behind the chunks."""
    leader, _, _ = _with_window_in_flight()
    sent = offsets(0, 1, 2, 3, 4)
    for received in range(2, len(leader.data) // CHUNK_BYTES + 1):
        leader.now += 3 * TIMEOUT_S
        leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
        leader.receive_heartbeat_reply(round_number=1)
        leader.receive_snapshot_reply(received * CHUNK_BYTES)
        sent += leader.send_offsets()
    assert sent == offsets(*range(-(-len(leader.data) // CHUNK_BYTES)))


def test_chunks_count_as_lost_after_the_timeout_for_one_if_a_later_heartbeat_was_answered() -> None:
    leader, _, window = _with_window_in_flight()
    leader.receive_heartbeat_reply(round_number=2)
    leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    assert leader.send_offsets() == []
    leader.now += 1.1 * TIMEOUT_S
    leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    assert leader.send_offsets() == [chunk.offset for chunk in window]


def test_unanswered_chunks_count_as_lost_after_the_sum_of_their_timeouts() -> None:
    leader, _, window = _with_window_in_flight()
    leader.now += 0.9 * WINDOW * TIMEOUT_S
    leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    assert leader.send_offsets() == []
    leader.now += 0.2 * WINDOW * TIMEOUT_S
    leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    assert leader.send_offsets() == [chunk.offset for chunk in window]


@pytest.mark.parametrize("lost", range(WINDOW))
def test_a_lost_chunk_is_sent_again(lost: int) -> None:
    """The member buffers the later chunks, so its next reply acknowledges the complete window."""
    leader, assembly, window = _with_window_in_flight()
    for number, message in enumerate(window):
        if number != lost:
            leader.receive_snapshot_reply(assembly.add(message))
    later_chunks = leader.send_chunks()
    assert len(later_chunks) == lost
    leader.receive_heartbeat_reply(round_number=2)
    leader.now += 1.1 * TIMEOUT_S
    leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    resent = leader.send_chunks()
    assert resent[0].offset == window[lost].offset
    assert assembly.add(resent[0]) == window[-1].offset + CHUNK_BYTES
    for message in (*resent, *later_chunks):
        leader.receive_snapshot_reply(assembly.add(message))
    _finish(leader, assembly)


@pytest.mark.parametrize("order", list(itertools.permutations(range(WINDOW))))
def test_reordered_chunks_and_replies_cause_no_retransmission(order: tuple[int, ...]) -> None:
    leader, assembly, window = _with_window_in_flight()
    replies = [assembly.add(window[number]) for number in order]
    sent = [chunk.offset for chunk in window]
    for number in order:
        leader.receive_snapshot_reply(replies[number])
        leader.receive_snapshot_reply(replies[number])
        sent += leader.send_offsets()
    assert sent == offsets(*range(1, 9))


def test_a_member_that_restarts_during_a_window_is_sent_the_first_chunk_once() -> None:
    """Its replies to the chunks in flight acknowledge 0 bytes."""
    leader, _, window = _with_window_in_flight()
    restarted = SnapshotAssembly()
    sent = []
    for message in window:
        leader.receive_snapshot_reply(restarted.add(message))
        sent += leader.send_offsets()
    assert sent == [0]
    leader.now += 2 * TIMEOUT_S
    leader.receive_heartbeat_reply(round_number=2)
    leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    _finish(leader, restarted)


def test_a_transfer_recovers_from_a_delayed_reply_sent_before_the_member_restarted() -> None:
    """It acknowledges more bytes than the member has, so the later replies look like delayed ones."""
    leader, assembly, window = _with_window_in_flight()
    replies_before_restart = [assembly.add(message) for message in window]
    restarted = SnapshotAssembly()
    leader.receive_snapshot_reply(restarted.add(window[0]))
    (first,) = leader.send_chunks()
    leader.receive_snapshot_reply(restarted.add(first))
    leader.send_chunks()
    leader.receive_snapshot_reply(replies_before_restart[-1])
    for round_number in range(2, 6):
        for message in leader.send_chunks():
            leader.receive_snapshot_reply(restarted.add(message))
        leader.now += 2 * TIMEOUT_S
        leader.receive_heartbeat_reply(round_number=round_number)
        leader.replication.retransmit_overdue(leader.now, TIMEOUT_S)
    _finish(leader, restarted)


class _ObservedAssembly(SnapshotAssembly):
    @property
    def reordered_offsets(self) -> list[int]:
        return list(self._reordered)


def test_chunks_far_ahead_are_not_buffered() -> None:
    assembly = _ObservedAssembly()
    data = bytes(MAX_REORDERED_BYTES + 10 * CHUNK_BYTES)
    assembly.add(chunk(data, 0))
    for offset in range(2 * CHUNK_BYTES, len(data), CHUNK_BYTES * 1000):
        assembly.add(chunk(data, offset))
    assembly.add(chunk(data, MAX_REORDERED_BYTES + 2 * CHUNK_BYTES))
    assert max(assembly.reordered_offsets) <= MAX_REORDERED_BYTES + CHUNK_BYTES


@dataclass
class LossyTransfer:
    """A transfer whose chunks and replies in flight may be lost, duplicated and reordered."""

    leader: LeaderSide
    assembly: SnapshotAssembly = dataclasses.field(default_factory=SnapshotAssembly)
    chunks: list[SnapshotChunk] = dataclasses.field(default_factory=list)
    replies: list[int] = dataclasses.field(default_factory=list)  # acknowledged bytes
    snapshot: Snapshot | None = None  # the complete snapshot that the member received
    round_number: int = 1

    def send_chunks(self) -> None:
        sent = self.leader.send_chunks()
        assert len(sent) <= WINDOW
        self.chunks += sent

    def deliver_chunk(self, position: int, is_duplicated: bool) -> None:
        if not self.chunks:
            return
        message = self.chunks[position % len(self.chunks)]
        if not is_duplicated:
            self.chunks.remove(message)
        self.replies.append(message.total if self.snapshot is not None else self._add_chunk(message))

    def _add_chunk(self, message: SnapshotChunk) -> int:
        received = self.assembly.add(message)
        if received < message.total:
            return received
        self.snapshot = self.assembly.take_complete(message)
        return message.total if self.snapshot is not None else 0

    def deliver_reply(self, position: int, is_duplicated: bool) -> None:
        if not self.replies:
            return
        reply = self.replies[position % len(self.replies)]
        if not is_duplicated:
            self.replies.remove(reply)
        self.leader.receive_snapshot_reply(reply)

    def lose_chunk(self, position: int, _: bool) -> None:
        if self.chunks:
            del self.chunks[position % len(self.chunks)]

    def lose_reply(self, position: int, _: bool) -> None:
        if self.replies:
            del self.replies[position % len(self.replies)]

    def advance_time(self, quarter_seconds: int, is_heartbeat_answered: bool) -> None:
        self.leader.now += quarter_seconds / 4
        self.round_number += 1
        if is_heartbeat_answered:
            self.leader.receive_heartbeat_reply(round_number=self.round_number)
        self.leader.replication.retransmit_overdue(self.leader.now, TIMEOUT_S)

    def mark_unresponsive(self, _: int, is_heartbeat_answered: bool) -> None:
        self.leader.replication.mark_unresponsive("b")
        if is_heartbeat_answered:
            self.leader.receive_heartbeat_reply(round_number=self.round_number)

    def restart_member(self, _: int, __: bool) -> None:
        if self.snapshot is None:
            self.assembly = SnapshotAssembly()


EVENTS = (
    LossyTransfer.deliver_chunk,
    LossyTransfer.deliver_chunk,
    LossyTransfer.deliver_reply,
    LossyTransfer.deliver_reply,
    LossyTransfer.lose_chunk,
    LossyTransfer.lose_reply,
    LossyTransfer.advance_time,
    LossyTransfer.mark_unresponsive,
    LossyTransfer.restart_member,
)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 8), st.booleans()), max_size=60))
def test_a_transfer_completes_after_any_loss_duplication_and_reordering(
    events: list[tuple[Callable[[LossyTransfer, int, bool], None], int, bool]],
) -> None:
    transfer = LossyTransfer(LeaderSide.start(WINDOW))
    for event, position, flag in events:
        transfer.send_chunks()
        event(transfer, position, flag)
        assert not transfer.leader.is_complete or transfer.snapshot is not None
    for _ in range(30):
        transfer.send_chunks()
        while transfer.chunks or transfer.replies:
            transfer.deliver_chunk(0, False)
            transfer.deliver_reply(0, False)
            transfer.send_chunks()
        transfer.advance_time(8, True)
    assert transfer.leader.is_complete
    assert transfer.snapshot is not None
    assert transfer.snapshot.data == transfer.leader.data


def _crash_follower_and_commit(simulation: Simulation, changes: int) -> tuple[str, str]:
    """Crashes a follower, then commits `changes` commands; returns the leader and that follower."""
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().is_ready_leader)
    leader = simulation.leader() or ""
    absent = next(name for name in simulation.members if name != leader)
    simulation.crash(absent)
    for number in range(changes):
        simulation.propose(f"{number} {'x' * 50}")
        simulation.run(0.02)
    return leader, absent


@pytest.mark.parametrize("seed", range(3))
def test_a_member_that_is_paused_repeatedly_receives_its_snapshot(seed: int) -> None:
    """Each pause is longer than the leader's timeout for replies, and commands are committed meanwhile."""
    simulation = Simulation(seed)
    _, absent = _crash_follower_and_commit(simulation, 300)
    simulation.start(absent)
    for step in range(12):
        simulation.run(0.25)
        simulation.freeze(absent)
        simulation.propose(f"meanwhile {step}")
        simulation.run(1.0)
        simulation.thaw(absent)
    assert simulation.members[absent].disk.snapshot_index > 0
    simulation.check_converges()


@pytest.mark.parametrize("seed", range(3))
def test_a_newer_snapshot_does_not_restart_a_transfer(seed: int) -> None:
    """Half of the chunks are lost; the leader makes several snapshots before the transfer completes."""
    simulation = Simulation(seed)
    leader, absent = _crash_follower_and_commit(simulation, 60)
    loss_rng = random.Random(seed)
    sent: set[int] = set()

    def drop_half_of_chunks(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotChunk) and not simulation.members[absent].disk.snapshot_index:
            sent.add(message.last_index)
        return isinstance(message, SnapshotChunk) and loss_rng.random() < 0.5

    simulation.should_drop = drop_half_of_chunks
    before = simulation.members[leader].disk.snapshot_index
    simulation.start(absent)
    for number in range(400):
        if simulation.members[absent].disk.snapshot_index:
            break
        simulation.propose(f"meanwhile {number}")
        simulation.run(0.05)
    assert sent == {simulation.members[absent].disk.snapshot_index}
    assert simulation.members[leader].disk.snapshot_index > before + 40
    simulation.check_converges()


@pytest.mark.parametrize("seed", range(3))
def test_a_transfer_that_never_completes_does_not_keep_the_log(seed: int) -> None:
    """The member replies heartbeats, but receives no chunk of a snapshot."""
    simulation = Simulation(seed)
    leader, absent = _crash_follower_and_commit(simulation, 40)
    simulation.should_drop = lambda message: isinstance(message, SnapshotChunk)
    simulation.start(absent)
    peak_bytes = 0
    for number in range(600):
        simulation.propose(f"more {number} {'x' * 50}")
        simulation.run(0.02)
        raft = simulation.members[leader].raft
        assert raft is not None
        peak_bytes = max(peak_bytes, log_of(raft).size_bytes)
    bound = LIMITS.retained_for_transfers_bytes + 40 * 150  # plus the entries until the next snapshot
    assert peak_bytes < bound
    simulation.check_converges()


@pytest.mark.parametrize("count", range(1, 10))
def test_chunks_of_a_crashed_leader_do_not_mix_with_those_of_its_successor(count: int) -> None:
    """The leader crashes after `count` chunks, which arrive again together with those of the next leader."""
    simulation = Simulation(count)
    leader, absent = _crash_follower_and_commit(simulation, 60)
    chunks: list[SnapshotChunk] = []

    def record_chunk(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotChunk) and message.sender == leader:
            chunks.append(message)
        return False

    simulation.should_drop = record_chunk
    simulation.start(absent)
    simulation.run_until(lambda: len(chunks) >= count)
    simulation.crash(leader)
    simulation.run_until(lambda: simulation.leader() not in (None, leader))
    for delayed_chunk in chunks:
        simulation.deliver_again(delayed_chunk)
        simulation.run(0.002)
    simulation.run(2.0)
    assert simulation.members[absent].disk.snapshot_index > 0
    simulation.check_converges()


def test_a_transfer_takes_fewer_round_trips_than_it_has_chunks() -> None:
    simulation = Simulation(1)
    _, absent = _crash_follower_and_commit(simulation, 300)
    round_trip_s = 0.2
    simulation.faults = FaultProfile(delay_s=(round_trip_s / 2, round_trip_s / 2))
    chunk_offsets: list[int] = []

    def record_offset(message: ConsensusMessage) -> bool:
        if isinstance(message, SnapshotChunk):
            chunk_offsets.append(message.offset)
        return False

    simulation.should_drop = record_offset
    simulation.start(absent)
    started_at = simulation.now
    simulation.run_until(lambda: simulation.members[absent].disk.snapshot_index > 0)
    assert simulation.now - started_at < len(chunk_offsets) * round_trip_s / 2
