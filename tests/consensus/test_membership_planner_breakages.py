"""Planners that break one rule each: the sweep over all states of a group must catch every one of them."""

import pytest

from pewterring.consensus.membership_planner import MembershipPlanner
from pewterring.consensus.membership_view import Candidates, PlannedGroup
from pewterring.consensus.messages import Membership
from tests.consensus.test_membership_planner import breaks_a_rule, every_group


class _Flattering:
    """A group whose learners seem to hold all."""

    def __init__(self, group: PlannedGroup) -> None:
        self._group = group
        self.membership = group.membership
        self.commit_index = group.commit_index

    def match(self, member: str) -> int:
        return self.commit_index

    def seconds_since_contact(self, member: str, now: float) -> float:
        return self._group.seconds_since_contact(member, now)

    def is_departing(self, member: str) -> bool:
        return self._group.is_departing(member)


class PromotesWithoutCatchUp(MembershipPlanner):
    """A learner votes before it holds what is committed."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        return super().plan(now, _Flattering(group), candidates)


class CountsLearners(MembershipPlanner):
    """A learner that answers counts as a voter: one that retires leaves in its favour."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        change = super().plan(now, group, candidates)
        membership = group.membership
        decommissioning = [voter for voter in membership.voters if voter in candidates.decommissioning]
        if (
            change is None
            and membership.learners
            and decommissioning
            and decommissioning[0] != self._own_member
        ):
            staying = tuple(voter for voter in membership.voters if voter != decommissioning[0])
            return Membership(staying, membership.learners)
        return change


class RemovesAtOnce(MembershipPlanner):
    """A lost voter goes before anybody can take its place."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        change = super().plan(now, group, candidates)
        membership = group.membership
        silent = [
            voter
            for voter in membership.voters
            if group.seconds_since_contact(voter, now) >= self._observer.lost_voter_s
        ]
        if change is None and silent:
            return Membership(
                tuple(voter for voter in membership.voters if voter != silent[0]), membership.learners
            )
        return change


class RemovesAllLostFirst(MembershipPlanner):
    """Takes away every lost voter before it promotes: a majority of three acknowledges for five."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        change = super().plan(now, group, candidates)
        membership = group.membership
        silent = [
            voter
            for voter in membership.voters
            if group.seconds_since_contact(voter, now) >= self._observer.lost_voter_s
        ]
        if change is not None and silent and len(change.voters) > len(membership.voters):
            return Membership(
                tuple(voter for voter in membership.voters if voter != silent[0]), membership.learners
            )
        return change


BREAKAGES = [
    (PromotesWithoutCatchUp, 1),
    (CountsLearners, 1),
    (RemovesAtOnce, 1),
    (RemovesAllLostFirst, 2),
]


@pytest.mark.parametrize(("planner_class", "tolerated"), BREAKAGES)
def test_a_broken_planner_is_caught(planner_class: type[MembershipPlanner], tolerated: int) -> None:
    groups = every_group(tolerated, planner_class)
    assert any(breaks_a_rule(group, tolerated) for group in groups)


def test_the_planner_itself_is_not() -> None:
    for tolerated in (1, 2):
        assert not any(breaks_a_rule(group, tolerated) for group in every_group(tolerated))
