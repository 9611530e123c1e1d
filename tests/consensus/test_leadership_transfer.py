"""Leadership transfers: they are fast, allow no stale read, and tolerate lost messages."""

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

TRANSFER_LIMIT_S = 0.15  # far below the shortest election time-out


class TransferSimulation(Simulation):
    """A simulated group with leadership transfers."""

    def run_until_led(self) -> str:
        """Runs until a leader is ready and half a second longer; returns its name."""
        self.run_until(lambda: self.leader() is not None and self.leader_raft().is_ready_leader)
        self.run(0.5)
        return self.leader() or ""

    def transfer_leadership(self) -> bool:
        """Begins a transfer at the leader; returns False if there is no leader or no other voter."""
        member = self.members.get(self.leader() or "")
        if member is None or member.raft is None or member.frozen:
            return False
        has_begun = member.raft.transfer_leadership(self._clock(member))
        self._process_ready(member)
        return has_begun

    def has_successor_within(self, old: str, limit_s: float) -> bool:
        """Whether another member leads within `limit_s`."""
        return self.run_while(lambda: self.leader() in (old, None), limit_s)

    def has_lease(self, name: str) -> bool:
        member = self.members[name]
        return member.raft is not None and member.raft.has_lease(self._clock(member))


@pytest.mark.parametrize("voters", [2, 3, 5])
def test_the_successor_leads_before_an_election_timeout(voters: int) -> None:
    for seed in range(5):
        simulation = TransferSimulation(seed, voters)
        old = simulation.run_until_led()
        simulation.propose("before")
        assert simulation.transfer_leadership()
        assert simulation.has_successor_within(old, TRANSFER_LIMIT_S)
        assert simulation.leader_raft().term == 2
        assert "before" in simulation.acknowledged
        simulation.check_converges()


def test_the_only_voter_keeps_its_leadership() -> None:
    simulation = TransferSimulation(1, voters=1)
    old = simulation.run_until_led()
    assert not simulation.transfer_leadership()
    assert simulation.propose("still")
    assert simulation.leader() == old


def test_a_lost_timeout_now_message_is_sent_again() -> None:
    simulation = TransferSimulation(2)
    old = simulation.run_until_led()
    lost: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, TimeoutNow) and not lost:
            lost.append(message)
            return True
        return False

    simulation.should_drop = drops
    simulation.transfer_leadership()
    assert simulation.has_successor_within(old, 0.4)
    assert len(lost) == 1


def test_a_leader_without_a_successor_steps_down_in_time() -> None:
    simulation = TransferSimulation(3)
    old = simulation.run_until_led()
    simulation.should_drop = lambda message: isinstance(message, TimeoutNow)
    simulation.transfer_leadership()
    raft = simulation.members[old].raft
    assert raft is not None
    assert simulation.run_while(lambda: raft.is_leader, 0.8)
    simulation.check_converges()


def test_a_leader_has_no_lease_once_a_successor_was_notified() -> None:
    simulation = TransferSimulation(4)
    old = simulation.run_until_led()
    assert simulation.has_lease(old)
    simulation.should_drop = lambda message: isinstance(message, VoteRequest)
    simulation.transfer_leadership()
    assert not simulation.has_lease(old)


def test_a_late_timeout_now_message_changes_nothing_in_a_later_term() -> None:
    simulation = TransferSimulation(5)
    old = simulation.run_until_led()
    late_messages: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, TimeoutNow):
            late_messages.append(message)
        return isinstance(message, TimeoutNow)

    simulation.should_drop = drops
    simulation.transfer_leadership()
    simulation.run_until(lambda: not simulation.members[old].raft.is_leader)  # type: ignore[union-attr]
    simulation.should_drop = lambda _: False
    simulation.run_until_led()
    term = simulation.leader_raft().term
    for message in late_messages:
        simulation.deliver_again(message)
    simulation.run(3.0)
    assert simulation.leader_raft().term == term


class _KeepsLeaseDuringTransferRole(LeaderRole):
    def has_lease(self, now: float) -> bool:
        return self._rounds.has_lease(self._state.voters, now)


class KeepsLeaseDuringTransfer(Raft):
    """Still claims its lease after it has sent `TimeoutNow` to a successor."""

    def _begin_leading(self, now: float) -> LeaderRole:
        return _KeepsLeaseDuringTransferRole(self._state, now)


def read_at_a_partitioned_leader_after_its_transfer(raft_class: type[Raft]) -> None:
    """Reads at the old leader, which receives no messages, after its successor acknowledged a command."""
    simulation = TransferSimulation(6, raft_class=raft_class)
    old = simulation.run_until_led()
    simulation.should_drop = lambda message: message.target == old
    simulation.transfer_leadership()
    simulation.run_until(lambda: simulation.leader() not in (old, None))
    simulation.run_until(lambda: simulation.leader_raft().is_ready_leader)
    simulation.propose("after")
    simulation.run_until(lambda: "after" in simulation.acknowledged, limit=0.1)
    assert simulation.read(old)


def test_a_lease_claimed_after_a_successor_was_notified_is_detected() -> None:
    with pytest.raises(SafetyViolationError):
        read_at_a_partitioned_leader_after_its_transfer(KeepsLeaseDuringTransfer)
    read_at_a_partitioned_leader_after_its_transfer(Raft)


def test_random_schedules_with_leadership_transfers_are_safe() -> None:
    """Random crashes, network partitions and message losses around transfers: no loss and no stale read."""
    for seed in range(25):
        rng = random.Random(f"handover {seed}")
        simulation = TransferSimulation(seed, rng.choice((3, 3, 5)))
        simulation.faults.loss_rate = simulation.faults.long_delay_rate = rng.choice((0.0, 0.1))
        for step in range(80):
            name = rng.choice(list(simulation.members))
            action = rng.choice(("propose", "propose", "read", "transfer", "crash", "partition", "heal"))
            if action == "propose":
                simulation.propose(f"{step}", rng.choice((None, name)))
            elif action == "read":
                for reader in simulation.members:
                    simulation.read(reader)
            elif action == "transfer":
                simulation.transfer_leadership()
            elif action == "crash":
                simulation.crash(name)
            elif action == "partition":
                simulation.isolate(name)
            else:
                simulation.blocked_links.clear()
                for stopped in simulation.members:
                    simulation.start(stopped)
            simulation.run(rng.choice((0.003, 0.02, 0.3)))
        simulation.check_converges()


def test_transfer_leadership_rejects_commands_and_returns_when_another_member_leads() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        await old.propose(command("before"))
        transfer = asyncio.ensure_future(old.transfer_leadership())
        await asyncio.sleep(0)
        with pytest.raises(NotLeaderError):
            await old.propose(command("rejected"))
        began_at = asyncio.get_running_loop().time()
        await transfer
        new = await network.new_leader(old)
        assert asyncio.get_running_loop().time() - began_at < TRANSFER_LIMIT_S
        assert await new.propose(command("after")) == 2
        await old.transfer_leadership()  # a follower has nothing to transfer
        await network.stop()

    run(scenario())


def test_transfer_leadership_returns_when_the_group_stops() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        network.partitioned.add(old.member)
        transfer = asyncio.ensure_future(old.transfer_leadership())
        await asyncio.sleep(0)
        await old.stop()
        await transfer
        await network.stop()

    run(scenario())


def test_transfer_leadership_of_the_only_voter_returns_at_once() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        leader = await network.start()
        await leader.transfer_leadership()
        assert leader.is_leader
        await network.stop()

    run(scenario())
