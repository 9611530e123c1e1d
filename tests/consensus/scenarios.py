"""Courses of events in which one broken rule does harm."""

from pewterring.consensus.messages import AppendRequest, ConsensusMessage, SnapshotChunk
from pewterring.consensus.raft import Raft
from tests.consensus.simulated_members import SafetyViolationError, Weather, drop_nothing
from tests.consensus.simulation import Simulation

NEVER_S = 1000.0
ISOLATED_S = 20.0
COMPLETE_S = 5.0  # for a snapshot of which one chunk is lost
SNAPSHOT_CHUNKS = 8  # at least, of those that members need here
AT_ONCE_S = 0.15  # far below the shortest election time-out


def _with_leader(seed: int, voters: int, raft_class: type[Raft]) -> tuple[Simulation, str, list[str]]:
    """A group with a leader that has committed; the leader, and the others."""
    simulation = Simulation(seed, voters, raft_class)
    simulation.run_until(lambda: simulation.leader() is not None and simulation.leader_raft().is_ready_leader)
    simulation.run(1.0)
    leader = simulation.leader()
    assert leader is not None
    return simulation, leader, [name for name in simulation.members if name != leader]


def _converges(simulation: Simulation) -> None:
    """All that are up agree after a while."""
    simulation.run(5.0)
    simulation.check_converges()


def _comes_back(simulation: Simulation, member: str) -> None:
    """All cuts end, and a member that lost power starts again, its disk as fast as before."""
    simulation.members[member].sync_s = None
    simulation.cut_links.clear()
    simulation.start(member)
    _converges(simulation)


def _lose_power(simulation: Simulation, member: str, other: str) -> None:
    """A member loses power and what its disk has not saved; another dies with it, and keeps its disk."""
    simulation.crash(member, saves_lost=True)
    simulation.crash(other)


def _propose_unsaved(simulation: Simulation, member: str, isolated: str) -> None:
    """An entry is committed by two of three while the disk of `member` stands still."""
    simulation.isolate(isolated)
    simulation.members[member].sync_s = NEVER_S
    simulation.propose("x")
    simulation.run(0.3)


def _propose_many(simulation: Simulation, prefix: str) -> None:
    """More entries than are kept behind a snapshot."""
    for number in range(60):
        simulation.propose(f"{prefix}{number} {'x' * 30}")
        simulation.run(0.05)


def vote_lost_with_power(seed: int, raft_class: type[Raft]) -> None:
    """A voter loses power before its first vote is on disk, and is asked by another candidate."""
    simulation = Simulation(seed, 3, raft_class)
    simulation.disconnect("a", "c")
    simulation.members["b"].sync_s = NEVER_S
    simulation.run_while(lambda: simulation.leader() is None, 5.0)
    first = simulation.leader() or "a"
    simulation.crash("b", saves_lost=True)
    simulation.members["b"].sync_s = None
    simulation.cut_links.clear()
    simulation.isolate(first)
    simulation.start("b")
    _converges(simulation)


def follower_loses_entry(seed: int, raft_class: type[Raft]) -> None:
    """The follower whose answer made the majority loses power before its disk has the entry."""
    simulation, leader, (slow, isolated) = _with_leader(seed, 3, raft_class)
    _propose_unsaved(simulation, slow, isolated)
    _lose_power(simulation, slow, leader)
    _comes_back(simulation, slow)


def leader_loses_entry(seed: int, raft_class: type[Raft]) -> None:
    """The leader loses power before its disk has an entry that one follower of two has."""
    simulation, leader, (follower, isolated) = _with_leader(seed, 3, raft_class)
    _propose_unsaved(simulation, leader, isolated)
    _lose_power(simulation, leader, follower)
    _comes_back(simulation, leader)


def old_entry_overwritten(seed: int, raft_class: type[Raft]) -> None:
    """A majority gets an old term's entry from a new leader, and a member with a later term's wins then.

    This is figure 8 of the paper on Raft (Ongaro and Ousterhout, 2014).
    """
    simulation, first, (second, third, fourth, fifth) = _with_leader(seed, 5, raft_class)
    for name in (third, fourth, fifth):
        simulation.disconnect(first, name)
    simulation.propose("x" * 300)
    simulation.run(0.2)
    simulation.crash(first)
    simulation.crash(second)
    simulation.drops = lambda message: isinstance(message, AppendRequest)
    simulation.run_until(lambda: simulation.leader() is not None)
    later = simulation.leader() or ""
    simulation.run(0.2)
    simulation.crash(later)
    third, fourth = (name for name in (third, fourth, fifth) if name != later)
    simulation.crash(fourth)
    simulation.cut_links.clear()
    old = simulation.members[first].disk.last_index
    simulation.drops = lambda message: _has_entry_after(message, old)
    simulation.start(first)
    simulation.start(second)
    simulation.run_until(lambda: simulation.leader() in (first, second))
    simulation.run(0.5)
    simulation.crash(first)
    simulation.crash(second)
    simulation.drops = drop_nothing
    simulation.start(later)
    simulation.start(fourth)
    _converges(simulation)


def _has_entry_after(message: ConsensusMessage, index: int) -> bool:
    return isinstance(message, AppendRequest) and any(entry.index > index for entry in message.entries)


def rival_under_lease(seed: int, raft_class: type[Raft]) -> None:
    """A member without a link to the leader stands for election, and its voter restarts under the lease."""
    simulation, leader, (voter, rival) = _with_leader(seed, 3, raft_class)
    simulation.disconnect(leader, rival)
    read_and_write(simulation, leader, 1.5)
    if simulation.leader() == leader:
        simulation.crash(voter)
        simulation.isolate(leader)
        simulation.start(voter)
    read_and_write(simulation, leader, 0.5)
    simulation.check_converges()


def answers_wait_out_a_freeze(seed: int, raft_class: type[Raft]) -> None:
    """The leader freezes while answers are on their way; they wait in its sockets until others have led."""
    simulation, leader, (other, _) = _with_leader(seed, 3, raft_class)
    simulation.weather = Weather(delay_s=(0.02, 0.03))
    simulation.run(1.0)
    simulation.freeze(leader)
    simulation.run_until(
        lambda: simulation.members[other].raft is not None and _leads_anew(simulation, leader)
    )
    while f"after {leader}" not in simulation.acknowledged:
        simulation.propose(f"after {leader}")
        simulation.run(0.2)
    simulation.thaw(leader, reading=True)
    simulation.check_converges()


def _leads_anew(simulation: Simulation, old: str) -> bool:
    return simulation.leader() != old and simulation.leader_raft().is_ready_leader


def wiped_voter_and_rival(seed: int, raft_class: type[Raft]) -> None:
    """A voter loses its disk, and the one that was isolated all the while stands for election."""
    simulation, leader, (wiped, rival) = _with_leader(seed, 3, raft_class)
    simulation.isolate(rival)
    simulation.propose("x")
    simulation.run(0.3)
    simulation.crash(wiped)
    del simulation.members[wiped]
    simulation.join(f"{wiped}#2")
    simulation.crash(leader)
    simulation.cut_links.clear()
    _converges(simulation)


def back_in_a_later_term(seed: int, raft_class: type[Raft]) -> None:
    """A member stands for election at the moment it is isolated, and comes back behind the others."""
    simulation, leader, (absent, _) = _with_leader(seed, 3, raft_class)
    simulation.isolate(absent)
    simulation.stand(absent)
    simulation.propose("meanwhile")
    simulation.run(ISOLATED_S)
    assert simulation.leader() == leader
    simulation.cut_links.clear()
    without_s = 0.0
    step_s = 0.005
    for _ in range(200):
        simulation.run(step_s)
        without_s += 0.0 if simulation.has_leader_with_lease() else step_s
    if without_s > AT_ONCE_S:
        raise SafetyViolationError(f"nobody led for {without_s:.2f} s because one member came back")
    simulation.check_converges()


def read_and_write(simulation: Simulation, reader: str, duration: float) -> None:
    """Reads at `reader`, and writes at another that leads after it."""
    end = simulation.now + duration
    while simulation.now < end:
        if simulation.leader() != reader:
            simulation.propose(str(simulation.now))
        simulation.read(reader)
        simulation.run(0.005)


def _needs_snapshot(seed: int, raft_class: type[Raft]) -> tuple[Simulation, str, str, str]:
    """A group in which one member that is down needs a snapshot; the leader, the other, and that member."""
    simulation, leader, (other, absent) = _with_leader(seed, 3, raft_class)
    simulation.crash(absent)
    _propose_many(simulation, "")
    simulation.run(0.5)
    return simulation, leader, other, absent


def late_snapshot(seed: int, raft_class: type[Raft]) -> None:
    """The chunks of a snapshot come once more after its member has gone on."""
    simulation, _, _, absent = _needs_snapshot(seed, raft_class)
    chunks: list[SnapshotChunk] = []
    simulation.drops = lambda message: _record(message, chunks)
    simulation.start(absent)
    simulation.run(1.0)
    simulation.drops = drop_nothing
    _propose_many(simulation, "after ")
    for chunk in chunks:
        simulation.deliver_again(chunk)
        simulation.run(0.01)
    simulation.check_converges()


def _record(message: ConsensusMessage, chunks: list[SnapshotChunk]) -> bool:
    if isinstance(message, SnapshotChunk):
        chunks.append(message)
    return False


def leader_lost_amid_snapshot(seed: int, raft_class: type[Raft]) -> None:
    """The leader ends when a member has the first chunks of a snapshot; the next sends one of that index."""
    simulation, leader, _, absent = _needs_snapshot(seed, raft_class)
    chunks: list[SnapshotChunk] = []
    simulation.drops = lambda message: isinstance(message, SnapshotChunk) and message.offset > 1000
    simulation.start(absent)
    simulation.run(0.3)
    simulation.drops = lambda message: _is_entry(message) or _record(message, chunks)
    simulation.crash(leader)
    simulation.run_while(lambda: not chunks, 5.0)
    simulation.run(0.5)
    simulation.drops = drop_nothing
    simulation.run(2.0)
    simulation.check_converges()


def chunk_lost_amid_window(seed: int, raft_class: type[Raft]) -> None:
    """One chunk of a snapshot is lost, while others are on the way behind it; each in its turn."""
    for lost in range(SNAPSHOT_CHUNKS):
        simulation, _, _, absent = _needs_snapshot(seed, raft_class)
        chunks: list[SnapshotChunk] = []
        simulation.drops = lambda message, chunks=chunks, lost=lost: (  # type: ignore[misc]
            _record(message, chunks) or (isinstance(message, SnapshotChunk) and len(chunks) == lost + 1)
        )
        simulation.start(absent)
        disk = simulation.members[absent].disk
        if not simulation.run_while(lambda disk=disk: disk.snapshot_index == 0, COMPLETE_S):  # type: ignore[misc]
            raise SafetyViolationError(f"{absent} has no snapshot {COMPLETE_S} s after one chunk was lost")
        simulation.check_converges()


def _is_entry(message: ConsensusMessage) -> bool:
    return isinstance(message, AppendRequest) and bool(message.entries)


def power_lost_after_snapshot(seed: int, raft_class: type[Raft]) -> None:
    """A member makes a snapshot while entries come, and loses power before those are on its disk.

    It is one of the two that make the majority; the other goes with it, and keeps its disk.
    """
    simulation, leader, (slow, isolated) = _with_leader(seed, 3, raft_class)
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
    _comes_back(simulation, slow)
