"""Three stores of one partition in one event loop and virtual time, with numbered points to inject faults.

Only sockets, disks and workers are test doubles; consensus, state, service, execution and scheduler are real.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence

from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.dispatch import AdmissionDispatcher
from pewterring.batch.execution import EventHandler, ExecutionEnvironment, ItemExecution
from pewterring.batch.group_log import GroupLog
from pewterring.batch.items import Failure, QueuedItem
from pewterring.batch.messages import NotLeading, OutcomeUnknown
from pewterring.batch.results import ResultCommitter
from pewterring.batch.retention import RetentionLimits
from pewterring.batch.service import BatchCall, BatchReply, BatchService, ServiceEnvironment
from pewterring.batch.state import BatchState
from pewterring.configuration.model import Route
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.messages import ConsensusMessage, Entry
from pewterring.consensus.persistent import HardState
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import WorkerChooser
from tests.batch.stand_ins import route, tables, worker
from tests.consensus.memory_storage import MemoryStorage
from tests.consensus.virtual_time import InlineExecutor

NAMES = ("10.0.0.1#a", "10.0.0.2#b", "10.0.0.3#c")
EVENTS = 3  # events in the answer to an item
EVENT_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 1.0  # after which a caller tries the next store
RETRY_DELAY_S = 0.03  # of a caller, after it has tried all stores
DOWN_S = 0.4  # from the failure of a store to its restart
GIVE_UP_S = 60.0  # virtual time after which a call counts as never answered


class FaultPoints:
    """Counts the fault points that a scenario passes, and calls `action` once, at point number `at`."""

    def __init__(self, at: int = 0, action: Callable[[], None] | None = None) -> None:
        self.passed = 0
        self._at = at
        self._action = action

    def reach(self) -> None:
        """Counts one point, and calls the action if it is the chosen one."""
        self.passed += 1
        if self.passed == self._at and self._action is not None:
            self._action()


class Workers:
    """Workers whose outcomes depend on the item's name.

    Items whose names begin with "impossible" or "hopeless" end as `IMPOSSIBLE` or `FAILED` at each attempt.
    Those that begin with "fails" end as `FAILED` at the first attempt. All others send three events.
    """

    def __init__(self, points: FaultPoints, event_interval_s: float) -> None:
        self._points = points
        self._event_interval_s = event_interval_s
        self.finished_at: dict[str, float] = {}  # time of the first complete answer, by item
        self.begun: Counter[str] = Counter()  # attempts that started at the first event, by item
        self.running: Counter[str] = Counter()  # attempts now, by item
        self.max_running: Counter[str] = Counter()  # most attempts at the same time, by item

    async def run(self, queued: QueuedItem, _worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        name = queued.spec.id
        self._points.reach()
        first = int(queued.last_event_id or 0) + 1
        self.begun[name] += first == 1
        self.running[name] += 1
        self.max_running[name] = max(self.max_running[name], self.running[name])
        try:
            if name.startswith("impossible"):
                return Failure.IMPOSSIBLE
            if name.startswith("hopeless"):
                return Failure.FAILED
            if name.startswith("fails") and self.begun[name] == 1:
                return Failure.FAILED
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(self._event_interval_s)
                self._points.reach()
                on_event(str(number), f"{name}.{number}")
            self.finished_at.setdefault(name, asyncio.get_running_loop().time())
            return None
        finally:
            self.running[name] -= 1


def complete_text(name: str) -> str:
    """The text of an item's result after a successful attempt."""
    return "\n".join(f"{name}.{number}" for number in range(1, EVENTS + 1))


class CountingStorage(MemoryStorage):
    """Storage that passes a fault point before and after each save."""

    def __init__(self, points: FaultPoints) -> None:
        super().__init__(NAMES)
        self._points = points
        self.lost = False  # the store has lost power: saves have no effect

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        self._points.reach()
        if not self.lost:
            super().save(hard_state, truncate_from, entries)
        self._points.reach()


class Store:
    """One incarnation of one store, from its start until it fails."""

    def __init__(self, name: str, cluster: "VirtualCluster", storage: CountingStorage) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.alive = True
        self.storage = storage
        self.state = cluster.state_type(loop.time)
        self.group = self._build_group(cluster)
        known_tables = tables(*cluster.worker_records, routes=(cluster.route,))
        log = GroupLog(self.group)
        self.execution = ItemExecution(
            self.state, ResultCommitter(log), self._execution_environment(cluster, known_tables)
        )
        service_environment = ServiceEnvironment(
            lambda: known_tables,
            lambda: True,
            loop.time,
            RetentionLimits(status_s=120, result_budget_bytes=0),
            max_state_bytes=10**9,
        )
        self.service = BatchService(log, self.state, self.execution, service_environment)

    def _build_group(self, cluster: "VirtualCluster") -> ReplicatedGroup:
        return ReplicatedGroup(
            "batch-0",
            self.name,
            GroupEnvironment(
                storage=self.storage,
                machine=self.state,
                send=lambda message: cluster.send(self, message),
                clock=asyncio.get_running_loop().time,
                rng=random.Random(self.name),
                executor=InlineExecutor(),
            ),
            callbacks=GroupCallbacks(on_leadership=lambda leads: self.service.leadership_changed(leads)),
        )

    def _execution_environment(self, cluster: "VirtualCluster", known_tables: Tables) -> ExecutionEnvironment:
        clock = asyncio.get_running_loop().time
        chooser = WorkerChooser("z", random.Random(self.name))
        chooser.update(known_tables.workers, known_tables.configuration)
        admissions = BatchAdmissions(random.Random(self.name))
        admissions.update(clock(), known_tables, chooser)
        return ExecutionEnvironment(
            AdmissionDispatcher(lambda: known_tables, chooser, admissions, clock),
            cluster.workers,
            lambda: known_tables,
            lambda now: self.alive and self.group.has_lease(now),
            clock,
        )


class VirtualCluster:
    """The stores, their network, and a caller that behaves as a gateway does."""

    def __init__(
        self,
        points: FaultPoints,
        batch_route: Route | None = None,
        event_interval_s: float = EVENT_INTERVAL_S,
        state_type: type[BatchState] = BatchState,
    ) -> None:
        self.points = points
        self.route = batch_route or route()
        self.state_type = state_type
        self.worker_records: tuple[WorkerRecord, ...] = (worker("w1", capacity=50),)
        self.workers = Workers(points, event_interval_s)
        self.isolated: set[str] = set()
        self.stores: dict[str, Store] = {}
        self._restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        for name in NAMES:
            await self._start_store(name, CountingStorage(self.points))

    async def stop(self) -> None:
        for store in self.stores.values():
            store.service.close()
            await store.group.stop()
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)

    async def _start_store(self, name: str, storage: CountingStorage) -> None:
        storage.lost = False
        store = Store(name, self, storage)
        self.stores[name] = store
        await store.group.start()

    def send(self, sender: Store, message: ConsensusMessage) -> None:
        self.points.reach()
        if sender.alive and not self.isolated & {sender.name, message.target}:
            asyncio.get_running_loop().call_soon(self._deliver, message)

    def _deliver(self, message: ConsensusMessage) -> None:
        store = self.stores[message.target]
        if store.alive and message.sender not in self.isolated and message.target not in self.isolated:
            store.group.receive(message)

    # Faults

    def leader(self) -> Store | None:
        return next((store for store in self.stores.values() if store.alive and store.group.is_leader), None)

    def kill(self, store: Store) -> None:
        """The store loses power: it sends, saves and answers nothing more. It restarts after `DOWN_S`."""
        store.alive = False
        store.storage.lost = True
        store.service.close()
        task = asyncio.get_running_loop().create_task(self._restart(store))
        self._restarts.add(task)

    async def _restart(self, store: Store) -> None:
        await store.group.stop()
        await asyncio.sleep(DOWN_S)
        await self._start_store(store.name, store.storage)

    def kill_leader(self) -> None:
        if (leader := self.leader()) is not None:
            self.kill(leader)

    def kill_all(self) -> None:
        for store in tuple(self.stores.values()):
            if store.alive:
                self.kill(store)

    def isolate_leader(self) -> None:
        """Puts the leader into a network partition for two seconds: nobody reaches it, but it still runs."""
        if (leader := self.leader()) is not None:
            self.isolated.add(leader.name)
            asyncio.get_running_loop().call_later(2.0, self.isolated.discard, leader.name)

    # The caller

    async def call(self, call: BatchCall) -> BatchReply:
        """Sends the call to one store after the other until one answers."""
        async with asyncio.timeout(GIVE_UP_S):
            while True:
                for name in NAMES:
                    reply = await self.call_store(name, call)
                    if reply is not None:
                        return reply
                await asyncio.sleep(RETRY_DELAY_S)

    async def call_store(self, name: str, call: BatchCall) -> BatchReply | None:
        """The store's answer; None if it does not arrive, or if the store does not lead."""
        store = self.stores[name]
        self.points.reach()
        if not store.alive or name in self.isolated:
            return None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await store.service.handle(call)
        except TimeoutError:
            return None
        self.points.reach()
        if not store.alive or name in self.isolated or isinstance(reply, NotLeading | OutcomeUnknown):
            return None
        return reply
