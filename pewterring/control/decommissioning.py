"""Takes the operator's wish to empty a store, and says how far that is."""

import asyncio

from pewterring.control.commands import Result, StartDecommissioning
from pewterring.control.errors import StoresAbsentError, TooFewStoresError, UnknownStoreError
from pewterring.control.leadership import Leadership
from pewterring.control.nodes import NodeTable
from pewterring.control.placement import live_stores
from pewterring.control.state import ControlState
from pewterring.distribution.messages import STORE, NodeRecord

RUNNING = "running"
SUCCEEDED = "succeeded"
ABSENCE_CONFIRMED_S = 5.0  # after so long a leader knows which stores are gone and not just away for a moment
UNWATCHED_S = 2.0  # after so long without a look at the stores it must find that out anew


class StoreDecommissioner:
    """Starts retirements one at a time, so that two cannot both count on the same remaining stores."""

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
        self._needed = needed_stores
        self._lock = asyncio.Lock()
        self._proposal: asyncio.Future[Result] | None = None
        self._missing_since: dict[str, float] = {}
        self._watched = -UNWATCHED_S

    async def start(self, now: float, node_id: str) -> None:
        """Commits the wish; raises `RetirementRefused` or a `ControlError`.

        Again for the same store it changes nothing. Nothing is decided before the outcome of the wish before
        is known, also where its caller has left meanwhile: that store may not count as one that remains.
        """
        async with self._lock:
            await self._outcome_of_the_last()
            await self._leadership.read_barrier()
            wish = self._checked_wish(now, node_id)
            if wish is not None:
                self._proposal = asyncio.ensure_future(self._leadership.propose(wish))
                await asyncio.shield(self._proposal)

    def progress(self, node_id: str) -> str | None:
        """How far a retirement is, or None where there is none."""
        decommissioning = self._state.decommissionings.get(node_id)
        if decommissioning is None:
            return None
        return SUCCEEDED if decommissioning.ended else RUNNING

    def watch(self, now: float) -> None:
        """Notes since when stores are missing; to be called again and again."""
        if now - self._watched > UNWATCHED_S:  # another led meanwhile, or nobody
            self._missing_since = {}
        self._watched = now
        missing = [node_id for node_id in self._state.stores if node_id not in self._nodes.records]
        self._missing_since = {node_id: self._missing_since.get(node_id, now) for node_id in missing}

    async def _outcome_of_the_last(self) -> None:
        if self._proposal is not None and not self._proposal.done():
            await asyncio.wait((self._proposal,))

    def _checked_wish(self, now: float, node_id: str) -> StartDecommissioning | None:
        """What is to be committed, or None where it has been before; raises `RetirementRefused`."""
        store = self._store(node_id)
        if store is None and node_id in self._state.decommissionings:
            return None
        if store is None:
            raise UnknownStoreError(f"no store {node_id}")
        if self._state.is_decommissioning(store):
            return None
        self._check_remaining(now, store)
        return StartDecommissioning(node_id, store.member)

    def _store(self, node_id: str) -> NodeRecord | None:
        live = self._nodes.records.get(node_id)
        if live is not None and live.program == STORE and live.member:
            return live
        return self._state.stores.get(node_id)

    def _check_remaining(self, now: float, store: NodeRecord) -> None:
        self.watch(now)
        others = [
            other
            for other in live_stores(self._nodes.records.values())
            if other.node_id != store.node_id and not self._state.is_decommissioning(other)
        ]
        if len(others) >= self._needed:
            return
        if len(others) + self._away_for_a_moment(now, store) >= self._needed:
            raise StoresAbsentError("some stores are away")
        raise TooFewStoresError(f"only {len(others)} stores would remain")

    def _away_for_a_moment(self, now: float, store: NodeRecord) -> int:
        """How many other stores went missing only just now."""
        return sum(
            now - since < ABSENCE_CONFIRMED_S
            for node_id, since in self._missing_since.items()
            if node_id != store.node_id and not self._state.is_decommissioning(self._state.stores[node_id])
        )
