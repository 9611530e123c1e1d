"""How a store reaches workers: connections, the choice of a worker, and the admission of items to services.

Owns the pool of connections and the exchange of admission heartbeats with gateways. What may go wrong: no
heartbeats arrive, and admission falls back to what this store has seen itself.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from pewterring.admission.datagram import BATCH
from pewterring.admission.digests import Totals
from pewterring.admission.shares import HEARTBEAT_PERIOD_S
from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.dispatch import AdmissionDispatcher
from pewterring.batch.runner import HttpItemRunner
from pewterring.batch.state import Clock
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.heartbeats import AdmissionHeartbeats, HeartbeatHandlers
from pewterring.transport.http_client import WorkerPool


class WorkerAccess:
    """The workers, as one store sees and uses them; owns the task that sends heartbeats.

    Attributes:
        dispatcher: Chooses workers for items.
        runner: Runs items at them.
    """

    def __init__(
        self, settings: NodeSettings, tables: Callable[[], Tables], clock: Clock, rng: random.Random
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._pool = WorkerPool()
        self._chooser = WorkerChooser(settings.zone, rng, self._pool.is_connected)
        self._admissions = BatchAdmissions(rng)
        self._heartbeats = AdmissionHeartbeats(
            settings.ip, settings.internal_port, BATCH, HeartbeatHandlers(self._on_heartbeat, self._on_totals)
        )
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.dispatcher = AdmissionDispatcher(tables, self._chooser, self._admissions, clock)
        self.runner = HttpItemRunner(self._pool, self.dispatcher.load_reported)

    async def listen(self) -> None:
        """Receives heartbeats of gateways and other stores from now on."""
        await self._heartbeats.start()

    def start_heartbeats(self) -> None:
        """Sends heartbeats from now on."""
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop_heartbeats(self) -> None:
        """Sends no more heartbeats."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._heartbeat_task

    def close(self) -> None:
        """Closes all connections and sockets."""
        self._heartbeats.close()
        self._pool.close()

    def tables_changed(self, old: Tables, new: Tables) -> None:
        """Follows new tables; connections to workers that are gone are closed."""
        if new.workers is not old.workers or new.configuration is not old.configuration:
            self._chooser.update(new.workers, new.configuration)
        self._admissions.update(self._clock(), new, self._chooser)
        gone = {worker.address for worker in old.workers.values()}
        gone -= {worker.address for worker in new.workers.values()}
        for address in gone:
            self._pool.close_address(address)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
            heartbeats = self._admissions.tick(self._clock())
            self._heartbeats.send(heartbeats, self._tables().nodes)

    def _on_heartbeat(self, kind: int, peer: int, number: int, heartbeat: bytes) -> None:
        self._admissions.receive(self._clock(), kind, peer, number, heartbeat)

    def _on_totals(self, number: int, totals: Totals) -> None:
        self._admissions.receive_totals(self._clock(), number, totals)
