"""A leadership is transferred: soon, without a stale read, and without harm where messages are lost."""

import asyncio
import random

import pytest

from pewterring.consensus.errors import NotLeaderError
from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.messages import ConsensusMessage, TimeoutNow, VoteRequest
from pewterring.consensus.raft import Raft
from tests.consensus.group_network import Network, command
from tests.consensus.simulated_members import SafetyViolationError
from tests.consensus.simulation import Simulation
from tests.consensus.virtual_time import run

AT_ONCE_S = 0.15  # far below the shortest election time-out


class TransferSimulation(Simulation):
    """A simulated group whose leader can be asked to transfer its leadership."""

    def until_led(self) -> str:
        """Waits for a leader and returns its name."""
        self.run_until(lambda: self.leader() is not None and self.leader_raft().is_ready_leader)
        self.run(0.5)
        return self.leader() or ""

    def transfer_leadership(self) -> bool:
        """Asks the leader to; False where there is none that can."""
        member = self.members.get(self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        begun = member.raft.transfer_leadership(self._clock(member))
        self._process_ready(member)
        return begun

    def is_succeeded_within(self, old: str, limit_s: float) -> bool:
        """Whether another member leads in time."""
        return self.run_while(lambda: self.leader() in (old, None), limit_s)

    def has_lease(self, name: str) -> bool:
        member = self.members[name]
        return member.raft is not None and member.raft.has_lease(self._clock(member))


@pytest.mark.parametrize("voters", [2, 3, 5])
def test_successor_leads_long_before_an_election_timeout(voters: int) -> None:
    for seed in range(5):
        simulation = TransferSimulation(seed, voters)
        old = simulation.until_led()
        simulation.propose("before")
        assert simulation.transfer_leadership()
        assert simulation.is_succeeded_within(old, AT_ONCE_S)
        assert simulation.leader_raft().term == 2
        assert "before" in simulation.acknowledged
        simulation.check_converges()


def test_only_voter_keeps_the_leadership() -> None:
    simulation = TransferSimulation(1, voters=1)
    old = simulation.until_led()
    assert not simulation.transfer_leadership()
    assert simulation.propose("still")
    assert simulation.leader() == old


def test_lost_message_is_sent_again() -> None:
    simulation = TransferSimulation(2)
    old = simulation.until_led()
    lost: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, TimeoutNow) and not lost:
            lost.append(message)
            return True
        return False

    simulation.drops = drops
    simulation.transfer_leadership()
    assert simulation.is_succeeded_within(old, 0.4)
    assert len(lost) == 1


def test_leader_without_a_successor_steps_down_in_time() -> None:
    simulation = TransferSimulation(3)
    old = simulation.until_led()
    simulation.drops = lambda message: isinstance(message, TimeoutNow)
    simulation.transfer_leadership()
    raft = simulation.members[old].raft
    assert raft is not None
    assert simulation.run_while(lambda: raft.is_leader, 0.8)
    simulation.check_converges()


def test_no_lease_once_a_successor_was_notified() -> None:
    simulation = TransferSimulation(4)
    old = simulation.until_led()
    assert simulation.has_lease(old)
    simulation.drops = lambda message: isinstance(message, VoteRequest)
    simulation.transfer_leadership()
    assert not simulation.has_lease(old)


def test_late_order_to_stand_changes_nothing_in_a_later_term() -> None:
    simulation = TransferSimulation(5)
    old = simulation.until_led()
    late: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, TimeoutNow):
            late.append(message)
        return isinstance(message, TimeoutNow)

    simulation.drops = drops
    simulation.transfer_leadership()
    simulation.run_until(lambda: not simulation.members[old].raft.is_leader)  # type: ignore[union-attr]
    simulation.drops = lambda _: False
    simulation.until_led()
    term = simulation.leader_raft().term
    for message in late:
        simulation.deliver_again(message)
    simulation.run(3.0)
    assert simulation.leader_raft().term == term


class _KeepsLease(LeaderRole):
    def has_lease(self, now: float) -> bool:
        return self._rounds.has_lease(self._state.voters, now)


class KeepsLease(Raft):
    """Answers reads by its lease although it has notified a successor to stand."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _KeepsLease(self._state, now)


def read_at_a_leader_cut_off_amid_its_transfer(raft_class: type[Raft]) -> None:
    """The old leader hears nothing of its successor's election, and is asked to read at once after it."""
    simulation = TransferSimulation(6, raft_class=raft_class)
    old = simulation.until_led()
    simulation.drops = lambda message: message.target == old
    simulation.transfer_leadership()
    simulation.run_until(lambda: simulation.leader() not in (old, None))
    simulation.run_until(lambda: simulation.leader_raft().is_ready_leader)
    simulation.propose("after")
    simulation.run_until(lambda: "after" in simulation.acknowledged, limit=0.1)
    assert simulation.read(old)


def test_a_lease_claimed_after_a_successor_was_notified_is_caught() -> None:
    with pytest.raises(SafetyViolationError):
        read_at_a_leader_cut_off_amid_its_transfer(KeepsLease)
    read_at_a_leader_cut_off_amid_its_transfer(Raft)


def test_schedules_with_leadership_transfers() -> None:
    """Crashes, cuts and bad weather around transfers: nothing is lost and no read goes back."""
    for seed in range(25):
        rng = random.Random(f"handover {seed}")
        simulation = TransferSimulation(seed, rng.choice((3, 3, 5)))
        simulation.faults.loss_rate = simulation.faults.long_delay_rate = rng.choice((0.0, 0.1))
        for step in range(80):
            name = rng.choice(list(simulation.members))
            action = rng.choice(("propose", "propose", "read", "transfer", "crash", "cut", "heal"))
            if action == "propose":
                simulation.propose(f"{step}", rng.choice((None, name)))
            elif action == "read":
                for reader in simulation.members:
                    simulation.read(reader)
            elif action == "transfer":
                simulation.transfer_leadership()
            elif action == "crash":
                simulation.crash(name)
            elif action == "cut":
                simulation.isolate(name)
            else:
                simulation.blocked_links.clear()
                for stopped in simulation.members:
                    simulation.start(stopped)
            simulation.run(rng.choice((0.003, 0.02, 0.3)))
        simulation.check_converges()


def test_group_returns_when_another_leads_and_rejects_commands() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        await old.propose(command("before"))
        transfer = asyncio.ensure_future(old.transfer_leadership())
        await asyncio.sleep(0)
        with pytest.raises(NotLeaderError):
            await old.propose(command("refused"))
        began = asyncio.get_running_loop().time()
        await transfer
        new = await network.new_leader(old)
        assert asyncio.get_running_loop().time() - began < AT_ONCE_S
        assert await new.propose(command("after")) == 2
        await old.transfer_leadership()  # a follower has nothing to transfer
        await network.stop()

    run(scenario())


def test_group_returns_when_it_stops_meanwhile() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        network.cut.add(old.member)
        transfer = asyncio.ensure_future(old.transfer_leadership())
        await asyncio.sleep(0)
        await old.stop()
        await transfer
        await network.stop()

    run(scenario())


def test_group_with_one_voter_returns_at_once() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        leader = await network.start()
        await leader.transfer_leadership()
        assert leader.is_leader
        await network.stop()

    run(scenario())
