"""Sequences of faults, each of which violates an invariant if one rule of the protocol is broken."""

from pewterring.consensus.messages import AppendRequest, ConsensusMessage, SnapshotChunk
from pewterring.consensus.raft import Raft
from tests.consensus.simulated_members import FaultProfile, SafetyViolationError, drop_nothing
from tests.consensus.simulation import Simulation

STALLED_SYNC_S = 1000.0  # a disk sync that does not complete within the scenario
ISOLATED_S = 20.0
SNAPSHOT_TIMEOUT_S = 5.0  # for the transfer of a snapshot of which one chunk is lost
SNAPSHOT_CHUNKS = 8  # least number of chunks of the snapshots in these scenarios
MAX_LEADERLESS_S = 0.15  # far below the shortest election timeout


def _start_group(seed: int, voters: int, raft_class: type[Raft]) -> tuple[Simulation, str, list[str]]:
    """Starts a group and waits for a leader; returns the group, the leader and the other members."""
    simulation = Simulation(seed, voters, raft_class)
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().is_ready_leader)
    simulation.run(1.0)
    leader = simulation.leader()
    assert leader is not None
    return simulation, leader, [name for name in simulation.members if name != leader]


def _check_converges_later(simulation: Simulation) -> None:
    """Checks that the members agree, after the members that are up ran for 5 s."""
    simulation.run(5.0)
    simulation.check_converges()


def _restart_and_check(simulation: Simulation, member: str) -> None:
    """Ends all partitions and starts a member whose disk is normal again; checks that the group converges."""
    simulation.members[member].sync_s = None
    simulation.blocked_links.clear()
    simulation.start(member)
    _check_converges_later(simulation)


def _lose_power(simulation: Simulation, member: str, other: str) -> None:
    """Crashes two members; `member` loses its unsynced writes, `other` may keep its own."""
    simulation.crash(member, saves_lost=True)
    simulation.crash(other)


def _propose_unsaved(simulation: Simulation, member: str, isolated: str) -> None:
    """Proposes a command to a leader with one reachable follower while the disk of `member` is stalled."""
    simulation.isolate(isolated)
    simulation.members[member].sync_s = STALLED_SYNC_S
    simulation.propose("x")
    simulation.run(0.3)


def _propose_many(simulation: Simulation, prefix: str) -> None:
    """Proposes more entries than the log retains after a snapshot."""
    for number in range(60):
        simulation.propose(f"{prefix}{number} {'x' * 30}")
        simulation.run(0.05)


def vote_lost_with_power(seed: int, raft_class: type[Raft]) -> None:
    """A voter loses power before its vote is on disk, and then receives another candidate's vote request."""
    simulation = Simulation(seed, 3, raft_class)
    simulation.disconnect("a", "c")
    simulation.members["b"].sync_s = STALLED_SYNC_S
    simulation.run_while(lambda: simulation.leader() is None, 5.0)
    first = simulation.leader() or "a"
    simulation.crash("b", saves_lost=True)
    simulation.members["b"].sync_s = None
    simulation.blocked_links.clear()
    simulation.isolate(first)
    simulation.start("b")
    _check_converges_later(simulation)


def follower_loses_entry(seed: int, raft_class: type[Raft]) -> None:
    """The follower that completes the majority loses power before the entry is on its disk."""
    simulation, leader, (slow, isolated) = _start_group(seed, 3, raft_class)
    _propose_unsaved(simulation, slow, isolated)
    _lose_power(simulation, slow, leader)
    _restart_and_check(simulation, slow)


def leader_loses_entry(seed: int, raft_class: type[Raft]) -> None:
    """The leader loses power before an entry is on its disk; one of its two followers has it on disk."""
    simulation, leader, (follower, isolated) = _start_group(seed, 3, raft_class)
    _propose_unsaved(simulation, leader, isolated)
    _lose_power(simulation, leader, follower)
    _restart_and_check(simulation, leader)


def old_entry_overwritten(seed: int, raft_class: type[Raft]) -> None:
    """A new leader replicates an entry of an old term to a majority; then a member with a newer entry leads.

    See figure 8 of the Raft paper (Ongaro and Ousterhout, 2014).
    """
    simulation, first, (second, third, fourth, fifth) = _start_group(seed, 5, raft_class)
    for name in (third, fourth, fifth):
        simulation.disconnect(first, name)
    simulation.propose("x" * 300)
    simulation.run(0.2)
    simulation.crash(first)
    simulation.crash(second)
    simulation.should_drop = lambda message: isinstance(message, AppendRequest)
    simulation.run_until(lambda: simulation.leader() is not None)
    later = simulation.leader() or ""
    simulation.run(0.2)
    simulation.crash(later)
    third, fourth = (name for name in (third, fourth, fifth) if name != later)
    simulation.crash(fourth)
    simulation.blocked_links.clear()
    old = simulation.members[first].disk.last_index
    simulation.should_drop = lambda message: _has_entry_after(message, old)
    simulation.start(first)
    simulation.start(second)
    simulation.run_until(lambda: simulation.leader() in (first, second))
    simulation.run(0.5)
    simulation.crash(first)
    simulation.crash(second)
    simulation.should_drop = drop_nothing
    simulation.start(later)
    simulation.start(fourth)
    _check_converges_later(simulation)


def _has_entry_after(message: ConsensusMessage, index: int) -> bool:
    return isinstance(message, AppendRequest) and any(entry.index > index for entry in message.entries)


def candidate_during_lease(seed: int, raft_class: type[Raft]) -> None:
    """A member without a link to the leader starts an election; its voter restarts during the lease."""
    simulation, leader, (voter, candidate) = _start_group(seed, 3, raft_class)
    simulation.disconnect(leader, candidate)
    read_and_write(simulation, leader, 1.5)
    if simulation.leader() == leader:
        simulation.crash(voter)
        simulation.isolate(leader)
        simulation.start(voter)
    read_and_write(simulation, leader, 0.5)
    simulation.check_converges()


def leader_frozen_with_replies_in_flight(seed: int, raft_class: type[Raft]) -> None:
    """The leader freezes with replies in flight, and processes them only after another leader was elected."""
    simulation, leader, (other, _) = _start_group(seed, 3, raft_class)
    simulation.faults = FaultProfile(delay_s=(0.02, 0.03))
    simulation.run(1.0)
    simulation.freeze(leader)
    simulation.run_until(
        lambda: simulation.members[other].raft is not None and _has_new_leader(simulation, leader)
    )
    while f"after {leader}" not in simulation.acknowledged:
        simulation.propose(f"after {leader}")
        simulation.run(0.2)
    simulation.thaw(leader, reading=True)
    simulation.check_converges()


def _has_new_leader(simulation: Simulation, old: str) -> bool:
    return simulation.leader() != old and simulation.leader_raft().is_ready_leader


def wiped_voter_and_stale_candidate(seed: int, raft_class: type[Raft]) -> None:
    """A voter loses its disk; a member that was isolated until then starts an election."""
    simulation, leader, (wiped, candidate) = _start_group(seed, 3, raft_class)
    simulation.isolate(candidate)
    simulation.propose("x")
    simulation.run(0.3)
    simulation.crash(wiped)
    del simulation.members[wiped]
    simulation.join(f"{wiped}#2")
    simulation.crash(leader)
    simulation.blocked_links.clear()
    _check_converges_later(simulation)


def reconnects_in_a_later_term(seed: int, raft_class: type[Raft]) -> None:
    """A member starts an election just as it is isolated, and reconnects with a later term but an old log."""
    simulation, leader, (absent, _) = _start_group(seed, 3, raft_class)
    simulation.isolate(absent)
    simulation.start_election(absent)
    simulation.propose("meanwhile")
    simulation.run(ISOLATED_S)
    assert simulation.leader() == leader
    simulation.blocked_links.clear()
    leaderless_s = 0.0
    step_s = 0.005
    for _ in range(200):
        simulation.run(step_s)
        leaderless_s += 0.0 if simulation.has_leader_with_lease() else step_s
    if leaderless_s > MAX_LEADERLESS_S:
        raise SafetyViolationError(f"no leader for {leaderless_s:.2f} s after one member reconnected")
    simulation.check_converges()


def read_and_write(simulation: Simulation, reader: str, duration: float) -> None:
    """Reads at `reader` again and again, and writes at the leader whenever another member leads."""
    end = simulation.now + duration
    while simulation.now < end:
        if simulation.leader() != reader:
            simulation.propose(str(simulation.now))
        simulation.read(reader)
        simulation.run(0.005)


def _with_lagging_member(seed: int, raft_class: type[Raft]) -> tuple[Simulation, str, str, str]:
    """Returns a group with the leader, a follower, and a member that is down and needs a snapshot."""
    simulation, leader, (other, absent) = _start_group(seed, 3, raft_class)
    simulation.crash(absent)
    _propose_many(simulation, "")
    simulation.run(0.5)
    return simulation, leader, other, absent


def late_snapshot(seed: int, raft_class: type[Raft]) -> None:
    """The chunks of an installed snapshot arrive again after their receiver applied newer entries."""
    simulation, _, _, absent = _with_lagging_member(seed, raft_class)
    chunks: list[SnapshotChunk] = []
    simulation.should_drop = lambda message: _record_chunk(message, chunks)
    simulation.start(absent)
    simulation.run(1.0)
    simulation.should_drop = drop_nothing
    _propose_many(simulation, "after ")
    for chunk in chunks:
        simulation.deliver_again(chunk)
        simulation.run(0.01)
    simulation.check_converges()


def _record_chunk(message: ConsensusMessage, chunks: list[SnapshotChunk]) -> bool:
    if isinstance(message, SnapshotChunk):
        chunks.append(message)
    return False


def leader_crashes_during_snapshot(seed: int, raft_class: type[Raft]) -> None:
    """The leader crashes while it sends a snapshot; its successor sends another one of the same index."""
    simulation, leader, _, absent = _with_lagging_member(seed, raft_class)
    chunks: list[SnapshotChunk] = []
    simulation.should_drop = lambda message: isinstance(message, SnapshotChunk) and message.offset > 1000
    simulation.start(absent)
    simulation.run(0.3)
    simulation.should_drop = lambda message: _is_entry(message) or _record_chunk(message, chunks)
    simulation.crash(leader)
    simulation.run_while(lambda: not chunks, 5.0)
    simulation.run(0.5)
    simulation.should_drop = drop_nothing
    simulation.run(2.0)
    simulation.check_converges()


def chunk_lost_within_window(seed: int, raft_class: type[Raft]) -> None:
    """One chunk of a snapshot is lost while later ones are in flight; repeated for each chunk."""
    for lost in range(SNAPSHOT_CHUNKS):
        simulation, _, _, absent = _with_lagging_member(seed, raft_class)
        chunks: list[SnapshotChunk] = []
        simulation.should_drop = lambda message, chunks=chunks, lost=lost: (  # type: ignore[misc]
            _record_chunk(message, chunks) or (isinstance(message, SnapshotChunk) and len(chunks) == lost + 1)
        )
        simulation.start(absent)
        disk = simulation.members[absent].disk
        if not simulation.run_while(lambda disk=disk: disk.snapshot_index == 0, SNAPSHOT_TIMEOUT_S):  # type: ignore[misc]
            raise SafetyViolationError(
                f"no snapshot at {absent} within {SNAPSHOT_TIMEOUT_S} s of a lost chunk"
            )
        simulation.check_converges()


def _is_entry(message: ConsensusMessage) -> bool:
    return isinstance(message, AppendRequest) and bool(message.entries)


def power_lost_after_snapshot(seed: int, raft_class: type[Raft]) -> None:
    """A member makes a snapshot while entries arrive, and loses power before those are on its disk.

    Only this member and the leader make up the majority; the leader crashes too, but keeps its disk.
    """
    simulation, leader, (slow, isolated) = _start_group(seed, 3, raft_class)
    simulation.isolate(isolated)
    simulation.run(0.2)
    count = 0
    while simulation.members[slow].entries_since_snapshot < 19:
        simulation.propose(f"{count}")
        count += 1
        simulation.run(0.03)
    simulation.members[slow].sync_s = 0.2
    for number in range(8):
        simulation.propose(f"meanwhile {number}")
        simulation.run(0.06)
    _lose_power(simulation, slow, leader)
    _restart_and_check(simulation, slow)
