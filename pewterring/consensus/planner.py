"""Plans the members of a replicated group at its leader, one change at a time and without I/O.

The leader keeps 2f + 1 good voters. A voter is lost once it has been silent for a part of the bound on
catching up, or once its address is in use under another name, which means that its disk was lost. A voter
that is asked to leave (`retiring`) keeps its vote until its successor has one. New members join as learners
and vote once they hold what is committed.

The steps are ordered so that no change lowers how many more voters the group can lose:

- A lost voter goes only when a learner is ready to take its place, or when it is one too many. Lost voters
  are replaced one after the other, so that a majority never is fewer than f + 1 disks.
- A learner votes once it holds all that was committed at the check before.
- A learner that is not needed is kept while a voter is silent, or may be: a new leader goes on with the copy
  that the one before began.
- A retiring voter goes last, once the wanted number of good voters holds all that was committed.
- A voter that said its farewell goes the same way while it lives. It comes back, as a rule: where no learner
  is ready to take its place it stays, and is lost as soon as it is silent.
"""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from typing import Protocol

from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import Membership
from pewterring.durations import PAUSE_THRESHOLD_S

LOST_PART = 0.25  # of the bound on catching up: a quarter to notice a loss, a quarter to copy the state
ANSWERS_S = 0.3  # a voter that answered so lately lives, whatever tables say of its address
LEARNER_PART = 0.5  # of the same bound; a learner that takes over a large snapshot may not answer for a while
CHANGES_A_CHECK = 4  # made one after the other before the next check: a removal, a promotion, and some more
RETRY_LEARNER_S = 10.0  # a learner that was dropped for its silence is the last choice for so long


class PlannedGroup(Protocol):
    """What the planner asks of a group's leader."""

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        ...

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        ...

    def match(self, member: str) -> int:
        """Up to which index the member is known to have the log on disk."""
        ...

    def silent_s(self, member: str, now: float) -> float:
        """For how long the member has answered no heartbeat of this leadership."""
        ...

    def is_leaving(self, member: str) -> bool:
        """Whether the member's process has said that it is about to end."""
        ...


@dataclass(frozen=True, slots=True)
class Candidates:
    """Who may be a member, as the group's surroundings have it."""

    joining: Sequence[str] = ()  # members that may join, best first
    newest: Mapping[str, str] = field(default_factory=dict)  # address -> the name in use there now
    retiring: Set[str] = frozenset()  # members that are to leave


class MembershipPlanner:
    """Finds the next change of members, if one is due. `start` it with each leadership."""

    def __init__(
        self, own_member: str, tolerated_machines: int, catch_up_s: float, keeps_spares: bool
    ) -> None:
        """With `keeps_spares` whoever may join is a learner, needed or not: for groups with little state."""
        self._own_member = own_member
        self._wanted_voters = voters_needed(tolerated_machines)
        self._lost_s = LOST_PART * catch_up_s
        self._learner_lost_s = LEARNER_PART * catch_up_s
        self._keeps_spares = keeps_spares
        self._started_at = 0.0
        self._planned_at = 0.0
        self._committed_before = 0
        self._watched_since: dict[str, float] = {}
        self._dropped_at: dict[str, float] = {}

    def start(self, now: float, group: PlannedGroup) -> None:
        """Begins a leadership, or begins anew: every member gets its whole time."""
        self._started_at = now
        self._planned_at = now
        self._committed_before = group.commit_index
        self._watched_since = dict.fromkeys(_members(group.membership), now)

    def plan(self, now: float, group: PlannedGroup, candidates: Candidates) -> Membership | None:
        """The next change, or None.

        After a pause in which this process could hear nobody, every member gets its whole time anew.
        """
        if now - self._planned_at > PAUSE_THRESHOLD_S:
            self.start(now, group)
            return None
        self._planned_at = now
        view = self._observe(now, group, candidates)
        self._committed_before = group.commit_index
        return self._next_change(now, view, candidates)

    def _observe(self, now: float, group: PlannedGroup, candidates: Candidates) -> "_View":
        members = _members(group.membership)
        self._watched_since = {member: self._watched_since.get(member, now) for member in members}
        silent_s = {
            member: min(group.silent_s(member, now), now - since)
            for member, since in self._watched_since.items()
        }
        silent_s[self._own_member] = 0.0
        renamed = {member for member in members if self._is_renamed(member, silent_s[member], candidates)}
        leaving = {member for member in members if group.is_leaving(member)}
        ended = {member for member in leaving if silent_s[member] >= ANSWERS_S}
        lost = renamed | ended | {member for member in members if silent_s[member] >= self._lost_s}
        gone = renamed | {member for member in members if silent_s[member] >= self._learner_lost_s}
        holders = {member for member in members if group.match(member) >= self._committed_before}
        all_answer = now - self._started_at >= ANSWERS_S and all(
            silent_s[voter] < ANSWERS_S for voter in group.membership.voters
        )
        retiring = candidates.retiring
        return _View(group.membership, silent_s, lost, gone, holders, retiring, leaving, all_answer)

    def _is_renamed(self, member: str, silent_s: float, candidates: Candidates) -> bool:
        """Whether the member's address is in use under another name: its disk was lost."""
        newest = candidates.newest.get(address_of(member), member)
        return newest != member and member != self._own_member and silent_s >= ANSWERS_S

    def _next_change(self, now: float, view: "_View", candidates: Candidates) -> Membership | None:
        useless = view.useless_learners
        if useless:
            self._dropped_at[useless[0]] = now
            return _without(view.membership, useless[0])
        missing = self._wanted_voters - len(view.good_voters)
        if missing <= 0:
            return self._reduce(view) or self._with_spare(now, view, candidates)
        return self._replace(view) or self._with_learner(now, view, candidates, missing)

    def _replace(self, view: "_View") -> Membership | None:
        """Good voters are missing: takes lost ones away, and makes voters of learners that are ready."""
        membership = view.membership
        ready = view.ready_learners
        surplus = len(membership.voters) - self._wanted_voters
        if view.lost_voters and (surplus > 0 or (surplus == 0 and ready)):
            return _without(membership, view.lost_voters[0])
        leaving = view.replaced_voters(self._wanted_voters)
        if leaving:
            return _without(membership, leaving[0])
        if ready:
            return _promoted(membership, ready[0])
        return None

    def _reduce(self, view: "_View") -> Membership | None:
        """There are enough good voters: takes away what is left over, this leader last."""
        membership = view.membership
        if view.lost_voters:
            return _without(membership, view.lost_voters[0])
        good = view.good_voters
        retiring = [voter for voter in membership.voters if voter in view.retiring | view.leaving]
        if retiring:
            enough = len([voter for voter in good if voter in view.holders]) >= self._wanted_voters
            retiring.sort(key=lambda voter: voter == self._own_member)
            return _without(membership, retiring[0]) if enough else None
        if membership.learners and view.all_answer and not self._keeps_spares:
            return _without(membership, membership.learners[-1])
        if len(good) > self._wanted_voters:
            surplus = [voter for voter in good if voter != self._own_member]
            return _without(membership, surplus[-1])
        return None

    def _with_spare(self, now: float, view: "_View", candidates: Candidates) -> Membership | None:
        return self._with_learner(now, view, candidates, 0) if self._keeps_spares else None

    def _with_learner(
        self, now: float, view: "_View", candidates: Candidates, missing: int
    ) -> Membership | None:
        """Lets another learner join, where fewer than the missing ones are there or spares are kept."""
        membership = view.membership
        if not self._keeps_spares and len(view.live_learners) >= missing:
            return None
        away = {*_members(membership), *candidates.retiring}
        joining = [member for member in candidates.joining if member not in away]
        if not joining:
            return None
        chosen = min(joining, key=lambda member: self._was_silent(member, now))
        return Membership(membership.voters, (*membership.learners, chosen))

    def _was_silent(self, member: str, now: float) -> bool:
        """Whether the member was a learner not long ago, and did not answer."""
        dropped_at = self._dropped_at.get(member)
        return dropped_at is not None and now - dropped_at < RETRY_LEARNER_S


@dataclass(frozen=True, slots=True)
class _View:
    """What one check of the group showed."""

    membership: Membership
    silent_s: Mapping[str, float]
    lost: Set[str]
    gone: Set[str]  # so long that a learner is given up
    holders: Set[str]  # hold all that was committed at the check before
    retiring: Set[str]
    leaving: Set[str]  # said their farewell
    all_answer: bool  # every voter was heard just now, in this leadership

    @property
    def lost_voters(self) -> list[str]:
        """Lost voters, the one that was silent longest first."""
        lost = [voter for voter in self.membership.voters if voter in self.lost]
        return sorted(lost, key=lambda voter: -self.silent_s[voter])

    @property
    def good_voters(self) -> list[str]:
        """Voters that are there and may stay."""
        away = self.lost | self.retiring | self.leaving
        return [voter for voter in self.membership.voters if voter not in away]

    def replaced_voters(self, wanted: int) -> list[str]:
        """Leaving voters without which the wanted number of others, leaving or not, holds everything.

        Symptom answered: two leave at once and one learner is there. The first makes room for it at once,
        else the group would stay with a voter more than it can spare when the second ends as well.
        """
        holders = [voter for voter in self.membership.voters if voter in self.holders - self.lost]
        return [
            voter
            for voter in self.membership.voters
            if voter in self.leaving and len([other for other in holders if other != voter]) >= wanted
        ]

    @property
    def live_learners(self) -> list[str]:
        """Learners that answer, and do not leave themselves."""
        away = self.lost | self.leaving
        return [learner for learner in self.membership.learners if learner not in away]

    @property
    def ready_learners(self) -> list[str]:
        """Learners that may vote."""
        return [learner for learner in self.live_learners if learner in self.holders]

    @property
    def useless_learners(self) -> list[str]:
        """Learners that are given up or are to leave."""
        away = self.gone | self.retiring
        return [learner for learner in self.membership.learners if learner in away]


def voters_needed(tolerated_machines: int) -> int:
    """How many voters survive the loss of so many machines."""
    return 2 * tolerated_machines + 1


def _members(membership: Membership) -> tuple[str, ...]:
    return (*membership.voters, *membership.learners)


def _without(membership: Membership, member: str) -> Membership:
    return Membership(
        voters=tuple(voter for voter in membership.voters if voter != member),
        learners=tuple(learner for learner in membership.learners if learner != member),
    )


def _promoted(membership: Membership, learner: str) -> Membership:
    changed = _without(membership, learner)
    return Membership((*changed.voters, learner), changed.learners)
