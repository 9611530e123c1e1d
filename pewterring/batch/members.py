"""Which stores a batch partition's group should have as members: one change at a time, without I/O.

The leader keeps 2f + 1 good voters. A voter is good while its store is there under the same member name and
is not to be emptied. A new store joins as a learner and becomes a voter once it has caught up; until then the
voter that it replaces stays.
"""

from collections.abc import Callable, Iterable

from pewterring.consensus.messages import Membership
from pewterring.distribution.messages import NodeRecord

ABSENT_S = 2.0  # out of the table of nodes for longer: lost
CAUGHT_UP_ENTRIES = 16  # a learner this close behind the commit index may vote

STORE = "store"


class MemberPlanner:
    """Follows the table of nodes and says what the group's leader should change next."""

    def __init__(self, own_member: str, tolerated_machines: int) -> None:
        self._own_member = own_member
        self._wanted_voters = 2 * tolerated_machines + 1
        self._stores: dict[str, NodeRecord] = {}  # by member name
        self._member_at: dict[str, str] = {}  # by IP
        self._absent_since: dict[str, float] = {}

    def observe(self, nodes: Iterable[NodeRecord]) -> None:
        """Takes the newest table of nodes."""
        stores = [node for node in nodes if node.program == STORE and node.member]
        self._stores = {node.member: node for node in stores}
        self._member_at = {node.ip: node.member for node in stores}

    def forget_absences(self) -> None:
        """Counts absences anew: the table of nodes is not known to be current."""
        self._absent_since.clear()

    def next_change(
        self, now: float, membership: Membership, match: Callable[[str], int], commit: int
    ) -> Membership | None:
        """The next membership, or None where nothing is to change. `match` gives a member's last index that
        agrees with the leader's log."""
        self._note_absences(now, membership)
        lost = [voter for voter in membership.voters if self._is_lost(voter, now)]
        good = [voter for voter in membership.voters if voter not in lost and not self._is_retiring(voter)]
        useless = [
            learner
            for learner in membership.learners
            if self._is_lost(learner, now) or self._is_retiring(learner)
        ]
        if useless:
            return _without_learner(membership, useless[0])
        missing = self._wanted_voters - len(good)
        if missing > 0:
            return self._replace(membership, lost, missing, match, commit)
        return self._reduce(membership, lost, good)

    def _replace(
        self,
        membership: Membership,
        lost: list[str],
        missing: int,
        match: Callable[[str], int],
        commit: int,
    ) -> Membership | None:
        """Good voters are missing: brings learners in, and makes voters of those that have caught up."""
        ready = [name for name in membership.learners if commit - match(name) <= CAUGHT_UP_ENTRIES]
        if ready and lost:
            return _without_voter(membership, lost[0])
        if ready:
            return _promoted(membership, ready[0])
        if len(membership.learners) < missing:
            return self._with_new_learner(membership)
        return None

    def _reduce(self, membership: Membership, lost: list[str], good: list[str]) -> Membership | None:
        """There are enough good voters: takes away what is left over, this leader last."""
        if lost:
            return _without_voter(membership, lost[0])
        retiring = [voter for voter in membership.voters if voter not in good]
        retiring.sort(key=lambda voter: voter == self._own_member)
        if retiring:
            return _without_voter(membership, retiring[0])
        if membership.learners:
            return _without_learner(membership, membership.learners[-1])
        if len(good) > self._wanted_voters:
            surplus = [voter for voter in good if voter != self._own_member]
            return _without_voter(membership, surplus[-1])
        return None

    def _with_new_learner(self, membership: Membership) -> Membership | None:
        members = set(membership.voters) | set(membership.learners)
        spare = [store for name, store in self._stores.items() if name not in members and not store.retiring]
        if not spare:
            return None
        zones = self._zones_in_use(membership)
        chosen = min(spare, key=lambda store: (store.zone in zones, store.member))
        return _with_learners(membership, (*membership.learners, chosen.member))

    def _zones_in_use(self, membership: Membership) -> set[str]:
        kept = (*membership.voters, *membership.learners)
        records = (self._stores[name] for name in kept if name in self._stores)
        return {record.zone for record in records if not record.retiring}

    def _note_absences(self, now: float, membership: Membership) -> None:
        members = (*membership.voters, *membership.learners)
        absent = [name for name in members if name not in self._stores and name != self._own_member]
        self._absent_since = {name: self._absent_since.get(name, now) for name in absent}

    def _is_lost(self, member: str, now: float) -> bool:
        if member == self._own_member or member in self._stores:
            return False
        if address_of(member) in self._member_at:
            return True  # its store is there under another name: the disk was lost
        return now - self._absent_since.get(member, now) > ABSENT_S

    def _is_retiring(self, member: str) -> bool:
        record = self._stores.get(member)
        return record is not None and record.retiring


def address_of(member: str) -> str:
    """The IP in a member's name."""
    return member.partition("#")[0]


def _with_learners(membership: Membership, learners: tuple[str, ...]) -> Membership:
    """The same voters with other learners."""
    return Membership(voters=membership.voters, learners=learners)


def _without_learner(membership: Membership, learner: str) -> Membership:
    return _with_learners(membership, tuple(name for name in membership.learners if name != learner))


def _without_voter(membership: Membership, voter: str) -> Membership:
    voters = tuple(name for name in membership.voters if name != voter)
    return Membership(voters=voters, learners=membership.learners)


def _promoted(membership: Membership, learner: str) -> Membership:
    changed = _without_learner(membership, learner)
    return Membership(voters=(*changed.voters, learner), learners=changed.learners)
