"""A store's access to workers: connections, the choice of a worker, and the admission of items to services.

Owns the pool of connections and the exchange of admission heartbeats with gateways. What may go wrong: no
heartbeats arrive, and admission falls back to this store's own observations.
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
    """Access of one store to the workers. Owns the task that sends heartbeats.

    Attributes:
        dispatcher: Chooses workers for items.
        runner: Runs items at workers.
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
        """Starts to receive heartbeats from gateways and other stores."""
        await self._heartbeats.start()

    def start_heartbeats(self) -> None:
        """Starts to send heartbeats periodically."""
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop_heartbeats(self) -> None:
        """Stops sending heartbeats."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._heartbeat_task

    def close(self) -> None:
        """Closes all connections and sockets."""
        self._heartbeats.close()
        self._pool.close()

    def tables_changed(self, old: Tables, new: Tables) -> None:
        """Updates routing and admission from new tables, and closes connections to removed workers."""
        if new.workers is not old.workers or new.configuration is not old.configuration:
            self._chooser.update(new.workers, new.configuration)
        self._admissions.update(self._clock(), new, self._chooser)
        removed = {worker.address for worker in old.workers.values()}
        removed -= {worker.address for worker in new.workers.values()}
        for address in removed:
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
