"""Planners that each break one rule: the checks over all combinations of member states must detect each."""

import pytest

from pewterring.consensus.membership_planner import MembershipPlanner
from pewterring.consensus.membership_view import Candidates, PlannedGroup
from pewterring.consensus.messages import Membership
from tests.consensus.test_membership_planner import all_groups, find_violation


class _AppearsCaughtUp:
    """A group in which every member appears to have caught up."""

    def __init__(self, group: PlannedGroup) -> None:
        self._group = group
        self.membership = group.membership
        self.commit_index = group.commit_index

    def match(self, _member: str) -> int:
        return self.commit_index

    def seconds_since_contact(self, member: str, now: float) -> float:
        return self._group.seconds_since_contact(member, now)

    def is_departing(self, member: str) -> bool:
        return self._group.is_departing(member)


class PromotesWithoutCatchUp(MembershipPlanner):
    """Promotes a learner before it has all committed entries."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        return super().plan(now, _AppearsCaughtUp(group), candidates)


class CountsLearnersAsVoters(MembershipPlanner):
    """Removes a decommissioned voter although its successor is still a learner."""

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


class RemovesWithoutSuccessor(MembershipPlanner):
    """Removes a lost voter before a learner is ready to replace it."""

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        change = super().plan(now, group, candidates)
        membership = group.membership
        lost = [
            voter
            for voter in membership.voters
            if group.seconds_since_contact(voter, now) >= self._observer.lost_voter_s
        ]
        if change is None and lost:
            return Membership(
                tuple(voter for voter in membership.voters if voter != lost[0]), membership.learners
            )
        return change


class RemovesAllLostBeforePromoting(MembershipPlanner):
    """Removes all lost voters before it promotes a learner, so that of five voters three are left.

    A majority of these is only two disks.
    """

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        change = super().plan(now, group, candidates)
        membership = group.membership
        lost = [
            voter
            for voter in membership.voters
            if group.seconds_since_contact(voter, now) >= self._observer.lost_voter_s
        ]
        if change is not None and lost and len(change.voters) > len(membership.voters):
            return Membership(
                tuple(voter for voter in membership.voters if voter != lost[0]), membership.learners
            )
        return change


BREAKAGES = [
    (PromotesWithoutCatchUp, 1),
    (CountsLearnersAsVoters, 1),
    (RemovesWithoutSuccessor, 1),
    (RemovesAllLostBeforePromoting, 2),
]


@pytest.mark.parametrize(("planner_class", "tolerated"), BREAKAGES)
def test_a_broken_planner_is_detected(planner_class: type[MembershipPlanner], tolerated: int) -> None:
    groups = all_groups(tolerated, planner_class)
    assert any(find_violation(group, tolerated) for group in groups)


def test_the_correct_planner_breaks_no_rule() -> None:
    for tolerated in (1, 2):
        assert not any(find_violation(group, tolerated) for group in all_groups(tolerated))
