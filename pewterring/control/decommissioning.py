"""Decommissioning of stores: when one may start, how far it is, and when the store holds nothing any more.

Runs at the leader. What may go wrong: stores are absent for a moment, so that too few seem to remain (503
until the leader is sure, then 409); the outcome of the decommissioning before is not known yet (the next one
waits).
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

ABSENCE_CONFIRMED_S = 5.0  # a store absent for so long is gone, not just restarting
OBSERVATION_GAP_S = 2.0  # without an observation for so long the leader must find out anew who is absent


class DecommissioningProgress(StrEnum):
    """How far a decommissioning is, in the words of the operator's API."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"


class StoreDecommissioner:
    """Starts decommissionings one at a time, so that two cannot both count on the same remaining stores.

    Owns the task of the proposal that is under way: it goes on when the caller that made it is cancelled.
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
        """Commits the start of a decommissioning; again for the same store it changes nothing.

        Nothing is decided before the outcome of the proposal before is known, also where its caller has left
        meanwhile: that store may not count as one that remains.

        Raises:
            DecommissioningRefusedError: The store is not known or too few would remain; nothing was done.
            ControlError: The leadership was lost or the outcome is not known.
        """
        async with self._lock:
            await self._previous_outcome()
            await self._leadership.read_barrier()
            command = self._checked_command(now, node_id)
            if command is not None:
                self._proposal = asyncio.ensure_future(self._leadership.propose(command))
                await asyncio.shield(self._proposal)

    def progress(self, node_id: str) -> DecommissioningProgress | None:
        """How far a store's decommissioning is, or None where there is none."""
        decommissioning = self._state.decommissionings.get(node_id)
        if decommissioning is None:
            return None
        return DecommissioningProgress.SUCCEEDED if decommissioning.ended else DecommissioningProgress.RUNNING

    def observe_stores(self, now: float) -> None:
        """Notes since when stores are absent; to be called again and again while this member leads."""
        if now - self._observed_at > OBSERVATION_GAP_S:  # another led meanwhile, or nobody
            self._absent_since = {}
        self._observed_at = now
        absent = [node_id for node_id in self._state.stores if node_id not in self._nodes.records]
        self._absent_since = {node_id: self._absent_since.get(node_id, now) for node_id in absent}

    async def _previous_outcome(self) -> None:
        if self._proposal is not None and not self._proposal.done():
            await asyncio.wait((self._proposal,))

    def _checked_command(self, now: float, node_id: str) -> StartDecommissioning | None:
        """The command to commit, or None where it has been; raises `DecommissioningRefusedError`."""
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
        """How many other stores may come back: they are absent for less than `ABSENCE_CONFIRMED_S`."""
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
    """Whether no partition has a member on the store's machine, and enough other voters hold all of each."""
    ip = address_of(decommissioning.member)
    for placement in placements:
        status = statuses.get(placement.group)
        if status is None or len(status.complete) < needed_stores:
            return False
        members = (*status.voters, *status.learners)
        if any(address_of(member) == ip for member in members):
            return False
    return True
