"""A stand-in for the group of a leader, in which planned membership changes are committed at once."""

from collections.abc import Iterable

from pewterring.consensus.membership import address_of, check_change
from pewterring.consensus.membership_planner import MembershipPlanner
from pewterring.consensus.membership_view import Candidates
from pewterring.consensus.messages import Membership

CATCH_UP_S = 4.8
CHECK_PERIOD_S = 0.25


class PlannedGroupStandIn:
    """Applies the changes planned by the first voter, which is the leader.

    `alive` members answer and have caught up, except those in `lagging`.
    """

    def __init__(
        self,
        membership: Membership,
        alive: Iterable[str] = (),
        tolerated: int = 1,
        spare_learners: int = 0,
        planner_class: type[MembershipPlanner] = MembershipPlanner,
    ) -> None:
        self.now = 0.0
        self.membership = membership
        self.leader = self.membership.voters[0]
        self.alive = {self.leader, *alive}
        self.lagging: set[str] = set()
        self.joining: list[str] = []
        self.decommissioning: set[str] = set()
        self.departing: set[str] = set()
        self.commit_index = 100
        self.changes: list[Membership] = []
        self._last_contact_at: dict[str, float] = {}
        self.planner = planner_class(self.leader, tolerated, CATCH_UP_S, spare_learners)
        self.planner.start(self.now, self)

    # The interface that the planner reads

    def match(self, member: str) -> int:
        return 0 if member in self.lagging or member not in self.alive else self.commit_index

    def seconds_since_contact(self, member: str, now: float) -> float:
        return 0.0 if member in self.alive else now - self._last_contact_at.get(member, 0.0)

    def is_departing(self, member: str) -> bool:
        return member in self.departing

    def candidates(self) -> Candidates:
        joining = tuple(member for member in self.joining if member in self.alive)
        current_names = {address_of(member): member for member in joining}
        return Candidates(joining, current_names, frozenset(self.decommissioning))

    # Simulated time

    def run(self, seconds: float, joining: Iterable[str] = ()) -> list[Membership]:
        """Advances the time while `joining` members request to join; returns the changes that were made."""
        self.joining = list(joining) or self.joining
        before = len(self.changes)
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._apply_due_changes()
            self.now += CHECK_PERIOD_S
        return self.changes[before:]

    def _apply_due_changes(self) -> None:
        self._last_contact_at |= dict.fromkeys(self.alive, self.now)
        while (change := self.planner.plan(self.now, self, self.candidates())) is not None:
            check_change(self.membership, change)
            assert change != self.membership
            self.membership = change
            self.changes.append(change)
            assert len(self.changes) < 100, "the planner makes changes without end"

    # Tolerated losses

    def tolerated_losses(self, membership: Membership) -> int:
        """Returns how many caught-up voters there are beyond a majority; below 0 if there is no majority."""
        caught_up = [voter for voter in membership.voters if self.match(voter) >= self.commit_index]
        return len(caught_up) - majority(membership)


def majority(membership: Membership) -> int:
    return len(membership.voters) // 2 + 1
