"""Plans the members of the control group at its leader, one change at a time and without I/O."""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field

from pewterring.consensus.messages import Membership
from pewterring.control.stores import address_of

LOST_S = 2.0  # a voter silent for longer is replaced, once another member is ready for it
FORGOTTEN_S = 10.0  # a learner silent for longer is dropped
ASKED_S = 2.0  # a wish to join is good for so long
LATE_CHECK_S = 0.5  # a longer pause between plans means that this process itself was held up


@dataclass(slots=True)
class MembershipPlanner:
    """What the leader has heard of members, and what change follows from it."""

    self_name: str
    wanted_voters: int
    _heard: dict[str, float] = field(default_factory=dict)
    _asked: dict[str, float] = field(default_factory=dict)
    _planned: float = 0.0

    def start(self, now: float, membership: Membership) -> None:
        """Begins a leadership: every member gets its whole time anew."""
        self._heard = dict.fromkeys((*membership.voters, *membership.learners), now)
        self._asked = {}
        self._planned = now

    def hear(self, now: float, member: str) -> None:
        """Notes that a message of the member came."""
        self._heard[member] = now

    def ask(self, now: float, member: str) -> None:
        """Notes that the member wishes to join; what earlier names of its address wished is over."""
        ip = address_of(member)
        self._asked = {name: asked for name, asked in self._asked.items() if address_of(name) != ip}
        self._asked[member] = now

    def plan(self, now: float, membership: Membership, caught_up: Set[str]) -> Membership | None:
        """The next change, or None. `caught_up` are members that hold all that is committed.

        After a pause in which this process could hear nobody, every member gets its whole time anew.
        """
        if now - self._planned > LATE_CHECK_S:
            self.start(now, membership)
            return None
        self._planned = now
        ready = [
            learner
            for learner in membership.learners
            if learner in caught_up and self._silence(now, learner) < LOST_S
        ]
        lost = self._lost_voter(now, membership)
        if lost is not None and (ready or len(membership.voters) > self.wanted_voters):
            return _without(membership, lost)
        if ready and len(membership.voters) < self.wanted_voters:
            return _promoted(membership, ready[0])
        return self._plan_learners(now, membership)

    def _lost_voter(self, now: float, membership: Membership) -> str | None:
        """A voter whose address has come back under another name, else the one that was silent longest."""
        others = [voter for voter in membership.voters if voter != self.self_name]
        newer = {address_of(learner) for learner in membership.learners}
        for voter in others:
            if address_of(voter) in newer:
                return voter
        silent = [voter for voter in others if self._silence(now, voter) >= LOST_S]
        return max(silent, key=lambda voter: self._silence(now, voter), default=None)

    def _plan_learners(self, now: float, membership: Membership) -> Membership | None:
        members = (*membership.voters, *membership.learners)
        asking = [member for member, asked in self._asked.items() if now - asked < ASKED_S]
        self._asked = {member: self._asked[member] for member in asking}
        for member in asking:
            if member in members:
                continue
            self._heard[member] = now
            kept = [learner for learner in membership.learners if address_of(learner) != address_of(member)]
            return Membership(membership.voters, (*kept, member))
        for learner in membership.learners:
            if self._silence(now, learner) >= FORGOTTEN_S:
                return _without(membership, learner)
        return None

    def _silence(self, now: float, member: str) -> float:
        return now - self._heard.setdefault(member, now)


def caught_up_members(membership: Membership, matches: Mapping[str, int], commit_index: int) -> set[str]:
    """The members whose log agrees with the leader's up to what is committed."""
    members = (*membership.voters, *membership.learners)
    return {member for member in members if matches.get(member, 0) >= commit_index}


def _without(membership: Membership, member: str) -> Membership:
    return Membership(
        voters=tuple(voter for voter in membership.voters if voter != member),
        learners=tuple(learner for learner in membership.learners if learner != member),
    )


def _promoted(membership: Membership, learner: str) -> Membership:
    changed = _without(membership, learner)
    return Membership((*changed.voters, learner), changed.learners)
