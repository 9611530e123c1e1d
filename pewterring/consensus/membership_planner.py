"""Plans membership changes of a replicated group at its leader, one change at a time and without I/O.

The planner keeps 2f + 1 healthy voters, where f is the number of machines whose loss the group tolerates. New
members join as learners and become voters once they have caught up. A decommissioned voter keeps its vote
until its successor is a voter. `membership_view` decides which members count as lost.

The changes are ordered so that none lowers the number of further voters that the group can lose:

- A lost voter is removed only when a learner is ready to replace it, or when there are more than 2f + 1
  voters. Lost voters are replaced one after the other, so that a majority is never fewer than f + 1 disks.
- A learner becomes a voter once it has all entries that were committed at the previous check.
- Spare learners are kept while no voter is missing, so that a copy of the state exists before a loss or a
  planned stop. While voters are missing, no more learners receive a copy than voters are missing, because all
  copies share the leader's network link.
- A surplus learner is kept until all voters have answered this leader recently, so that a new leader goes on
  with the copy that its predecessor began.
- A decommissioned voter is removed last, once 2f + 1 healthy voters have all committed entries.
- A voter that announced its departure is removed in the same way while its process runs. The process usually
  restarts, so the voter stays while no learner is ready to replace it, and counts as lost as soon as it stops
  answering.
"""

import sys

from pewterring.consensus.membership import all_members, voters_needed, with_voter, without_member
from pewterring.consensus.membership_view import (
    Candidates,
    MembershipObserver,
    MembershipView,
    PlannedGroup,
)
from pewterring.consensus.messages import Membership

MAX_CHANGES_PER_CHECK = 4  # enough for a replacement, which takes a removal and a promotion
ALL_SPARES = sys.maxsize  # every member that may join becomes a learner: for groups with little state
LEARNER_RETRY_DELAY_S = 10.0  # an unresponsive learner that was removed is chosen last for this long


class MembershipPlanner:
    """Finds the next membership change that is due. The leader calls `start` at each new leadership."""

    def __init__(
        self, own_member: str, tolerated_machines: int, catch_up_s: float, spare_learners: int
    ) -> None:
        """Creates the planner of the leader `own_member`.

        Args:
            own_member: name of this member.
            tolerated_machines: number of machines whose loss the group tolerates.
            catch_up_s: bound on the time that a member may take to catch up, in seconds.
            spare_learners: most learners to keep while no voter is missing; or `ALL_SPARES`.
        """
        self._own_member = own_member
        self._wanted_voters = voters_needed(tolerated_machines)
        self._spare_learners = spare_learners
        self._observer = MembershipObserver(own_member, catch_up_s)
        self._removed_at: dict[str, float] = {}  # removal times of learners, by member

    def start(self, now: float, group: PlannedGroup) -> None:
        """Begins a leadership: the time without an answer counts from `now` for every member."""
        self._observer.start(now, group)

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        """Returns the membership after the next change; None if no change is due."""
        view = self._observer.observe(now, group, candidates)
        return self._next_change(now, view, candidates) if view is not None else None

    def _next_change(self, now: float, view: MembershipView, candidates: Candidates) -> Membership | None:
        removable = view.removable_learners
        if removable:
            self._removed_at[removable[0]] = now
            return without_member(view.membership, removable[0])
        missing = self._wanted_voters - len(view.healthy_voters)
        if missing <= 0:
            return self._remove_surplus(view) or self._add_spare(now, view, candidates)
        return self._replace_voter(view) or self._add_successor(now, view, candidates, missing)

    def _replace_voter(self, view: MembershipView) -> Membership | None:
        """While voters are missing: removes a lost or departing voter, or promotes a ready learner."""
        membership = view.membership
        ready = view.ready_learners
        surplus = len(membership.voters) - self._wanted_voters
        if view.lost_voters and (surplus > 0 or (surplus == 0 and ready)):
            return without_member(membership, view.lost_voters[0])
        replaceable = view.replaceable_voters(self._wanted_voters)
        if replaceable:
            return without_member(membership, replaceable[0])
        if ready:
            return with_voter(membership, ready[0])
        return None

    def _remove_surplus(self, view: MembershipView) -> Membership | None:
        """While enough voters are healthy: removes a member that is not needed, this leader last."""
        membership = view.membership
        if view.lost_voters:
            return without_member(membership, view.lost_voters[0])
        healthy = view.healthy_voters
        outgoing = [voter for voter in membership.voters if voter in view.outgoing]
        if outgoing:
            enough_caught_up = (
                len([voter for voter in healthy if voter in view.caught_up]) >= self._wanted_voters
            )
            outgoing.sort(key=lambda voter: voter == self._own_member)
            return without_member(membership, outgoing[0]) if enough_caught_up else None
        if len(membership.learners) > self._spare_learners and view.all_voters_answer:
            return without_member(membership, membership.learners[-1])
        if len(healthy) > self._wanted_voters:
            surplus = [voter for voter in healthy if voter != self._own_member]
            return without_member(membership, surplus[-1])
        return None

    def _add_spare(self, now: float, view: MembershipView, candidates: Candidates) -> Membership | None:
        """Adds a spare learner; an unresponsive one counts as a spare until it is removed."""
        if len(view.membership.learners) >= self._spare_learners:
            return None
        return self._add_learner(now, view, candidates)

    def _add_successor(
        self, now: float, view: MembershipView, candidates: Candidates, missing: int
    ) -> Membership | None:
        """Adds a learner to replace a missing voter, unless enough learners answer."""
        if len(view.reachable_learners) >= missing and self._spare_learners != ALL_SPARES:
            return None
        return self._add_learner(now, view, candidates)

    def _add_learner(self, now: float, view: MembershipView, candidates: Candidates) -> Membership | None:
        membership = view.membership
        excluded = {*all_members(membership), *candidates.decommissioning}
        joining = [member for member in candidates.joining if member not in excluded]
        if not joining:
            return None
        chosen = min(joining, key=lambda member: self._was_removed_recently(member, now))
        return Membership(membership.voters, (*membership.learners, chosen))

    def _was_removed_recently(self, member: str, now: float) -> bool:
        """Whether the member was removed as an unresponsive learner within `LEARNER_RETRY_DELAY_S`."""
        removed_at = self._removed_at.get(member)
        return removed_at is not None and now - removed_at < LEARNER_RETRY_DELAY_S
