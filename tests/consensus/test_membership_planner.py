"""How the members of a group change: of control, which keeps spares as learners, and of batch partitions."""

import itertools

import pytest

from pewterring.consensus.membership_planner import MembershipPlanner
from pewterring.consensus.membership_view import LOST_VOTER_FRACTION
from pewterring.consensus.messages import Membership
from tests.consensus.planned_group import CATCH_UP_S, STEP_S, PlannedGroupStandIn, majority

A, B, C, D, E = (f"10.0.0.{number}#seed" for number in range(1, 6))
F, G = "10.0.0.6#x", "10.0.0.7#x"
C_EMPTY = "10.0.0.3#new"
USUAL = Membership((A, B, C))
LOST_S = LOST_VOTER_FRACTION * CATCH_UP_S
both = pytest.mark.parametrize("spares", [False, True], ids=["batch", "control"])


@both
def test_nothing_changes_while_all_voters_are_good(spares: bool) -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C), keeps_spare_learners=spares)
    assert group.run(20.0) == []


def test_only_a_group_with_little_state_keeps_spares() -> None:
    batch = PlannedGroupStandIn(USUAL.voters, (A, B, C, D))
    assert batch.run(20.0, joining=(D,)) == []
    control = PlannedGroupStandIn(USUAL.voters, (A, B, C, D), keeps_spare_learners=True)
    assert control.run(20.0, joining=(D,)) == [Membership(USUAL.voters, (D,))]


@both
def test_a_silent_voter_stays_where_nobody_can_take_its_place(spares: bool) -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B), keeps_spare_learners=spares)
    assert group.run(20.0) == []


@both
def test_a_lost_disk_is_replaced_by_its_new_name_at_once(spares: bool) -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C_EMPTY), keeps_spare_learners=spares)
    group.behind.add(C_EMPTY)
    assert group.run(0.75, joining=(C_EMPTY,)) == [Membership(USUAL.voters, (C_EMPTY,))]
    group.behind.clear()
    group.run(STEP_S)
    assert group.membership == Membership((A, B, C_EMPTY))


@both
def test_the_lost_voter_is_removed_before_the_learner_votes(spares: bool) -> None:
    group = PlannedGroupStandIn(
        USUAL.voters, (A, B, C_EMPTY), learners=(C_EMPTY,), keeps_spare_learners=spares
    )
    assert group.run(1.0, joining=(C_EMPTY,)) == [
        Membership((A, B), (C_EMPTY,)),
        Membership((A, B, C_EMPTY)),
    ]


def test_a_silent_voter_is_lost_after_a_while_only() -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, D))
    group.behind.add(D)
    assert group.run(LOST_S, joining=(D,)) == []
    assert group.run(STEP_S) == [Membership(USUAL.voters, (D,))]


def test_a_new_machine_takes_the_place_of_a_silent_one_only() -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, D), keeps_spare_learners=True)
    group.run(5.0, joining=(D,))
    assert group.membership == Membership(USUAL.voters, (D,))
    group.alive.discard(C)
    group.run(LOST_S - STEP_S)
    assert group.membership == Membership(USUAL.voters, (D,))
    group.run(2 * STEP_S)
    assert group.membership == Membership((A, B, D))


def test_a_voter_that_answers_is_not_lost_whatever_is_told_of_its_address() -> None:
    """An old table, or a late wish to join."""
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, C_EMPTY, D), learners=(D,), keeps_spare_learners=True)
    group.run(10.0, joining=(C_EMPTY, D))
    assert group.membership.voters == USUAL.voters


@both
def test_a_learner_that_lags_does_not_become_a_voter(spares: bool) -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, D), keeps_spare_learners=spares)
    group.behind.add(D)
    group.run(5.0, joining=(D,))
    assert group.membership == Membership(USUAL.voters, (D,))
    group.behind.clear()
    group.run(1.0)
    assert group.membership == Membership((A, B, D))


def test_a_learner_holds_what_was_committed_at_the_look_before() -> None:
    """Under load the newest entry is always on its way; what is older than a look is not."""
    lag = 20

    class Loaded(PlannedGroupStandIn):
        """Commits ten entries a look; the learner has those up to `lag` entries before."""

        def match(self, member: str) -> int:
            return self.commit_index - lag if member == D else self.commit_index

    group = Loaded(USUAL.voters, (A, B, D))
    group.joining = [D]

    def look() -> Membership | None:
        group.commit_index += 10
        group.now += STEP_S
        change = group.planner.plan(group.now, group, group.candidates())
        group.membership = change or group.membership
        return change

    for _ in range(20):
        look()
    assert group.membership == Membership(USUAL.voters, (D,))
    lag = 10
    assert look() == Membership((A, B), (D,))


def test_voters_are_added_up_to_the_wanted_number() -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, D, F, G), tolerated=2, keeps_spare_learners=True)
    group.run(4.0, joining=(D, F, G))
    assert len(group.membership.voters) == 5
    assert len(group.membership.learners) == 1


@both
def test_a_learner_that_lost_its_disk_goes(spares: bool) -> None:
    group = PlannedGroupStandIn((A, B), (A, B, C_EMPTY), learners=(C,), keeps_spare_learners=spares)
    changes = group.run(3 * STEP_S, joining=(C_EMPTY,))
    if not spares:
        assert changes[0] == Membership((A, B))
    assert group.membership == Membership((A, B, C_EMPTY))


def test_a_spare_learner_that_lost_its_disk_is_replaced_and_a_silent_one_dropped() -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, "10.0.0.4#x"), keeps_spare_learners=True)
    group.run(0.5, joining=("10.0.0.4#x",))
    group.alive ^= {"10.0.0.4#x", "10.0.0.4#y"}
    group.run(1.0, joining=("10.0.0.4#y",))
    assert group.membership.learners == ("10.0.0.4#y",)
    group.alive.discard("10.0.0.4#y")
    group.run(15.0)
    assert group.membership == USUAL


def test_a_silent_learner_is_not_waited_for() -> None:
    """A store that the leader cannot reach is in the table; another one takes the place."""
    group = PlannedGroupStandIn(USUAL.voters, (A, B, D, F))
    group.run(LOST_S + STEP_S, joining=(D, F))
    group.alive.discard(D)
    group.membership = Membership(USUAL.voters, (D,))
    group.alive.add(F)
    group.run(3 * LOST_S)
    assert group.membership == Membership((A, B, F))


@both
def test_a_leader_that_was_held_up_replaces_nobody(spares: bool) -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, D), keeps_spare_learners=spares)
    group.run(2.0, joining=(D,))
    group.alive -= {B, C}
    group.now += 30.0
    group.run(STEP_S)
    group.alive |= {B, C}
    group.run(2.0)
    assert group.membership.voters == USUAL.voters


def test_a_new_leader_goes_on_with_the_learner_of_the_one_before() -> None:
    """The copy that was begun is not thrown away while it is not known whether a voter is lost."""
    group = PlannedGroupStandIn(USUAL.voters, (A, B, D), learners=(D,))
    assert group.run(10.0, joining=(D,)) == [Membership((A, B), (D,)), Membership((A, B, D))]


def test_a_voter_that_returns_keeps_its_place_and_the_learner_goes() -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, D), learners=(D,))
    assert group.run(10.0, joining=(D,)) == [USUAL]


@both
def test_a_retiring_voter_leaves_after_its_successor_votes(spares: bool) -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C, D), keeps_spare_learners=spares)
    group.decommissioning = {C}
    assert group.run(10.0, joining=(C, D)) == [
        Membership(USUAL.voters, (D,)),
        Membership((*USUAL.voters, D)),
        Membership((A, B, D)),
    ]


def test_a_retiring_voter_stays_while_nobody_can_take_its_place() -> None:
    group = PlannedGroupStandIn(USUAL.voters, (A, B, C))
    group.decommissioning = {C}
    assert group.run(10.0, joining=(C,)) == []


def test_a_retiring_voter_stays_until_the_others_hold_all() -> None:
    """It may be the only one that is up to date beside the leader."""
    group = PlannedGroupStandIn((A, B, C, D), (A, B, C, D))
    group.decommissioning = {C}
    group.behind = {B}
    assert group.run(10.0) == []
    group.behind.clear()
    assert group.run(1.0) == [Membership((A, B, D))]


def test_a_retiring_leader_leaves_last() -> None:
    group = PlannedGroupStandIn((A, B, C, D, F), (A, B, C, D, F))
    group.decommissioning = {A, C}
    assert group.run(1.0) == [Membership((A, B, D, F)), Membership((B, D, F))]


def test_a_surplus_voter_goes_but_not_the_leader() -> None:
    group = PlannedGroupStandIn((A, B, C, D), (A, B, C, D))
    assert group.run(10.0) == [USUAL]


def test_a_lost_voter_that_is_one_too_many_goes_without_a_successor() -> None:
    group = PlannedGroupStandIn((A, B, C, D), (A, B, C))
    group.decommissioning = {C}
    assert group.run(10.0) == [Membership((A, B, C))]


@both
def test_two_lost_voters_of_five_are_replaced_one_after_the_other(spares: bool) -> None:
    group = PlannedGroupStandIn(
        (A, B, C, D, E), (A, B, C, F, G), tolerated=2, learners=(F, G), keeps_spare_learners=spares
    )
    changes = group.run(10.0, joining=(F, G))
    assert set(changes[-1].voters) == {A, B, C, F, G}
    assert changes[-1].learners == ()
    assert [len(change.voters) for change in changes] == [4, 5, 4, 5]


# Every state of a group, followed until nothing is due


def every_group(
    tolerated: int,
    planner_class: type[MembershipPlanner] = MembershipPlanner,
    kinds: tuple[str, ...] = ("good", "lost", "retiring"),
) -> list[PlannedGroupStandIn]:
    """Each choice of up to f voters that are lost, one that retires, and any number of `kinds` besides that,
    with learners that are ready, lag or die.
    """
    voters = [A, B, C, D, E][: 2 * tolerated + 1]
    spares = [F, G][:tolerated]
    groups = []
    for states in itertools.product(kinds, repeat=len(voters)):
        if (
            states[0] in ("lost", "leaving")
            or states.count("lost") > tolerated
            or states.count("retiring") > 1
        ):
            continue
        for learners in itertools.product(("ready", "lags", "silent"), repeat=len(spares)):
            group = PlannedGroupStandIn(voters, tolerated=tolerated, planner_class=planner_class)
            pairs = list(zip([*voters, *spares], [*states, *learners], strict=True))
            group.alive = {member for member, state in pairs if state not in ("lost", "silent")}
            group.behind = {member for member, state in pairs if state == "lags"}
            group.decommissioning = {member for member, state in pairs if state == "retiring"}
            group.departing = {member for member, state in pairs if state == "leaving"}
            group.joining = spares
            groups.append(group)
    return groups


def breaks_a_rule(group: PlannedGroupStandIn, tolerated: int) -> str:
    """What is wrong with a change that the planner makes; nothing if all is well."""
    before = group.membership
    for after in group.run(15.0):
        borne = group.losses_borne(before)
        if group.losses_borne(after) < min(borne, tolerated - lost_of(group, before)):
            return f"{before} bears {borne} losses, {after} {group.losses_borne(after)}"
        if majority(after) <= tolerated:
            return f"a majority of {after} is {majority(after)} disks"
        before = after
    if len(before.voters) < 2 * tolerated + 1:
        return f"comes to rest with {before}: a lost voter that returns has no place"
    return ""


def lost_of(group: PlannedGroupStandIn, membership: Membership) -> int:
    return len([voter for voter in membership.voters if voter not in group.alive])


@pytest.mark.parametrize("tolerated", [1, 2])
def test_no_change_lowers_how_many_losses_are_borne(tolerated: int) -> None:
    groups = every_group(tolerated)
    assert len(groups) > 20
    assert [wrong for group in groups if (wrong := breaks_a_rule(group, tolerated))] == []


@pytest.mark.parametrize("tolerated", [1, 2])
def test_all_places_are_filled_where_enough_can_take_them(tolerated: int) -> None:
    for group in every_group(tolerated):
        group.joining = [member for member in group.joining if group.match(member)]
        group.run(15.0)
        good = [voter for voter in group.membership.voters if voter in group.alive - group.decommissioning]
        possible = [A, B, C, D, E][: 2 * tolerated + 1]
        ready = [member for member in (*possible, *group.joining) if group.match(member)]
        staying = [member for member in ready if member not in group.decommissioning]
        assert len(good) == min(2 * tolerated + 1, len(staying))
