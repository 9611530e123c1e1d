"""One store that leads a partition, with a log that is not replicated and without sockets."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.dispatch import AdmissionDispatcher
from pewterring.batch.execution import ExecutionEnvironment, ItemExecution
from pewterring.batch.messages import ReadResults, ResultPage, SubmitJob
from pewterring.batch.results import ResultCommitter
from pewterring.batch.retention import RetentionLimits
from pewterring.batch.service import BatchService, ServiceEnvironment
from pewterring.batch.state import BatchState
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import WorkerChooser
from tests.batch.stand_ins import ROUTE, FakeLog, FakeRunner, ManualClock, item, tables, until, worker

LONG_MS = 60_000  # of a read that waits for a result
MAX_STATE_BYTES = 1_000


class Store:
    """One store that leads a partition; its log, runner and clock are fakes."""

    def __init__(self, given_tables: Tables, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.chooser = WorkerChooser("z", random.Random(1))
        self.admissions = BatchAdmissions(random.Random(2))
        self.take_tables(given_tables)
        self.fresh = True
        self.tables_bind = True
        self.state = BatchState(self.clock)
        self.log = FakeLog(self.state)
        self.runner = FakeRunner()
        self.execution = ItemExecution(self.state, ResultCommitter(self.log), self._execution_environment())
        service_environment = ServiceEnvironment(
            lambda: self.tables,
            lambda: self.tables_bind,
            self.clock,
            RetentionLimits(status_s=120, result_budget_bytes=0),
            max_state_bytes=MAX_STATE_BYTES,
        )
        self.service = BatchService(self.log, self.state, self.execution, service_environment)

    def _execution_environment(self) -> ExecutionEnvironment:
        return ExecutionEnvironment(
            AdmissionDispatcher(lambda: self.tables, self.chooser, self.admissions, self.clock),
            self.runner,
            lambda: self.tables,
            lambda _now: self.fresh,
            self.clock,
        )

    def take_tables(self, given_tables: Tables) -> None:
        self.tables = given_tables
        self.chooser.update(given_tables.workers, given_tables.configuration)
        self.admissions.update(self.clock.now, given_tables, self.chooser)

    async def lead(self) -> None:
        self.log.is_leader = True
        self.service.leadership_changed(True)
        await self.service.handle(ReadResults("none", 0))

    def lose_leadership(self) -> None:
        self.log.is_leader = False
        self.log.leader = "10.0.0.2#b"
        self.service.leadership_changed(False)

    async def page(self, job: str, after: int = 0, wait_ms: float = 0.0) -> ResultPage:
        page = await self.service.handle(ReadResults(job, after, wait_ms))
        assert isinstance(page, ResultPage)
        return page

    async def exchanges(self, count: int) -> None:
        await until(lambda: len(self.runner.exchanges) >= count)


def submit(job: str, *names: str, tokens: int = 10) -> SubmitJob:
    return SubmitJob(job, *ROUTE, items=tuple(item(name, tokens) for name in names))


def scenario(test: Callable[[Store], Awaitable[None]], given_tables: Tables | None = None) -> None:
    async def run() -> None:
        store = Store(given_tables or tables(worker("w1"), worker("w22")))
        await store.lead()
        await test(store)
        store.service.close()

    asyncio.run(run())
