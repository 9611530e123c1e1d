"""Departures of voters: a learner replaces a voter before its process ends, and a restart changes nothing.

In a planned replacement the old machine does not count as lost, because its successor had `catch_up_s` to
catch up beside it. So the tolerated number of other disks may be lost when the old machine ends, or later.
"""

import asyncio
import random

import pytest

from pewterring.consensus.errors import GroupFailedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership_planner import ALL_SPARES
from pewterring.consensus.messages import (
    AppendReply,
    ConsensusMessage,
    DepartureAck,
    DepartureNotice,
    Membership,
)
from pewterring.consensus.raft import Raft
from tests.consensus.group_network import NAMES, Network, wait_until
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.planned_group import PlannedGroupStandIn
from tests.consensus.planned_simulation import CATCH_UP_S, DEPARTURE_TIMEOUT_S, PlannedSimulation
from tests.consensus.raft_breakages import AcceptsLateDepartures, IgnoresDepartures
from tests.consensus.simulated_members import SafetyViolationError
from tests.consensus.test_losses import RECOVERY_TIMEOUT_S, spare_learner_counts, tolerated_losses
from tests.consensus.test_membership_planner import VoterState, all_groups, find_violation
from tests.consensus.virtual_time import run

ROUNDS = 3
MAX_LOSS_DELAY_S = 1.5  # longest time from the end of the old machine to the loss of the other disks
REPLICATION_LIMIT_S = 0.05  # bound on the time until all members have the last change on disk
# Bound on the time from SIGTERM to the replacement, with little state, no losses and no change of the leader.
REPLACEMENT_LIMIT_S = 0.5


def started_simulation(
    seed: int, tolerated: int, spare_learners: int, spares: int = 0, raft_class: type[Raft] = Raft
) -> PlannedSimulation:
    simulation = PlannedSimulation(seed, tolerated, spare_learners, spares, raft_class=raft_class)
    simulation.run_until(simulation.is_complete)
    simulation.write(1.0)
    return simulation


def voters(simulation: PlannedSimulation) -> tuple[str, ...]:
    return simulation.leader_raft().membership.voters


def follower(simulation: PlannedSimulation, number: int = 0) -> str:
    return [name for name in voters(simulation) if name != simulation.leader()][number]


# Planned replacements with losses of other disks


def planned_replacement(
    seed: int, tolerated: int, spare_learners: int, after_s: float, raft_class: type[Raft] = Raft
) -> None:
    """Replaces the oldest machine; the oldest other disks are lost `after_s` after its process ends."""
    simulation = started_simulation(seed, tolerated, spare_learners, raft_class=raft_class)
    for number in range(ROUNDS):
        simulation.join(f"new{number}")
        simulation.write(0.3)  # more commands, so that copying the state takes time
        simulation.run(CATCH_UP_S)
        simulation.propose_and_wait(f"last write {number}")
        simulation.depart_for_good(simulation.oldest_voters()[0])
        simulation.run(after_s)
        simulation.wipe(*simulation.oldest_voters(tolerated))
        back_at = simulation.now
        assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
        simulation.run(back_at + CATCH_UP_S - simulation.now)
    simulation.check_converges()


@spare_learner_counts
@tolerated_losses
def test_other_disks_are_lost_when_the_old_machine_ends(tolerated: int, spare_learners: int) -> None:
    for seed in range(3):
        planned_replacement(seed, tolerated, spare_learners, 0.0)


@spare_learner_counts
@tolerated_losses
def test_other_disks_are_lost_soon_after_the_old_machine_ended(tolerated: int, spare_learners: int) -> None:
    rng = random.Random("soon after")
    for seed in range(5):
        planned_replacement(seed, tolerated, spare_learners, rng.uniform(0.0, MAX_LOSS_DELAY_S))


@spare_learner_counts
@tolerated_losses
def test_a_leader_that_ignores_departures_is_detected(tolerated: int, spare_learners: int) -> None:
    with pytest.raises((SafetyViolationError, AssertionError)):
        planned_replacement(0, tolerated, spare_learners, 0.0, IgnoresDepartures)


@spare_learner_counts
@tolerated_losses
def test_other_disks_are_lost_while_the_old_machine_waits_for_its_replacement(
    tolerated: int, spare_learners: int
) -> None:
    """The departing member remains a voter until it is replaced, which takes longer if others are lost."""
    rng = random.Random("amid")
    for seed in range(6):
        simulation = started_simulation(seed, tolerated, spare_learners)
        simulation.join("new")
        simulation.run(CATCH_UP_S)
        old, *others = simulation.oldest_voters(tolerated + 1)
        may_end = simulation.depart(old)
        simulation.run(rng.uniform(0.0, 0.06))
        simulation.wipe(*others)
        while not may_end():
            simulation.run(0.002)
        simulation.lose_for_good(old)
        assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
        simulation.check_converges()


# Duration of a replacement


@spare_learner_counts
@tolerated_losses
def test_a_voter_is_replaced_soon_after_sigterm(tolerated: int, spare_learners: int) -> None:
    for seed in range(5):
        simulation = started_simulation(seed, tolerated, spare_learners, spares=1)
        old = follower(simulation)
        assert simulation.depart_for_good(old) < REPLACEMENT_LIMIT_S
        assert simulation.run_until_complete() < REPLICATION_LIMIT_S


@spare_learner_counts
@tolerated_losses
def test_a_departing_leader_transfers_its_leadership_and_is_replaced(
    tolerated: int, spare_learners: int
) -> None:
    for seed in range(5):
        simulation = started_simulation(seed, tolerated, spare_learners, spares=1)
        old = simulation.leader() or ""
        assert simulation.depart_for_good(old) < REPLACEMENT_LIMIT_S
        assert old not in voters(simulation)
        assert simulation.run_until_complete() < REPLICATION_LIMIT_S


@spare_learner_counts
def test_a_replacement_completes_although_the_leader_crashes(spare_learners: int) -> None:
    """The next leader learns of the departure from the first reply, and continues the replacement."""
    for point in range(10):
        simulation = started_simulation(point, 2, spare_learners, spares=2)
        old = follower(simulation)
        may_end = simulation.depart(old)
        simulation.run(0.003 * point)
        simulation.crash(simulation.leader() or "")
        while not may_end():
            simulation.run(0.002)
        assert old not in voters(simulation), "the departure was acknowledged"
        simulation.lose_for_good(old)
        simulation.check_converges()


# Lost, duplicated and delayed messages


@spare_learner_counts
def test_a_lost_notice_is_repeated(spare_learners: int) -> None:
    simulation = started_simulation(1, 1, spare_learners, spares=1)
    lost: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        is_departing = isinstance(message, AppendReply) and message.departing
        is_notice = isinstance(message, DepartureNotice) or is_departing
        if is_notice and len(lost) < 10:
            lost.append(message)
            return True
        return False

    simulation.should_drop = drops
    assert simulation.depart_for_good(follower(simulation)) < 2 * REPLACEMENT_LIMIT_S
    assert len(lost) == 10
    assert simulation.is_complete()


@spare_learner_counts
def test_a_departure_announced_only_in_replies_is_recognized(spare_learners: int) -> None:
    simulation = started_simulation(2, 1, spare_learners, spares=1)
    simulation.should_drop = lambda message: isinstance(message, DepartureNotice)
    assert simulation.depart_for_good(follower(simulation)) < REPLACEMENT_LIMIT_S
    assert simulation.is_complete()


@spare_learner_counts
def test_a_lost_acknowledgement_is_repeated(spare_learners: int) -> None:
    simulation = started_simulation(3, 1, spare_learners, spares=1)
    lost: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, DepartureAck) and len(lost) < 3:
            lost.append(message)
            return True
        return False

    simulation.should_drop = drops
    assert simulation.depart_for_good(follower(simulation)) < 2 * REPLACEMENT_LIMIT_S
    assert len(lost) == 3


@spare_learner_counts
def test_a_departing_process_waits_no_longer_than_its_timeout(spare_learners: int) -> None:
    simulation = started_simulation(4, 1, spare_learners, spares=1)
    old = follower(simulation)
    simulation.isolate(old)
    assert DEPARTURE_TIMEOUT_S <= simulation.depart_for_good(old) < DEPARTURE_TIMEOUT_S + 0.1


def restart_and_late_notices(spare_learners: int, raft_class: type[Raft] = Raft) -> None:
    """Delivers notices of an earlier incarnation twice, after a restart and with a ready learner."""
    simulation = started_simulation(5, 1, spare_learners, raft_class=raft_class)
    sent: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, DepartureNotice):
            sent.append(message)
        return False

    simulation.should_drop = drops
    old = follower(simulation)
    initial = voters(simulation)
    simulation.depart(old)
    simulation.run(0.3)
    simulation.crash(old)
    simulation.run(0.2)
    simulation.start(old)
    simulation.run(0.5)
    simulation.join("spare")
    simulation.write(0.5)
    assert voters(simulation) == initial
    assert len(sent) > 3
    for message in sent * 2:
        simulation.deliver_again(message)
    simulation.write(3.0)
    assert voters(simulation) == initial, "the current incarnation has announced no departure"
    simulation.check_converges()


@spare_learner_counts
def test_a_late_notice_does_not_affect_a_later_incarnation(spare_learners: int) -> None:
    restart_and_late_notices(spare_learners)


def test_a_leader_that_accepts_late_notices_is_detected() -> None:
    with pytest.raises(AssertionError):
        restart_and_late_notices(ALL_SPARES, AcceptsLateDepartures)


def test_a_late_acknowledgement_does_not_end_a_later_departure() -> None:
    simulation = started_simulation(6, 1, ALL_SPARES, spares=1)
    sent: list[ConsensusMessage] = []

    def drops(message: ConsensusMessage) -> bool:
        if isinstance(message, DepartureAck):
            sent.append(message)
        return False

    simulation.should_drop = drops
    old = follower(simulation)
    simulation.run_until(simulation.depart(old))
    simulation.crash(old)
    simulation.start(old)
    simulation.join("other")
    simulation.lose_for_good("spare0")
    simulation.run_until(lambda: old in voters(simulation))
    simulation.write(1.0)
    simulation.isolate(old)
    may_end = simulation.depart(old)
    simulation.blocked_links.clear()
    simulation.should_drop = lambda message: (
        isinstance(message, DepartureNotice | AppendReply) and message.sender == old
    )
    assert sent
    for message in sent:
        simulation.deliver_again(message)
    simulation.run(0.1)
    assert not may_end()


# Restarts


@spare_learner_counts
@tolerated_losses
def test_a_restart_without_a_spare_changes_nothing(tolerated: int, spare_learners: int) -> None:
    for seed in range(3):
        simulation = started_simulation(seed, tolerated, spare_learners)
        initial = simulation.leader_raft().membership
        for name in initial.voters:
            simulation.depart(name)
            simulation.run(0.2)
            simulation.crash(name)
            simulation.run(0.4)
            simulation.start(name)
            simulation.write(1.0)
            assert simulation.leader_raft().membership == initial
        assert simulation.is_complete()
        simulation.check_converges()


@spare_learner_counts
@tolerated_losses
def test_rolling_restarts_with_a_spare_keep_the_group_complete(tolerated: int, spare_learners: int) -> None:
    """A replaced member restarts with its disk, and is the spare for the next restart."""
    for seed in range(3):
        simulation = started_simulation(seed, tolerated, spare_learners, spares=1)
        everybody = sorted(simulation.members)
        for name in everybody:
            simulation.run_until(simulation.depart(name))
            simulation.crash(name)
            assert simulation.run_until_complete() < REPLACEMENT_LIMIT_S
            simulation.write(1.0)
            assert simulation.run_until_complete() < REPLICATION_LIMIT_S  # a command may be in flight
            simulation.start(name)
            simulation.write(1.0)
            assert simulation.run_until_complete() < REPLICATION_LIMIT_S
        assert sorted(simulation.members) == everybody
        simulation.check_converges()


@spare_learner_counts
def test_a_replaced_member_may_be_promoted_again(spare_learners: int) -> None:
    simulation = started_simulation(7, 1, spare_learners, spares=1)
    old = follower(simulation)
    simulation.run_until(simulation.depart(old))
    simulation.crash(old)
    simulation.run(0.5)
    simulation.start(old)
    simulation.write(1.0)
    simulation.lose_for_good("spare0")
    assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
    assert old in voters(simulation)
    simulation.check_converges()


# Two simultaneous departures


@spare_learner_counts
def test_two_depart_and_two_learners_replace_them(spare_learners: int) -> None:
    for seed in range(4):
        simulation = started_simulation(seed, 2, spare_learners, spares=2)
        departing = [follower(simulation, number) for number in range(2)]
        checks = [simulation.depart(name) for name in departing]
        simulation.run_until(lambda checks=checks: all(may_end() for may_end in checks))  # type: ignore[misc]
        for name in departing:
            simulation.lose_for_good(name)
        simulation.wipe(*simulation.oldest_voters(2))
        assert simulation.run_until_complete() < RECOVERY_TIMEOUT_S
        simulation.check_converges()


@spare_learner_counts
@tolerated_losses
def test_two_depart_and_one_learner_replaces_one(tolerated: int, spare_learners: int) -> None:
    """The other departing member keeps its vote, and the group does not keep an additional voter."""
    for seed in range(4):
        simulation = started_simulation(seed, tolerated, spare_learners, spares=1)
        departing = [follower(simulation, number) for number in range(2)]
        checks = [simulation.depart(name) for name in departing]
        simulation.run_until(lambda checks=checks: any(may_end() for may_end in checks))  # type: ignore[misc]
        simulation.write(0.5)
        assert len(voters(simulation)) == 2 * tolerated + 1
        assert [may_end() for may_end in checks].count(True) == 1
        assert len(set(departing) & set(voters(simulation))) == 1
        assert simulation.is_complete()


# The planner without a simulated group

A, B, C, D, E = (f"10.0.0.{number}#seed" for number in range(1, 6))
F, G = "10.0.0.6#x", "10.0.0.7#x"
INITIAL = Membership((A, B, C))


@spare_learner_counts
def test_a_ready_learner_votes_before_the_departing_voter_is_removed(spare_learners: int) -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D,)), (A, B, C, D), spare_learners=spare_learners)
    group.departing = {C}
    assert group.run(1.0, joining=(D,)) == [Membership((A, B, C, D)), Membership((A, B, D))]


@spare_learner_counts
def test_a_lagging_learner_does_not_replace_a_departing_voter(spare_learners: int) -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D,)), (A, B, C, D), spare_learners=spare_learners)
    group.departing = {C}
    group.lagging = {D}
    assert group.run(5.0, joining=(D,)) == []


@pytest.mark.parametrize(
    ("tolerated", "states"),
    [
        (1, (VoterState.HEALTHY, VoterState.LOST, VoterState.DECOMMISSIONED)),
        (2, (VoterState.HEALTHY, VoterState.LOST)),
    ],
)
def test_no_departure_lowers_how_many_losses_are_tolerated(
    tolerated: int, states: tuple[VoterState, ...]
) -> None:
    """Any number of voters depart; those that were not replaced cancel the departure."""
    groups = all_groups(tolerated, voter_states=(*states, VoterState.DEPARTING))
    assert len(groups) > 60
    for group in groups:
        departing = set(group.departing)
        assert find_violation(group, tolerated) == ""
        ready = [spare for spare in (F, G)[:tolerated] if group.match(spare)]
        removed = departing - set(group.membership.voters)
        assert len(removed) <= len(ready), "a voter was removed without a learner that replaces it"
        group.departing = set()
        assert find_violation(group, tolerated) == ""


@spare_learner_counts
def test_a_departing_learner_does_not_replace_a_voter(spare_learners: int) -> None:
    group = PlannedGroupStandIn(
        Membership(INITIAL.voters, (D,)), (A, B, C, D, F), spare_learners=spare_learners
    )
    group.departing = {C, D}
    group.run(2.0, joining=(F,))
    assert set(group.membership.voters) == {A, B, F}


def test_a_departing_voter_that_stops_answering_is_lost_at_once() -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D,)), (A, B, C, D), spare_learners=ALL_SPARES)
    group.lagging = {D}
    group.departing = {C}
    group.run(0.5)
    group.alive.discard(C)
    group.lagging = set()
    group.run(1.0)
    assert group.membership == Membership((A, B, D))


def test_a_lost_voter_is_replaced_before_a_departing_one() -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D,)), (A, C, D), spare_learners=ALL_SPARES)
    group.departing = {C}
    group.run(5.0)
    assert set(group.membership.voters) == {A, C, D}
    assert all(set(change.voters) >= {A, C} for change in group.changes)


def test_a_decommissioned_and_a_departing_voter_are_not_both_removed() -> None:
    group = PlannedGroupStandIn(Membership((A, B, C, D)), (A, B, C, D))
    group.decommissioning = {C}
    group.departing = {D}
    group.run(5.0)
    assert len(group.membership.voters) == 3


# Departures of `ReplicatedGroup`


def replacement_changes(group: ReplicatedGroup, voter: str, learner: str) -> list[Membership]:
    """Returns the changes that replace a voter by a learner."""
    others = tuple(each for each in group.membership.voters if each != voter)
    return [Membership((*group.membership.voters, learner)), Membership((*others, learner))]


def test_depart_returns_once_a_learner_has_replaced_the_member() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        await network.add("d", MemoryStorage()).start()
        await leader.change_membership(Membership(NAMES, ("d",)))
        departing = next(group for group in network.groups.values() if group is not leader)
        notices_received = 0

        def on_departure(name: str) -> None:
            nonlocal notices_received
            notices_received += name == leader.member

        network.on_departure = on_departure
        departure = asyncio.ensure_future(departing.depart(5.0))
        await wait_until(lambda: notices_received > 1)
        assert leader.is_departing(departing.member)
        assert not departure.done()
        for change in replacement_changes(leader, departing.member, "d"):
            await leader.change_membership(change)
        began_at = asyncio.get_running_loop().time()
        await departure
        assert asyncio.get_running_loop().time() - began_at < REPLICATION_LIMIT_S
        await departing.depart(5.0)
        assert asyncio.get_running_loop().time() - began_at < REPLICATION_LIMIT_S, "no vote to replace"
        await network.stop()

    run(scenario())


def test_depart_of_a_leader_transfers_the_leadership_and_ends_at_its_timeout() -> None:
    async def scenario() -> None:
        network = Network()
        old = await network.start()
        began_at = asyncio.get_running_loop().time()
        await old.depart(1.0)
        assert 1.0 <= asyncio.get_running_loop().time() - began_at < 1.0 + REPLICATION_LIMIT_S
        assert not old.is_leader
        assert (await network.new_leader(old)).is_departing(old.member)
        await network.stop()

    run(scenario())


def test_depart_of_the_only_voter_returns_and_it_still_leads() -> None:
    async def scenario() -> None:
        network = Network(("a",))
        only = await network.start()
        await only.depart(1.0)
        assert only.is_leader
        await network.stop()

    run(scenario())


def test_depart_fails_if_the_group_stops_meanwhile() -> None:
    async def scenario() -> None:
        network = Network()
        leader = await network.start()
        departing = next(group for group in network.groups.values() if group is not leader)
        departure = asyncio.ensure_future(departing.depart(1.0))
        await asyncio.sleep(0.1)
        await departing.stop()
        with pytest.raises(GroupFailedError):
            await departure
        await network.stop()

    run(scenario())
