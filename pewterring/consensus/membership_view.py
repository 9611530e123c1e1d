"""What one check of a group shows its leader: who is lost, who has caught up, who may join.

A voter is lost once it has answered nothing for a fraction of the bound on catching up, or once its address
is in use under another name, which means that its disk was lost. A voter that announced its departure is lost
as soon as it answers no more.
"""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from typing import Protocol

from pewterring.consensus.membership import address_of, all_members
from pewterring.consensus.messages import Membership
from pewterring.durations import PAUSE_THRESHOLD_S

LOST_VOTER_FRACTION = 0.25  # of the bound on catching up: a quarter to notice a loss, one to copy the state
RECENT_CONTACT_S = 0.3  # a voter that answered so lately lives, whatever tables say of its address
# Of the same bound: a learner that takes over a large snapshot may not answer for a while.
LOST_LEARNER_FRACTION = 0.5


class PlannedGroup(Protocol):
    """What is read of a group's leader."""

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        ...

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        ...

    def match(self, member: str) -> int:
        """Returns the last index that the member is known to have on disk."""
        ...

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Returns for how long the member has answered no heartbeat of this leadership."""
        ...

    def is_departing(self, member: str) -> bool:
        """Whether the member has announced that its process is about to end."""
        ...


@dataclass(frozen=True, slots=True)
class Candidates:
    """Who may be a member, as the group's surroundings have it."""

    joining: Sequence[str] = ()  # members that may join, best first
    current_names: Mapping[str, str] = field(default_factory=dict)  # address -> the name in use there now
    decommissioning: Set[str] = frozenset()  # members that are to leave for good


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipView:
    """One check of the group. The sets may hold voters and learners."""

    membership: Membership
    since_contact_s: Mapping[str, float]
    lost: Set[str]  # to be replaced, where they vote
    lost_as_learners: Set[str]  # to be given up, where they learn
    caught_up: Set[str]  # have on disk all that was committed at the check before
    decommissioning: Set[str]
    departing: Set[str]
    all_voters_answer: bool  # within `RECENT_CONTACT_S`, in this leadership

    @property
    def lost_voters(self) -> list[str]:
        """Lost voters, the one without contact for longest first."""
        lost = [voter for voter in self.membership.voters if voter in self.lost]
        return sorted(lost, key=lambda voter: -self.since_contact_s[voter])

    @property
    def healthy_voters(self) -> list[str]:
        """Voters that are there and may stay."""
        away = self.lost | self.leaving
        return [voter for voter in self.membership.voters if voter not in away]

    @property
    def leaving(self) -> Set[str]:
        """Members that depart, or are decommissioned."""
        return self.decommissioning | self.departing

    def replaceable_voters(self, wanted: int) -> list[str]:
        """Departing voters without which `wanted` others, departing or not, have caught up.

        Symptom answered: two depart at once and one learner is there. The first makes way for it at once,
        else the group would stay with a voter more than it can spare when the second ends as well.
        """
        caught_up = [voter for voter in self.membership.voters if voter in self.caught_up - self.lost]
        return [
            voter
            for voter in self.membership.voters
            if voter in self.departing and len([other for other in caught_up if other != voter]) >= wanted
        ]

    @property
    def reachable_learners(self) -> list[str]:
        """Learners that answer, and do not depart themselves."""
        away = self.lost | self.departing
        return [learner for learner in self.membership.learners if learner not in away]

    @property
    def ready_learners(self) -> list[str]:
        """Learners that may vote."""
        return [learner for learner in self.reachable_learners if learner in self.caught_up]

    @property
    def removable_learners(self) -> list[str]:
        """Learners that are given up, or decommissioned."""
        away = self.lost_as_learners | self.decommissioning
        return [learner for learner in self.membership.learners if learner in away]


class MembershipObserver:
    """Checks the group, and remembers of the checks before what the next one must know.

    It belongs to one leadership; `start` begins anew.
    """

    def __init__(self, own_member: str, catch_up_s: float) -> None:
        """Goes by `catch_up_s`, the bound on how long a member may take to catch up."""
        self._own_member = own_member
        self.lost_voter_s = LOST_VOTER_FRACTION * catch_up_s
        self._lost_learner_s = LOST_LEARNER_FRACTION * catch_up_s
        self._started_at = 0.0
        self._checked_at = 0.0
        self._committed_before = 0
        self._watched_since: dict[str, float] = {}

    def start(self, now: float, group: PlannedGroup) -> None:
        """Begins a leadership, or begins anew: every member gets its full time."""
        self._started_at = now
        self._checked_at = now
        self._committed_before = group.commit_index
        self._watched_since = dict.fromkeys(all_members(group.membership), now)

    def observe(self, now: float, group: PlannedGroup, candidates: Candidates) -> MembershipView | None:
        """Checks the group.

        Returns:
            What it shows; None after a pause in which this process could hear nobody: every member gets its
            full time anew.
        """
        if now - self._checked_at > PAUSE_THRESHOLD_S:
            self.start(now, group)
            return None
        self._checked_at = now
        view = self._view(now, group, candidates)
        self._committed_before = group.commit_index
        return view

    def _view(self, now: float, group: PlannedGroup, candidates: Candidates) -> MembershipView:
        members = all_members(group.membership)
        since_contact_s = self._since_contact_s(now, group)
        replaced = {name for name in members if self._is_replaced(name, since_contact_s[name], candidates)}
        departing = {name for name in members if group.is_departing(name)}
        ended = {name for name in departing if since_contact_s[name] >= RECENT_CONTACT_S}
        silent = {name for name in members if since_contact_s[name] >= self.lost_voter_s}
        long_silent = {name for name in members if since_contact_s[name] >= self._lost_learner_s}
        return MembershipView(
            membership=group.membership,
            since_contact_s=since_contact_s,
            lost=replaced | ended | silent,
            lost_as_learners=replaced | long_silent,
            caught_up={name for name in members if group.match(name) >= self._committed_before},
            decommissioning=candidates.decommissioning,
            departing=departing,
            all_voters_answer=now - self._started_at >= RECENT_CONTACT_S
            and all(since_contact_s[voter] < RECENT_CONTACT_S for voter in group.membership.voters),
        )

    def _since_contact_s(self, now: float, group: PlannedGroup) -> dict[str, float]:
        members = all_members(group.membership)
        self._watched_since = {member: self._watched_since.get(member, now) for member in members}
        since_contact_s = {
            member: min(group.seconds_since_contact(member, now), now - since)
            for member, since in self._watched_since.items()
        }
        since_contact_s[self._own_member] = 0.0
        return since_contact_s

    def _is_replaced(self, member: str, since_contact_s: float, candidates: Candidates) -> bool:
        """Whether the member's address is in use under another name: its disk was lost."""
        current_name = candidates.current_names.get(address_of(member), member)
        return current_name != member and member != self._own_member and since_contact_s >= RECENT_CONTACT_S
