"""Membership changes planned for control, which keeps all spares as learners, and for batch partitions."""

import itertools
from enum import Enum

import pytest

from pewterring.consensus.membership_planner import ALL_SPARES, MembershipPlanner
from pewterring.consensus.membership_view import LOST_LEARNER_FRACTION, LOST_VOTER_FRACTION
from pewterring.consensus.messages import Membership
from tests.consensus.planned_group import CATCH_UP_S, CHECK_PERIOD_S, PlannedGroupStandIn, majority

A, B, C, D, E = (f"10.0.0.{number}#seed" for number in range(1, 6))
F, G = "10.0.0.6#x", "10.0.0.7#x"
C_NEW = "10.0.0.3#new"
INITIAL = Membership((A, B, C))
VOTER_TIMEOUT_S = LOST_VOTER_FRACTION * CATCH_UP_S


class VoterState(Enum):
    """The state of a voter in a generated group."""

    HEALTHY = "healthy"
    LOST = "lost"
    DECOMMISSIONED = "decommissioned"
    DEPARTING = "departing"


class LearnerState(Enum):
    """The state of a learner in a generated group."""

    READY = "ready"
    BEHIND = "behind"
    LOST = "lost"


each_spare_count = pytest.mark.parametrize("spares", [0, 1, ALL_SPARES], ids=["none", "batch", "control"])


@each_spare_count
def test_nothing_changes_while_all_voters_are_healthy(spares: int) -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C), spare_learners=spares)
    assert group.run(20.0) == []


def test_the_configured_number_of_spares_is_kept() -> None:
    alive_members = (A, B, C, D, F, G)
    none = PlannedGroupStandIn(INITIAL, alive_members)
    assert none.run(20.0, joining=(D, F, G)) == []
    batch = PlannedGroupStandIn(INITIAL, alive_members, spare_learners=1)
    assert batch.run(20.0, joining=(D, F, G)) == [Membership(INITIAL.voters, (D,))]
    control = PlannedGroupStandIn(INITIAL, alive_members, spare_learners=ALL_SPARES)
    control.run(20.0, joining=(D, F, G))
    assert control.membership == Membership(INITIAL.voters, (D, F, G))


def test_a_caught_up_learner_replaces_a_voter_as_soon_as_it_is_lost() -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C, D, F), spare_learners=1)
    group.run(5.0, joining=(D, F))
    group.alive.discard(C)
    group.lagging.add(F)  # the copy to the next spare is incomplete
    group.run(VOTER_TIMEOUT_S + CHECK_PERIOD_S)
    assert group.membership == Membership((A, B, D), (F,))


def test_an_unresponsive_spare_is_not_replaced_before_its_timeout() -> None:
    """A store that crashes and restarts in time causes no copy of the state to another spare."""
    group = PlannedGroupStandIn(INITIAL, (A, B, C, D, F), spare_learners=1)
    group.run(5.0, joining=(D, F))
    group.alive.discard(D)
    assert group.run(LOST_LEARNER_FRACTION * CATCH_UP_S - CHECK_PERIOD_S) == []
    group.run(2 * CHECK_PERIOD_S)
    assert group.membership == Membership(INITIAL.voters, (F,))


def test_no_more_copies_are_made_than_voters_are_missing() -> None:
    """All copies share the leader's network link."""
    group = PlannedGroupStandIn(Membership((A, B)), (A, B, D, F), spare_learners=2)
    group.lagging = {D, F}
    group.run(5.0, joining=(D, F))
    assert group.membership == Membership((A, B), (D,))
    group.lagging = set()
    group.run(2.0)
    assert group.membership == Membership((A, B, D), (F,))


def test_a_surplus_learner_is_removed_once_all_voters_answer() -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D, F)), (A, B, C, D, F), spare_learners=1)
    group.run(2.0, joining=(D, F))
    assert group.membership == Membership(INITIAL.voters, (D,))


@each_spare_count
def test_an_unresponsive_voter_stays_while_no_member_can_replace_it(spares: int) -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B), spare_learners=spares)
    assert group.run(20.0) == []


@each_spare_count
def test_a_member_with_a_new_disk_replaces_its_former_name_at_once(spares: int) -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C_NEW), spare_learners=spares)
    group.lagging.add(C_NEW)
    assert group.run(0.75, joining=(C_NEW,)) == [Membership(INITIAL.voters, (C_NEW,))]
    group.lagging.clear()
    group.run(CHECK_PERIOD_S)
    assert group.membership == Membership((A, B, C_NEW))


@each_spare_count
def test_the_lost_voter_is_removed_before_the_learner_votes(spares: int) -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (C_NEW,)), (A, B, C_NEW), spare_learners=spares)
    assert group.run(1.0, joining=(C_NEW,)) == [
        Membership((A, B), (C_NEW,)),
        Membership((A, B, C_NEW)),
    ]


def test_an_unresponsive_voter_is_lost_only_after_its_timeout() -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, D))
    group.lagging.add(D)
    assert group.run(VOTER_TIMEOUT_S, joining=(D,)) == []
    assert group.run(CHECK_PERIOD_S) == [Membership(INITIAL.voters, (D,))]


def test_a_new_machine_replaces_only_an_unresponsive_one() -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C, D), spare_learners=ALL_SPARES)
    group.run(5.0, joining=(D,))
    assert group.membership == Membership(INITIAL.voters, (D,))
    group.alive.discard(C)
    group.run(VOTER_TIMEOUT_S - CHECK_PERIOD_S)
    assert group.membership == Membership(INITIAL.voters, (D,))
    group.run(2 * CHECK_PERIOD_S)
    assert group.membership == Membership((A, B, D))


def test_a_voter_that_answers_is_not_lost_although_its_address_has_another_name() -> None:
    """The table of nodes may be stale, or the request to join delayed."""
    group = PlannedGroupStandIn(
        Membership(INITIAL.voters, (D,)), (A, B, C, C_NEW, D), spare_learners=ALL_SPARES
    )
    group.run(10.0, joining=(C_NEW, D))
    assert group.membership.voters == INITIAL.voters


@each_spare_count
def test_a_lagging_learner_does_not_become_a_voter(spares: int) -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, D), spare_learners=spares)
    group.lagging.add(D)
    group.run(5.0, joining=(D,))
    assert group.membership == Membership(INITIAL.voters, (D,))
    group.lagging.clear()
    group.run(1.0)
    assert group.membership == Membership((A, B, D))


def test_a_learner_needs_the_entries_committed_at_the_previous_check() -> None:
    """Under load the newest entries are always in flight, but those of the previous check are replicated."""
    lag = 20

    class LaggingLearnerGroup(PlannedGroupStandIn):
        """Commits ten entries per check; the learner D lags by `lag` entries."""

        def match(self, member: str) -> int:
            return self.commit_index - lag if member == D else self.commit_index

    group = LaggingLearnerGroup(INITIAL, (A, B, D))
    group.joining = [D]

    def check() -> Membership | None:
        group.commit_index += 10
        group.now += CHECK_PERIOD_S
        change = group.planner.plan(group.now, group, group.candidates())
        group.membership = change or group.membership
        return change

    for _ in range(20):
        check()
    assert group.membership == Membership(INITIAL.voters, (D,))
    lag = 10
    assert check() == Membership((A, B), (D,))


def test_voters_are_added_up_to_the_wanted_number() -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C, D, F, G), tolerated=2, spare_learners=ALL_SPARES)
    group.run(4.0, joining=(D, F, G))
    assert len(group.membership.voters) == 5
    assert len(group.membership.learners) == 1


@each_spare_count
def test_a_learner_that_lost_its_disk_is_removed(spares: int) -> None:
    group = PlannedGroupStandIn(Membership((A, B), (C,)), (A, B, C_NEW), spare_learners=spares)
    changes = group.run(3 * CHECK_PERIOD_S, joining=(C_NEW,))
    if not spares:
        assert changes[0] == Membership((A, B))
    assert group.membership == Membership((A, B, C_NEW))


def test_a_spare_that_lost_its_disk_is_replaced_and_an_unresponsive_one_removed() -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C, "10.0.0.4#x"), spare_learners=ALL_SPARES)
    group.run(0.5, joining=("10.0.0.4#x",))
    group.alive ^= {"10.0.0.4#x", "10.0.0.4#y"}
    group.run(1.0, joining=("10.0.0.4#y",))
    assert group.membership.learners == ("10.0.0.4#y",)
    group.alive.discard("10.0.0.4#y")
    group.run(15.0)
    assert group.membership == INITIAL


def test_an_unresponsive_learner_does_not_delay_a_replacement() -> None:
    """A store that the leader cannot reach may be in the table of nodes; another store replaces the voter."""
    group = PlannedGroupStandIn(INITIAL, (A, B, D, F))
    group.run(VOTER_TIMEOUT_S + CHECK_PERIOD_S, joining=(D, F))
    group.alive.discard(D)
    group.membership = Membership(INITIAL.voters, (D,))
    group.alive.add(F)
    group.run(3 * VOTER_TIMEOUT_S)
    assert group.membership == Membership((A, B, F))


@each_spare_count
def test_a_leader_that_was_paused_replaces_no_voter(spares: int) -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C, D), spare_learners=spares)
    group.run(2.0, joining=(D,))
    group.alive -= {B, C}
    group.now += 30.0
    group.run(CHECK_PERIOD_S)
    group.alive |= {B, C}
    group.run(2.0)
    assert group.membership.voters == INITIAL.voters


def test_a_new_leader_continues_with_the_learner_of_its_predecessor() -> None:
    """The learner with the copy is kept while the new leader does not know whether a voter is lost."""
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D,)), (A, B, D))
    assert group.run(10.0, joining=(D,)) == [Membership((A, B), (D,)), Membership((A, B, D))]


def test_a_voter_that_returns_keeps_its_vote_and_the_learner_is_removed() -> None:
    group = PlannedGroupStandIn(Membership(INITIAL.voters, (D,)), (A, B, C, D))
    assert group.run(10.0, joining=(D,)) == [INITIAL]


@each_spare_count
def test_a_decommissioned_voter_is_removed_after_its_successor_votes(spares: int) -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C, D), spare_learners=spares)
    group.decommissioning = {C}
    assert group.run(10.0, joining=(C, D)) == [
        Membership(INITIAL.voters, (D,)),
        Membership((*INITIAL.voters, D)),
        Membership((A, B, D)),
    ]


def test_a_decommissioned_voter_stays_while_no_member_can_replace_it() -> None:
    group = PlannedGroupStandIn(INITIAL, (A, B, C))
    group.decommissioning = {C}
    assert group.run(10.0, joining=(C,)) == []


def test_a_decommissioned_voter_stays_until_the_others_have_caught_up() -> None:
    """It may be the only caught-up voter besides the leader."""
    group = PlannedGroupStandIn(Membership((A, B, C, D)), (A, B, C, D))
    group.decommissioning = {C}
    group.lagging = {B}
    assert group.run(10.0) == []
    group.lagging.clear()
    assert group.run(1.0) == [Membership((A, B, D))]


def test_a_decommissioned_leader_is_removed_last() -> None:
    group = PlannedGroupStandIn(Membership((A, B, C, D, F)), (A, B, C, D, F))
    group.decommissioning = {A, C}
    assert group.run(1.0) == [Membership((A, B, D, F)), Membership((B, D, F))]


def test_a_surplus_voter_is_removed_but_not_the_leader() -> None:
    group = PlannedGroupStandIn(Membership((A, B, C, D)), (A, B, C, D))
    assert group.run(10.0) == [INITIAL]


def test_a_lost_surplus_voter_is_removed_without_a_successor() -> None:
    group = PlannedGroupStandIn(Membership((A, B, C, D)), (A, B, C))
    group.decommissioning = {C}
    assert group.run(10.0) == [Membership((A, B, C))]


@each_spare_count
def test_two_lost_voters_of_five_are_replaced_one_after_the_other(spares: int) -> None:
    group = PlannedGroupStandIn(
        Membership((A, B, C, D, E), (F, G)), (A, B, C, F, G), tolerated=2, spare_learners=spares
    )
    changes = group.run(10.0, joining=(F, G))
    assert set(changes[-1].voters) == {A, B, C, F, G}
    assert changes[-1].learners == ()
    assert [len(change.voters) for change in changes] == [4, 5, 4, 5]


# All combinations of member states, run until no change is due


def all_groups(
    tolerated: int,
    planner_class: type[MembershipPlanner] = MembershipPlanner,
    voter_states: tuple[VoterState, ...] = (VoterState.HEALTHY, VoterState.LOST, VoterState.DECOMMISSIONED),
    spare_learners: int = 0,
) -> list[PlannedGroupStandIn]:
    """Returns a group for each combination of voter states in `voter_states` and of learner states.

    At most `tolerated` voters are lost and at most one is decommissioned; the leader, the first voter, is
    neither lost nor departing.
    """
    voters = [A, B, C, D, E][: 2 * tolerated + 1]
    spares = [F, G][:tolerated]
    groups = []
    for states in itertools.product(voter_states, repeat=len(voters)):
        if (
            states[0] in (VoterState.LOST, VoterState.DEPARTING)
            or states.count(VoterState.LOST) > tolerated
            or states.count(VoterState.DECOMMISSIONED) > 1
        ):
            continue
        for learners in itertools.product(LearnerState, repeat=len(spares)):
            group = PlannedGroupStandIn(
                Membership(tuple(voters)),
                tolerated=tolerated,
                spare_learners=spare_learners,
                planner_class=planner_class,
            )
            pairs = list(zip([*voters, *spares], [*states, *learners], strict=True))
            group.alive = {
                member for member, state in pairs if state not in (VoterState.LOST, LearnerState.LOST)
            }
            group.lagging = {member for member, state in pairs if state is LearnerState.BEHIND}
            group.decommissioning = {member for member, state in pairs if state is VoterState.DECOMMISSIONED}
            group.departing = {member for member, state in pairs if state is VoterState.DEPARTING}
            group.joining = spares
            groups.append(group)
    return groups


def find_violation(group: PlannedGroupStandIn, tolerated: int) -> str:
    """Returns a description of the first rule that the planner's changes break; empty if they break none."""
    before = group.membership
    for after in group.run(15.0):
        tolerable = group.tolerated_losses(before)
        if group.tolerated_losses(after) < min(tolerable, tolerated - lost_voter_count(group, before)):
            return f"{before} tolerates {tolerable} losses, {after} {group.tolerated_losses(after)}"
        if majority(after) <= tolerated:
            return f"a majority of {after} is {majority(after)} disks"
        before = after
    if len(before.voters) < 2 * tolerated + 1:
        return f"too few voters in the final membership {before}: a lost voter was removed and not replaced"
    return ""


def lost_voter_count(group: PlannedGroupStandIn, membership: Membership) -> int:
    return len([voter for voter in membership.voters if voter not in group.alive])


@pytest.mark.parametrize("spares", [0, 1, 2])
@pytest.mark.parametrize("tolerated", [1, 2])
def test_no_change_lowers_how_many_losses_are_tolerated(tolerated: int, spares: int) -> None:
    groups = all_groups(tolerated, spare_learners=spares)
    assert len(groups) > 20
    assert [violation for group in groups if (violation := find_violation(group, tolerated))] == []


@pytest.mark.parametrize("spares", [0, 1, 2])
@pytest.mark.parametrize("tolerated", [1, 2])
def test_the_group_is_complete_if_enough_members_are_ready(tolerated: int, spares: int) -> None:
    for group in all_groups(tolerated, spare_learners=spares):
        group.joining = [member for member in group.joining if group.match(member)]
        group.run(15.0)
        healthy = [voter for voter in group.membership.voters if voter in group.alive - group.decommissioning]
        possible = [A, B, C, D, E][: 2 * tolerated + 1]
        ready = [member for member in (*possible, *group.joining) if group.match(member)]
        staying = [member for member in ready if member not in group.decommissioning]
        assert len(healthy) == min(2 * tolerated + 1, len(staying))
