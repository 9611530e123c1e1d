"""Three stores of one partition in one loop and in virtual time, with numbered points at which one may fail.

Only sockets, disks and workers are stand-ins: consensus, state, service, execution and scheduler are real.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence

from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.dispatch import AdmissionDispatcher
from pewterring.batch.execution import EventHandler, ExecutionEnvironment, ItemExecution
from pewterring.batch.group_log import GroupLog
from pewterring.batch.messages import NotLeading, OutcomeUnknown
from pewterring.batch.results import ResultCommitter
from pewterring.batch.retention import RetentionLimits
from pewterring.batch.scheduler import Failure, QueuedItem
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
EVENTS = 3  # of the answer to an item
EVENT_PAUSE_S = 0.02
CALL_S = 1.0  # a caller's patience with one store
RETRY_PAUSE_S = 0.03  # of a caller between attempts
DOWN_S = 0.4  # how long a store that failed stays away
GIVE_UP_S = 60.0  # virtual time after which a call counts as never answered


class FaultPoints:
    """Counts the points that a scenario passes; at number `at` it calls `action` once."""

    def __init__(self, at: int = 0, action: Callable[[], None] | None = None) -> None:
        self.passed = 0
        self._at = at
        self._action = action

    def reach(self) -> None:
        self.passed += 1
        if self.passed == self._at and self._action is not None:
            self._action()


class Workers:
    """Runs items: some cannot be done, some fail once or always, the others give three events."""

    def __init__(self, points: FaultPoints, event_pause_s: float) -> None:
        self._points = points
        self._event_pause_s = event_pause_s
        self.finished_at: dict[str, float] = {}  # when a whole answer was given first
        self.begun: Counter[str] = Counter()  # runs from the first event, by item
        self.running: Counter[str] = Counter()
        self.most_at_once: Counter[str] = Counter()

    async def run(self, queued: QueuedItem, _worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        name = queued.spec.id
        self._points.reach()
        first = int(queued.last_event_id or 0) + 1
        self.begun[name] += first == 1
        self.running[name] += 1
        self.most_at_once[name] = max(self.most_at_once[name], self.running[name])
        try:
            if name.startswith("impossible"):
                return Failure.IMPOSSIBLE
            if name.startswith("hopeless"):
                return Failure.FAILED
            if name.startswith("fails") and self.begun[name] == 1:
                return Failure.FAILED
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(self._event_pause_s)
                self._points.reach()
                on_event(str(number), f"{name}.{number}")
            self.finished_at.setdefault(name, asyncio.get_running_loop().time())
            return None
        finally:
            self.running[name] -= 1


def complete_text(name: str) -> str:
    return "\n".join(f"{name}.{number}" for number in range(1, EVENTS + 1))


class CountingStorage(MemoryStorage):
    """Passes a point before and after each save."""

    def __init__(self, points: FaultPoints) -> None:
        super().__init__(NAMES)
        self._points = points
        self.lost = False  # what is saved now is lost with the power

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        self._points.reach()
        if not self.lost:
            super().save(hard_state, truncate_from, entries)
        self._points.reach()


class Store:
    """One incarnation of one store."""

    def __init__(self, name: str, cluster: "VirtualCluster", storage: CountingStorage) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.alive = True
        self.storage = storage
        self.state = cluster.state_type(loop.time)
        self.group = self._build_group(cluster)
        known = tables(worker("w1", capacity=50), routes=(cluster.route,))
        log = GroupLog(self.group)
        self.execution = ItemExecution(
            self.state, ResultCommitter(log), self._execution_environment(cluster, known)
        )
        service_environment = ServiceEnvironment(
            lambda: known,
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

    def _execution_environment(self, cluster: "VirtualCluster", known: Tables) -> ExecutionEnvironment:
        clock = asyncio.get_running_loop().time
        chooser = WorkerChooser("z", random.Random(self.name))
        chooser.update(known.workers, known.configuration)
        admissions = BatchAdmissions(random.Random(self.name))
        admissions.update(clock(), known, chooser)
        return ExecutionEnvironment(
            AdmissionDispatcher(lambda: known, chooser, admissions, clock),
            cluster.workers,
            lambda: known,
            lambda now: self.alive and self.group.has_lease(now),
            clock,
        )


class VirtualCluster:
    """The stores, their network, and a caller like a gateway."""

    def __init__(
        self,
        points: FaultPoints,
        limited: Route | None = None,
        event_pause_s: float = EVENT_PAUSE_S,
        state_type: type[BatchState] = BatchState,
    ) -> None:
        self.points = points
        self.route = limited or route()
        self.state_type = state_type
        self.workers = Workers(points, event_pause_s)
        self.isolated: set[str] = set()
        self.stores: dict[str, Store] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        for name in NAMES:
            await self._begin(name, CountingStorage(self.points))

    async def stop(self) -> None:
        for store in self.stores.values():
            store.service.close()
            await store.group.stop()
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def _begin(self, name: str, storage: CountingStorage) -> None:
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
        """Its power is gone at this moment: nothing more is sent, saved or answered. It comes back later."""
        store.alive = False
        store.storage.lost = True
        store.service.close()
        task = asyncio.get_running_loop().create_task(self._restart(store))
        self._closing.add(task)

    async def _restart(self, store: Store) -> None:
        await store.group.stop()
        await asyncio.sleep(DOWN_S)
        await self._begin(store.name, store.storage)

    def kill_leader(self) -> None:
        if (leader := self.leader()) is not None:
            self.kill(leader)

    def kill_all(self) -> None:
        for store in tuple(self.stores.values()):
            if store.alive:
                self.kill(store)

    def isolate_leader(self) -> None:
        """The others and callers cannot reach it; it works on and does not know yet."""
        if (leader := self.leader()) is not None:
            self.isolated.add(leader.name)
            asyncio.get_running_loop().call_later(2.0, self.isolated.discard, leader.name)

    # The caller

    async def call(self, call: BatchCall) -> BatchReply:
        """Asks one store after the other until one answers."""
        async with asyncio.timeout(GIVE_UP_S):
            while True:
                for name in NAMES:
                    reply = await self.call_store(name, call)
                    if reply is not None:
                        return reply
                await asyncio.sleep(RETRY_PAUSE_S)

    async def call_store(self, name: str, call: BatchCall) -> BatchReply | None:
        """One store's answer; None where it has none or it does not arrive."""
        store = self.stores[name]
        self.points.reach()
        if not store.alive or name in self.isolated:
            return None
        try:
            async with asyncio.timeout(CALL_S):
                reply = await store.service.handle(call)
        except TimeoutError:
            return None
        self.points.reach()
        if not store.alive or name in self.isolated or isinstance(reply, NotLeading | OutcomeUnknown):
            return None
        return reply
