"""Plans the members of a replicated group at its leader, one change at a time and without I/O.

The leader keeps 2f + 1 healthy voters. A voter that is decommissioned keeps its vote until its successor has
one. New members join as learners and vote once they have what is committed. `membership_view` says who is
lost.

The steps are ordered so that no change lowers how many more voters the group can lose:

- A lost voter goes only when a learner is ready to take its place, or when it is one too many. Lost voters
  are replaced one after the other, so that a majority never is fewer than f + 1 disks.
- A learner votes once it has all that was committed at the check before.
- Some learners are kept though no voter is missing, so that a copy of the state is there before a loss or a
  planned stop. While a voter is missing only as many copies are made as there are voters missing: they share
  the leader's link.
- A learner that is not needed is kept while a voter does not answer, or may not: a new leader goes on with
  the copy that the one before began.
- A decommissioned voter goes last, once the wanted number of healthy voters has all that was committed.
- A voter that announced its departure goes the same way while it lives. It comes back, as a rule: where no
  learner is ready to take its place it stays, and is lost as soon as it answers no more.
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

MAX_CHANGES_PER_CHECK = 4  # a removal, a promotion, and some more; the next check follows soon
ALL_SPARES = sys.maxsize  # whoever may join is a learner: for groups with little state
LEARNER_RETRY_DELAY_S = 10.0  # a learner that was dropped for not answering is the last choice for so long


class MembershipPlanner:
    """Finds the next change of members, if one is due. `start` it with each leadership."""

    def __init__(
        self, own_member: str, tolerated_machines: int, catch_up_s: float, spare_learners: int
    ) -> None:
        """Keeps up to `spare_learners` beside the voters, or `ALL_SPARES`."""
        self._own_member = own_member
        self._wanted_voters = voters_needed(tolerated_machines)
        self._spare_learners = spare_learners
        self._observer = MembershipObserver(own_member, catch_up_s)
        self._dropped_at: dict[str, float] = {}  # learners that were removed

    def start(self, now: float, group: PlannedGroup) -> None:
        """Begins a leadership: every member gets its full time to answer."""
        self._observer.start(now, group)

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        """Returns the membership after the next change, or None where none is due."""
        view = self._observer.observe(now, group, candidates)
        return self._next_change(now, view, candidates) if view is not None else None

    def _next_change(self, now: float, view: MembershipView, candidates: Candidates) -> Membership | None:
        removable = view.removable_learners
        if removable:
            self._dropped_at[removable[0]] = now
            return without_member(view.membership, removable[0])
        missing = self._wanted_voters - len(view.healthy_voters)
        if missing <= 0:
            return self._remove_surplus(view) or self._add_spare(now, view, candidates)
        return self._replace_voter(view) or self._add_successor(now, view, candidates, missing)

    def _replace_voter(self, view: MembershipView) -> Membership | None:
        """Healthy voters are missing: takes lost ones away, and makes voters of learners that are ready."""
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
        """There are enough healthy voters: takes away what is left over, this leader last."""
        membership = view.membership
        if view.lost_voters:
            return without_member(membership, view.lost_voters[0])
        healthy = view.healthy_voters
        outgoing = [voter for voter in membership.voters if voter in view.outgoing]
        if outgoing:
            is_safe = len([voter for voter in healthy if voter in view.caught_up]) >= self._wanted_voters
            outgoing.sort(key=lambda voter: voter == self._own_member)
            return without_member(membership, outgoing[0]) if is_safe else None
        if len(membership.learners) > self._spare_learners and view.all_voters_answer:
            return without_member(membership, membership.learners[-1])
        if len(healthy) > self._wanted_voters:
            surplus = [voter for voter in healthy if voter != self._own_member]
            return without_member(membership, surplus[-1])
        return None

    def _add_spare(self, now: float, view: MembershipView, candidates: Candidates) -> Membership | None:
        """Lets a learner join that is kept at hand; one that does not answer counts until it is given up."""
        if len(view.membership.learners) >= self._spare_learners:
            return None
        return self._add_learner(now, view, candidates)

    def _add_successor(
        self, now: float, view: MembershipView, candidates: Candidates, missing: int
    ) -> Membership | None:
        """Lets a learner join for a missing voter, unless enough are there that answer."""
        if len(view.reachable_learners) >= missing and self._spare_learners != ALL_SPARES:
            return None
        return self._add_learner(now, view, candidates)

    def _add_learner(self, now: float, view: MembershipView, candidates: Candidates) -> Membership | None:
        membership = view.membership
        excluded = {*all_members(membership), *candidates.decommissioning}
        joining = [member for member in candidates.joining if member not in excluded]
        if not joining:
            return None
        chosen = min(joining, key=lambda member: self._was_dropped_lately(member, now))
        return Membership(membership.voters, (*membership.learners, chosen))

    def _was_dropped_lately(self, member: str, now: float) -> bool:
        """Whether the member was a learner not long ago, and did not answer."""
        dropped_at = self._dropped_at.get(member)
        return dropped_at is not None and now - dropped_at < LEARNER_RETRY_DELAY_S
