"""The state of a group's members as its leader sees it: lost, caught up, departing, decommissioned.

A member is lost if it has not answered for a fraction of `catch_up_s`, the bound on the time that a member
may take to catch up. It is lost sooner, after `RECENT_CONTACT_S` without an answer, if it announced its
departure, or if another member name is in use at its address, which means that its disk was lost.
"""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from typing import Protocol

from pewterring.consensus.membership import address_of, all_members
from pewterring.consensus.messages import Membership
from pewterring.durations import PAUSE_THRESHOLD_S

# Fraction of `catch_up_s` without an answer after which a voter is lost: one quarter to detect the loss, a
# second one to copy the state.
LOST_VOTER_FRACTION = 0.25
# A member that answered this recently is alive, whichever name the node table has for its address.
RECENT_CONTACT_S = 0.3
# Fraction of `catch_up_s` without an answer after which a learner is removed. It is longer than for voters
# because a learner may not answer while it installs a large snapshot.
LOST_LEARNER_FRACTION = 0.5


class PlannedGroup(Protocol):
    """The properties of the leader's group that the planner reads."""

    @property
    def membership(self) -> Membership:
        """The membership in effect, which may not be committed yet."""
        ...

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        ...

    def match(self, member: str, /) -> int:
        """Returns the last log index that the member is known to have on disk."""
        ...

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Returns the seconds since the member last answered a heartbeat of this leadership."""
        ...

    def is_departing(self, member: str) -> bool:
        """Whether the member has announced that its process is about to end."""
        ...


@dataclass(frozen=True, slots=True)
class Candidates:
    """Which members may join and which must leave, by the requests to join or the table of nodes."""

    joining: Sequence[str] = ()  # members that may join, most preferred first
    current_names: Mapping[str, str] = field(default_factory=dict)  # address -> member name in use there now
    decommissioning: Set[str] = frozenset()  # members to be removed permanently


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipView:
    """The result of one check of the group. The sets contain voters and learners."""

    membership: Membership
    since_contact_s: Mapping[str, float]
    lost: Set[str]  # members that are lost by the rule for voters
    lost_as_learners: Set[str]  # members that are lost by the rule for learners
    caught_up: Set[str]  # members with all entries on disk that were committed at the previous check
    decommissioning: Set[str]
    departing: Set[str]
    all_voters_answer: bool  # whether all voters answered this leader within `RECENT_CONTACT_S`

    @property
    def lost_voters(self) -> list[str]:
        """The lost voters, ordered by time without contact, longest first."""
        lost = [voter for voter in self.membership.voters if voter in self.lost]
        return sorted(lost, key=lambda voter: -self.since_contact_s[voter])

    @property
    def healthy_voters(self) -> list[str]:
        """Voters that are neither lost, departing nor decommissioned."""
        excluded = self.lost | self.outgoing
        return [voter for voter in self.membership.voters if voter not in excluded]

    @property
    def outgoing(self) -> Set[str]:
        """Members that are departing or decommissioned."""
        return self.decommissioning | self.departing

    def replaceable_voters(self, wanted: int) -> list[str]:
        """Returns the departing voters that can be removed.

        At least `wanted` other voters, departing or not, must have caught up.

        When two voters depart and only one learner is ready, the first voter must be removed as soon as the
        learner votes. Otherwise the group keeps one voter too many, which it cannot spare when the second
        process ends as well.
        """
        caught_up = [voter for voter in self.membership.voters if voter in self.caught_up - self.lost]
        return [
            voter
            for voter in self.membership.voters
            if voter in self.departing and len([other for other in caught_up if other != voter]) >= wanted
        ]

    @property
    def reachable_learners(self) -> list[str]:
        """Learners that are neither lost nor departing."""
        excluded = self.lost | self.departing
        return [learner for learner in self.membership.learners if learner not in excluded]

    @property
    def ready_learners(self) -> list[str]:
        """Learners that may become voters: reachable and caught up."""
        return [learner for learner in self.reachable_learners if learner in self.caught_up]

    @property
    def removable_learners(self) -> list[str]:
        """Learners to remove: lost by the rule for learners, or decommissioned."""
        excluded = self.lost_as_learners | self.decommissioning
        return [learner for learner in self.membership.learners if learner in excluded]


class MembershipObserver:
    """Checks the members of a group, and remembers the state of the previous check.

    One observer covers one leadership at a time; `start` resets it.
    """

    def __init__(self, own_member: str, catch_up_s: float) -> None:
        """Derives its time-outs from `catch_up_s`, the bound on the time to catch up in seconds."""
        self._own_member = own_member
        self.lost_voter_s = LOST_VOTER_FRACTION * catch_up_s
        self._lost_learner_s = LOST_LEARNER_FRACTION * catch_up_s
        self._started_at = 0.0
        self._checked_at = 0.0
        self._previous_commit_index = 0
        self._observed_since: dict[str, float] = {}

    def start(self, now: float, group: PlannedGroup) -> None:
        """Begins a leadership, or resets: the time without an answer counts from `now` for every member."""
        self._started_at = now
        self._checked_at = now
        self._previous_commit_index = group.commit_index
        self._observed_since = dict.fromkeys(all_members(group.membership), now)

    def observe(self, now: float, group: PlannedGroup, candidates: Candidates) -> MembershipView | None:
        """Checks the group.

        Returns:
            The state of the members; None if this process was paused for longer than `PAUSE_THRESHOLD_S`
            before the call: it received no answers meanwhile, so the observer is reset.
        """
        if now - self._checked_at > PAUSE_THRESHOLD_S:
            self.start(now, group)
            return None
        self._checked_at = now
        view = self._view(now, group, candidates)
        self._previous_commit_index = group.commit_index
        return view

    def _view(self, now: float, group: PlannedGroup, candidates: Candidates) -> MembershipView:
        members = all_members(group.membership)
        since_contact_s = self._since_contact_s(now, group)
        replaced = {name for name in members if self._is_replaced(name, since_contact_s[name], candidates)}
        departing = {name for name in members if group.is_departing(name)}
        ended = {name for name in departing if since_contact_s[name] >= RECENT_CONTACT_S}
        unresponsive = {name for name in members if since_contact_s[name] >= self.lost_voter_s}
        long_unresponsive = {name for name in members if since_contact_s[name] >= self._lost_learner_s}
        return MembershipView(
            membership=group.membership,
            since_contact_s=since_contact_s,
            lost=replaced | ended | unresponsive,
            lost_as_learners=replaced | long_unresponsive,
            caught_up={name for name in members if group.match(name) >= self._previous_commit_index},
            decommissioning=candidates.decommissioning,
            departing=departing,
            all_voters_answer=now - self._started_at >= RECENT_CONTACT_S
            and all(since_contact_s[voter] < RECENT_CONTACT_S for voter in group.membership.voters),
        )

    def _since_contact_s(self, now: float, group: PlannedGroup) -> dict[str, float]:
        members = all_members(group.membership)
        self._observed_since = {member: self._observed_since.get(member, now) for member in members}
        since_contact_s = {
            member: min(group.seconds_since_contact(member, now), now - since)
            for member, since in self._observed_since.items()
        }
        since_contact_s[self._own_member] = 0.0
        return since_contact_s

    def _is_replaced(self, member: str, since_contact_s: float, candidates: Candidates) -> bool:
        """Whether another member name is in use at the member's address, so that its disk was lost."""
        current_name = candidates.current_names.get(address_of(member), member)
        return current_name != member and member != self._own_member and since_contact_s >= RECENT_CONTACT_S
