"""Invariants that must hold at every moment, checked as the programs run.

The real classes report their steps here (`watchers` and `patches.py`). The first violation ends the run.
"""

from bisect import bisect_right
from collections.abc import Iterator, Sequence
from math import inf
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import mock

from pewterring.batch.given_up import GiveUpReason
from pewterring.batch.items import QueuedItem
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.leader import LeaderRole
from pewterring.consensus.membership import address_of, encode_membership
from pewterring.consensus.messages import Entry, Membership
from pewterring.control.member_storage import GROUP
from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.distribution.subscription import FeedSubscription
from pewterring.registry.workers import WorkerRegistry
from tests.simulation.machines import DRIFT
from tests.simulation.route_limits import RouteLimits
from tests.simulation.schedule import Role

if TYPE_CHECKING:
    from tests.simulation.world import World

CHECK_INTERVAL_S = (
    0.3  # planners compare with what was committed at their previous check; entries are committed meanwhile
)


FASTEST_CLOCK = 1 + DRIFT  # of a machine, by true time


class _AppliedEntry(NamedTuple):
    """What must be the same of an entry on all members."""

    term: int
    kind: str
    data: bytes


class InvariantChecker:
    """Compares what members do with what others did, and what gateways receive with what was acknowledged."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self.violations: list[str] = []
        self._leaders: dict[tuple[str, int], str] = {}  # by group and term
        self._applied: dict[tuple[str, int], _AppliedEntry] = {}  # by group and index
        self._committed: dict[str, list[tuple[float, int]]] = {}  # by group: when the highest index rose
        self._saved_terms: dict[tuple[str, str], int] = {}  # by group and member
        self._newest_leader = (0, "")  # the highest term in which a member of control committed an entry
        self._unsafe_if_committed: dict[tuple[str, int, bytes], str] = {}  # changes by deposed leaders
        self.given_up: set[str] = set()  # items that a store has given up
        self.left: dict[str, float] = {}  # workers whose drain or end was acknowledged, and when

    def record_violation(self, text: str) -> None:
        """Records a violation, with the virtual time."""
        self.violations.append(f"{self._world.loop.time():.4f}: {text}")

    # Items

    def on_given_up(self, items: Sequence[QueuedItem], reason: GiveUpReason) -> None:
        """Checks that a configuration that may be in force allows a store to give the items up."""
        now = self._world.loop.time()
        limits = self._world.limits.in_force(now, self._world.history)
        for item in items:
            name = item.spec.id
            self.given_up.add(name)
            if not any(self._allows(each, item, reason, now) for each in limits):
                age_s = now - self._world.items.sent_s[item.job]
                failed = self._world.items.failed_attempts[name]
                self.record_violation(
                    f"{name} is given up ({reason.value}) {age_s:.2f} s after its job was sent, "
                    f"after {failed} answers of 500, by none of {set(limits)}"
                )

    def _allows(self, limits: RouteLimits, item: QueuedItem, reason: GiveUpReason, now: float) -> bool:
        match reason:
            case GiveUpReason.IMPOSSIBLE:
                return "impossible" in item.spec.id
            case GiveUpReason.ROUTE_REMOVED:
                return not limits.is_present
            case GiveUpReason.EXPIRED:
                age_s = FASTEST_CLOCK * (now - self._world.items.sent_s[item.job])
                return limits.is_present and age_s >= limits.keep_s
            case GiveUpReason.FAILED_ATTEMPTS:
                failed = self._world.items.failed_attempts[item.spec.id]
                return limits.is_present and failed >= limits.max_attempts

    # Members

    def on_elected(self, group: str, member: str, term: int) -> None:
        """Checks that a member that was elected is its term's only leader."""
        other = self._leaders.setdefault((group, term), member)
        if other != member:
            self.record_violation(f"{member} and {other} lead in term {term}")

    def on_leading(self, group: ReplicatedGroup, term: int) -> None:
        """Checks, when a member has committed an entry of its own term, that nobody else has a lease."""
        if group.group == GROUP:
            self._newest_leader = max(self._newest_leader, (term, group.member))
        for machine in self._world.group_machines():
            other, process = machine.group, machine.process
            if other is None or other is group or other.group != group.group:
                continue
            if process is not None and other.has_lease(process.steady(self._world.loop.time())):
                self.record_violation(f"{group.member} leads in term {term} while {other.member} has a lease")

    def on_term_saved(self, group: ReplicatedGroup, term: int) -> None:
        """Records the term that a member has on disk."""
        self._saved_terms[group.group, group.member] = term

    def on_started(self, group: ReplicatedGroup) -> None:
        """Checks, when a member has read its disk, that it knows at least the term that it had saved."""
        saved = self._saved_terms.get((group.group, group.member), 0)
        if group.term < saved:
            self.record_violation(f"{group.member} comes back with term {group.term}; it had saved {saved}")

    def on_applied(self, group: ReplicatedGroup, entry: Entry) -> None:
        """Checks that all members apply the same entry at an index."""
        this = _AppliedEntry(entry.term, entry.kind, bytes(entry.data))
        known = self._applied.setdefault((group.group, entry.index), this)
        if known != this:
            self.record_violation(f"{group.member} applied {this} at {entry.index}, others {known}")
        if (
            unsafe := self._unsafe_if_committed.get((group.group, entry.term, bytes(entry.data)))
        ) is not None:
            self.record_violation(f"{unsafe}, and the change was committed")
        if entry.index > self.committed(group.group):
            self._committed.setdefault(group.group, []).append((self._world.loop.time(), entry.index))

    def on_membership_proposed(self, group: Any, membership: Membership) -> None:
        """Checks a proposed change: a new voter must hold all that was committed at the previous check.

        A leader that was deposed without knowing it does not know what was committed since: its change does
        no harm unless it is committed.
        """
        before = self._committed_at(group.group, self._world.loop.time() - CHECK_INTERVAL_S)
        for voter in membership.voters:
            if voter in group.membership.voters or group.match(voter) >= before:
                continue
            text = f"{voter} becomes a voter at {group.match(voter)}; {before} was committed before"
            if self._is_deposed(group):
                change = (group.group, group.term, bytes(encode_membership(membership)))
                self._unsafe_if_committed[change] = text
            else:
                self.record_violation(text)

    def _is_deposed(self, group: ReplicatedGroup) -> bool:
        """Whether another member was elected in a later term."""
        return any(name == group.group and term > group.term for name, term in self._leaders)

    def on_store_emptied(self, ip: str) -> None:
        """Checks a store that is reported as empty: it is no member, and enough voters are left."""
        leader = self._world.leader(Role.STORE)
        if leader is None or leader.group is None:
            return
        membership = leader.group.membership
        if any(address_of(member) == ip for member in (*membership.voters, *membership.learners)):
            self.record_violation(f"{ip} is said to be empty, and is a member: {membership}")
        elif len(membership.voters) < 2 * self._world.tolerated + 1:
            self.record_violation(f"{ip} is said to be empty, and too few are left: {membership}")

    def committed(self, group: str) -> int:
        """Returns the highest index that any member applied."""
        committed = self._committed.get(group)
        return committed[-1][1] if committed else 0

    def _committed_at(self, group: str, moment: float) -> int:
        committed = self._committed.get(group, [])
        position = bisect_right(committed, (moment, inf))
        return committed[position - 1][1] if position else 0

    def on_worker_observed(self) -> None:
        """Checks, when a leader takes a heartbeat, that no other has led in a later term."""
        process = self._world.process()
        program = self._world.machine_of(process).program
        term = program.group.led_term if program is not None else None
        newest, other = self._newest_leader
        if newest > (term or 0):
            self.record_violation(
                f"{process.name} answers a heartbeat in term {term}; {other} leads in {newest}"
            )

    # Gateways

    def on_tables_confirmed(
        self, version: int, workers: Iterator[WorkerRecord], requested_at_s: float
    ) -> None:
        """Checks tables that a node was told to be current at `requested_at_s` (its steady clock)."""
        process = self._world.process()
        moment = process.true_time(requested_at_s)
        promised = self._world.history.acknowledged_before(moment)
        if version < promised:
            self.record_violation(
                f"{process.name} was told at {moment:.3f} that {version} is current; "
                f"{promised} was acknowledged before"
            )
        for worker in workers:
            if worker.state == RegistrationState.READY and self.left.get(worker.id, moment) < moment:
                self.record_violation(
                    f"{process.name} was told that {worker.id} is ready after its end was taken"
                )

    def watchers(self) -> Iterator[Any]:
        """Yields patches of the real methods that report to this object."""
        yield from self._member_watchers()
        yield from self._gateway_watchers()

    def _member_watchers(self) -> Iterator[Any]:
        invariants = self

        def begin(self: LeaderRole, state: Any, now: float, real: Any = LeaderRole.__init__) -> None:
            invariants.on_elected(state.group, state.member, state.term)
            real(self, state, now)

        def observe(self: Any, *arguments: Any, real: Any = WorkerRegistry.observe) -> Any:
            invariants.on_worker_observed()
            return real(self, *arguments)

        yield mock.patch.object(LeaderRole, "__init__", begin)
        yield mock.patch.object(WorkerRegistry, "observe", observe)

    def _gateway_watchers(self) -> Iterator[Any]:
        invariants = self

        def replace_all(
            self: Any, message: Any, requested_at_s: float, real: Any = FeedSubscription.replace_all
        ) -> Any:
            invariants.on_tables_confirmed(
                message.versions.configuration, iter(message.workers), requested_at_s
            )
            return real(self, message, requested_at_s)

        def confirm(self: Any, message: Any, sent_at: float, real: Any = FeedSubscription.confirm) -> Any:
            confirmed = real(self, message, sent_at)
            if confirmed:
                workers = iter(self.tables.workers.values())
                invariants.on_tables_confirmed(message.versions.configuration, workers, sent_at)
            return confirmed

        yield mock.patch.object(FeedSubscription, "replace_all", replace_all)
        yield mock.patch.object(FeedSubscription, "confirm", confirm)
