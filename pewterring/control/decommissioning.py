"""Decommissioning of stores: whether one may start, its progress, and when the store has no replica left.

Runs at the leader. A start is refused if too few stores would remain: with 503 while absent stores may still
come back, then with 409. If the outcome of the previous start is not known yet, the next one waits for it.
"""

import asyncio
from collections.abc import Iterable, Mapping
from enum import StrEnum

from pewterring.consensus.membership import address_of
from pewterring.control.commands import Result, StartDecommissioning
from pewterring.control.errors import StoresAbsentError, TooFewStoresError, UnknownStoreError
from pewterring.control.leadership import Leadership
from pewterring.control.nodes import NodeTable
from pewterring.control.placement import live_stores
from pewterring.control.snapshot import Decommissioning
from pewterring.control.state import ControlState
from pewterring.distribution.messages import STORE, GroupStatus, NodeRecord, PlacementRecord

ABSENCE_CONFIRMED_S = 5.0  # a store that is absent for this long is not just restarting
OBSERVATION_GAP_S = 2.0  # after a longer gap between observations, recorded absences are discarded


class DecommissioningProgress(StrEnum):
    """The progress of a decommissioning; the values are those of the operator's API."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"


class StoreDecommissioner:
    """Starts decommissionings one at a time, so that two cannot both rely on the same remaining stores.

    The proposal runs as a future of its own, which continues when its caller is cancelled.
    """

    def __init__(
        self,
        state: ControlState,
        nodes: NodeTable,
        leadership: Leadership,
        needed_stores: int,
    ) -> None:
        self._state = state
        self._nodes = nodes
        self._leadership = leadership
        self._needed_stores = needed_stores
        self._lock = asyncio.Lock()
        self._proposal: asyncio.Future[Result] | None = None
        self._absent_since: dict[str, float] = {}
        self._observed_at = -OBSERVATION_GAP_S

    async def start(self, now: float, node_id: str) -> None:
        """Commits the start of a decommissioning; a repeated start for the same store changes nothing.

        First waits for the outcome of the previous proposal, even if its caller has been cancelled: the store
        of that proposal must not be counted as one that remains.

        Raises:
            DecommissioningRefusedError: The store is not known, or too few stores would remain; nothing was
                done.
            ControlError: The leadership was lost, or the outcome is not known.
        """
        async with self._lock:
            await self._previous_outcome()
            await self._leadership.read_barrier()
            command = self._checked_command(now, node_id)
            if command is not None:
                self._proposal = asyncio.ensure_future(self._leadership.propose(command))
                await asyncio.shield(self._proposal)

    def progress(self, node_id: str) -> DecommissioningProgress | None:
        """The progress of a store's decommissioning, or None if there is none."""
        decommissioning = self._state.decommissionings.get(node_id)
        if decommissioning is None:
            return None
        return DecommissioningProgress.SUCCEEDED if decommissioning.ended else DecommissioningProgress.RUNNING

    def observe_stores(self, now: float) -> None:
        """Records since when each store is absent. Must be called regularly while this member leads."""
        if now - self._observed_at > OBSERVATION_GAP_S:  # this member did not lead in the meantime
            self._absent_since = {}
        self._observed_at = now
        absent = [node_id for node_id in self._state.stores if node_id not in self._nodes.records]
        self._absent_since = {node_id: self._absent_since.get(node_id, now) for node_id in absent}

    async def _previous_outcome(self) -> None:
        if self._proposal is not None and not self._proposal.done():
            await asyncio.wait((self._proposal,))

    def _checked_command(self, now: float, node_id: str) -> StartDecommissioning | None:
        """The command to commit, or None if it was committed before; raises `DecommissioningRefusedError`."""
        store = self._newest_record(node_id)
        if store is None and node_id in self._state.decommissionings:
            return None
        if store is None:
            raise UnknownStoreError(f"no store {node_id}")
        if self._state.is_decommissioning(store):
            return None
        self._check_remaining(now, store)
        return StartDecommissioning(node_id, store.member)

    def _newest_record(self, node_id: str) -> NodeRecord | None:
        live = self._nodes.records.get(node_id)
        if live is not None and live.program == STORE and live.member:
            return live
        return self._state.stores.get(node_id)

    def _check_remaining(self, now: float, store: NodeRecord) -> None:
        self.observe_stores(now)
        remaining = sum(
            other.node_id != store.node_id and not self._state.is_decommissioning(other)
            for other in live_stores(self._nodes.records.values())
        )
        if remaining >= self._needed_stores:
            return
        if remaining + self._recently_absent(now, store) >= self._needed_stores:
            raise StoresAbsentError("some stores are away")
        raise TooFewStoresError(f"only {remaining} stores would remain")

    def _recently_absent(self, now: float, store: NodeRecord) -> int:
        """The number of other stores that may come back, being absent for less than `ABSENCE_CONFIRMED_S`."""
        return sum(
            now - since < ABSENCE_CONFIRMED_S
            for node_id, since in self._absent_since.items()
            if node_id != store.node_id and not self._state.is_decommissioning(self._state.stores[node_id])
        )


def is_decommissioned(
    decommissioning: Decommissioning,
    placements: Iterable[PlacementRecord],
    statuses: Mapping[str, GroupStatus],
    needed_stores: int,
) -> bool:
    """Whether a store is empty: no partition has a member on its machine, all have enough complete replicas.

    `statuses` maps a partition's group name to the newest report of its leader. A partition without a report,
    or with fewer than `needed_stores` complete voters, counts as not moved yet.
    """
    ip = address_of(decommissioning.member)
    for placement in placements:
        status = statuses.get(placement.group)
        if status is None or len(status.complete) < needed_stores:
            return False
        members = (*status.voters, *status.learners)
        if any(address_of(member) == ip for member in members):
            return False
    return True
