"""The periodic tasks of the leader of the control group, computed from its tables without I/O.

Each check decides which workers are unresponsive or have expired, which nodes were added or removed, where
the first partition is placed, and which decommissioned stores are empty. `LeaderTaskRunner` commits the
resulting commands. A command that was not committed is found again at the next check, so no task is lost when
the leadership changes.
"""

from collections.abc import Iterator

from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import Membership
from pewterring.control.commands import (
    Command,
    CreateGroup,
    EndDecommissioning,
    MarkWorkersUnresponsive,
    RemoveWorkers,
)
from pewterring.control.decommissioning import is_decommissioned
from pewterring.control.leader_state import LeaderState
from pewterring.control.placement import (
    FIRST_GROUP,
    first_placement,
    live_stores,
    zone_count,
)

ZONE_WAIT_S = 1.0  # time after the first store is seen in which stores in other zones are waited for


class LeaderTasks:
    """Finds the commands that are due. One instance per process; `start` resets it for each leadership."""

    def __init__(self, tables: LeaderState, needed_stores: int, report_delay_s: float) -> None:
        """Creates the tasks of one process.

        Args:
            tables: The replicated state and the leader's own tables.
            needed_stores: The number of stores that a partition needs.
            report_delay_s: Whether a decommissioning has finished is decided only on reports received at
                least this long after it was committed. Must not be shorter than the time for which a
                partition's leader plans with tables that were not confirmed: within that time it may not know
                of the decommissioning and may make the same store a voter.
        """
        self._tables = tables
        self._needed_stores = needed_stores
        self._report_delay_s = report_delay_s
        self._first_store_seen_at: float | None = None
        self._decommissioning_since: dict[str, float] = {}

    def start(self, now: float, term: int, membership: Membership) -> None:
        """Begins a leadership; all earlier log entries have been applied."""
        self._tables.start(now, term, control_ips(membership))
        self._first_store_seen_at = None
        self._decommissioning_since = {}

    def observe(self, now: float, membership: Membership) -> None:
        """Updates the leader's own tables: expires nodes, records absent stores and the group's members."""
        self._tables.nodes.expire(now)
        self._tables.decommissioner.observe_stores(now)
        self._tables.publisher.set_control_ips(control_ips(membership))

    def due_commands(self, now: float) -> list[Command]:
        """The commands that must be committed now, in this order."""
        nodes = self._tables.nodes.uncommitted(self._tables.replicated.nodes)
        placement = self._due_placement(now)
        return [
            *self._due_for_workers(now),
            *([nodes] if nodes is not None else []),
            *([placement] if placement is not None else []),
            *self._finished_decommissionings(now),
        ]

    def _due_for_workers(self, now: float) -> Iterator[Command]:
        unresponsive = self._tables.workers.unresponsive_workers(now)
        if unresponsive.newly:
            yield MarkWorkersUnresponsive(unresponsive.newly)
        if unresponsive.expired:
            yield RemoveWorkers(unresponsive.expired)

    def _due_placement(self, now: float) -> CreateGroup | None:
        state = self._tables.replicated
        if FIRST_GROUP in state.placements:
            return None
        live = live_stores(self._tables.nodes.records.values())
        stores = [store for store in live if not state.is_decommissioning(store)]
        if not stores:
            return None
        if self._first_store_seen_at is None:
            self._first_store_seen_at = now
        if zone_count(stores) < self._needed_stores and now - self._first_store_seen_at < ZONE_WAIT_S:
            return None
        placement = first_placement(stores, self._needed_stores)
        return CreateGroup(placement) if placement is not None else None

    def _finished_decommissionings(self, now: float) -> Iterator[EndDecommissioning]:
        state = self._tables.replicated
        for node_id, decommissioning in state.decommissionings.items():
            if decommissioning.ended:
                continue
            since = self._decommissioning_since.setdefault(node_id, now)
            reports = self._tables.publisher.reports_since(since + self._report_delay_s)
            if is_decommissioned(decommissioning, state.placements.values(), reports, self._needed_stores):
                yield EndDecommissioning(node_id)


def control_ips(membership: Membership) -> set[str]:
    """The IPs of all voters and learners of the control group."""
    return {address_of(member) for member in (*membership.voters, *membership.learners)}
