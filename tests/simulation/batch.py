"""Batch clients, the workers that run their items, and the operator who decommissions stores.

The clients check as they go that acknowledged jobs stay known, that results never change, that rejected jobs
never run and that cancelled ones stop in time.
"""

import asyncio
import base64
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import orjson

from pewterring.batch.execution import EventHandler
from pewterring.batch.items import Failure, QueuedItem
from pewterring.configuration.model import RouteType
from pewterring.control.calls import DECOMMISSION_START_PATH, DECOMMISSION_STATUS_PATH, Answer, Call
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.subscriber import FeedSubscriber
from pewterring.gateway.batch_calls import BatchCalls, BatchRequest
from tests.simulation.schedule import Role

if TYPE_CHECKING:
    from tests.simulation.world import World

EVENTS = 3  # in the answer to each item: enough to resume in the middle
EVENT_S = 0.03
CALL_TIMEOUT_S = 2.5
CANCEL_S = 3.0  # `cancel_ms`: no item of a job runs later than that after its cancellation was acknowledged
COMMIT_S = 1.0  # `settle_ms`: a job is known everywhere so long after its acknowledgement
FINISH_S = 10.0  # `finish_s`: all accepted jobs finish within that after the last fault
SUBMIT_ATTEMPTS = 12
CONTROL_TIMEOUT_S = 1.0

UNFIT = "unfit"  # in the name of an item: no worker can run it
UNFIT_SHARE = 0.1  # of the items that would succeed otherwise
UNFIT_SHARE_OF_CHANGING_LIMITS = 0.5  # where limits change: such items wait until a limit gives them up
# How the attempts at an unfit item end, one after the other.
UNFIT_FAILURES = (
    Failure.DECLINED,
    Failure.REJECTED,
    Failure.OTHER_VERSION,
    Failure.TRUNCATED,
    Failure.SERVER_ERROR,
)


class Items:
    """The workers' side of items: stands for the item runner of a store."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self.runs: Counter[str] = Counter()
        self.refused: set[str] = set()  # jobs of which every attempt was rejected
        self.ended: dict[str, float] = {}  # jobs whose cancellation was acknowledged, and when
        self.sent_s: dict[str, float] = {}  # when each job was first sent
        self.failed_attempts: Counter[str] = Counter()  # answers of 500, by item

    async def run(self, queued: QueuedItem, _worker: WorkerRecord, on_event: EventHandler) -> Failure | None:
        """Runs one item at one worker."""
        name = queued.spec.id
        job = name.partition(".")[0]
        now = self._world.loop.time()
        if job in self.refused:
            self._world.invariants.record_violation(f"{name} runs, and its job was refused")
        if now > self.ended.get(job, now) + CANCEL_S:
            self._world.invariants.record_violation(f"{name} runs after the end of its job was acknowledged")
        self.runs[name] += 1
        if "impossible" in name:
            return Failure.IMPOSSIBLE
        if UNFIT in name:
            return UNFIT_FAILURES[self.runs[name] % len(UNFIT_FAILURES)]
        if "fails" in name and self.runs[name] == 1:
            self.failed_attempts[name] += 1
            return Failure.FAILED
        for number in range(int(queued.last_event_id or 0) + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            on_event(str(number), f"{name}.{number}")
        return None


def complete_text(name: str) -> str:
    """Returns the complete answer of a worker to an item."""
    return "\n".join(f"{name}.{number}" for number in range(1, EVENTS + 1))


async def answer_batch_call(calls: BatchCalls, subscriber: FeedSubscriber, call: Call) -> Answer:
    """Answers a batch call as a gateway does; the base version stands for the id of a job."""
    request = BatchRequest(call.method, call.path, "h", call.base_version, 0.0, CALL_TIMEOUT_S, call.body)
    if call.method != "POST":
        answer = await calls.call(request)
        return Answer(answer.status, answer.body)
    configuration = subscriber.tables.configuration
    if configuration is None:
        return Answer(503)
    if configuration.routes[0].route_type is not RouteType.BATCH_JOB:
        return Answer(404)
    answer = await calls.submit(request, configuration.routes[0])
    return Answer(answer.status, answer.body)


def _is_drawn_unfit(item: str, share: float) -> bool:
    """Draws by the item's name alone, so that the draws of a seed's other events stay as they are."""
    return item[-1].isdigit() and random.Random(item).random() < share


class _Result(msgspec.Struct, frozen=True):
    id: str
    state: str
    text: str


class _Page(msgspec.Struct, frozen=True):
    total: int
    next_page_token: int
    results: tuple[_Result, ...]


class _Job:
    """One job as its client knows it."""

    def __init__(self, name: str, items: tuple[str, ...]) -> None:
        self.name = name
        self.items = items
        self.accepted_at_s = 0.0
        self.ended = False
        self.results: list[_Result] = []

    @property
    def is_complete(self) -> bool:
        """Whether no more results are expected. Unfit items have none before they are given up."""
        listed = {result.id for result in self.results}
        return self.ended or all(item in listed for item in self.items if UNFIT not in item)


class BatchClient:
    """Submits jobs, reads their results from any position, and occasionally cancels one."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._rng = random.Random(world.rng.random())
        self._name = name
        self._jobs: list[_Job] = []
        self._count = 0
        self.busy = True

    async def work(self) -> None:
        """Runs until the simulation ends; submits no new job once `busy` is false."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.1, 0.5))
            if self.busy and self._rng.random() < 0.5:
                await self._submit()
            for job in self._jobs[-6:] if self.busy else self._jobs:
                if not job.is_complete or self._rng.random() < 0.1:
                    await self._read(job)
            if self.busy and self._jobs and self._rng.random() < 0.05:
                await self._end(self._rng.choice(self._jobs))

    def unfinished(self) -> list[str]:
        """Describes the jobs that were accepted and whose results are not complete."""
        return [
            f"job {job.name} has {len(job.results)} of {len(job.items)} results"
            for job in self._jobs
            if not job.is_complete
        ]

    async def _call(self, call: Call) -> Answer | None:
        ip = self._rng.choice(tuple(self._world.gateways))
        return await self._world.http.call(ip, call, CALL_TIMEOUT_S)

    def _new_job(self) -> _Job:
        self._count += 1
        name = f"{self._name}-{self._count}"
        kinds = self._rng.choices(("", "fails", "impossible"), (8, 1, 1), k=self._rng.randint(1, 4))
        items = [f"{name}.{number}{kind}" for number, kind in enumerate(kinds)]
        share = UNFIT_SHARE_OF_CHANGING_LIMITS if self._world.limits.are_changing else UNFIT_SHARE
        return _Job(name, tuple(f"{item}{UNFIT}" if _is_drawn_unfit(item, share) else item for item in items))

    async def _submit(self) -> None:
        """Submits a job until it is accepted; one that every attempt rejected must never run."""
        job = self._new_job()
        body = base64.b64encode(b"body").decode()
        items = [
            {"id": item, "path": "/jobs/x", "headers": {}, "body": body, "tokens": 5} for item in job.items
        ]
        call = Call("POST", "/jobs/", job.name, orjson.dumps({"requests": items}))
        only_refusals = True
        self._world.items.sent_s[job.name] = self._world.loop.time()
        for _ in range(SUBMIT_ATTEMPTS):
            answer = await self._call(call)
            if answer is not None and answer.status == 202:
                job.accepted_at_s = self._world.loop.time()
                self._jobs.append(job)
                self._world.reached(
                    "job_acked", self._world.leader(Role.STORE) or self._world.present_machines(Role.STORE)[0]
                )
                return
            only_refusals &= answer is not None and answer.status in (429, 503)
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        if only_refusals:
            self._world.items.refused.add(job.name)

    async def _read(self, job: _Job) -> None:
        requested_at_s = self._world.loop.time()
        after = self._rng.randint(0, len(job.results)) if self._rng.random() < 0.3 else len(job.results)
        known = len(job.results)
        answer = await self._call(Call("GET", f"/v1/lots/{job.name}?after={after}"))
        if answer is None or answer.status in (502, 503, 504):
            return
        if answer.status != 200:
            if requested_at_s > job.accepted_at_s + COMMIT_S:
                self._world.invariants.record_violation(
                    f"{job.name} was answered {answer.status} after its 202"
                )
            return
        page = msgspec.json.decode(answer.body, type=_Page)
        if page.total != len(job.items):
            self._world.invariants.record_violation(
                f"{job.name} has {page.total} items, {len(job.items)} were sent"
            )
        if page.next_page_token < known:
            self._world.invariants.record_violation(
                f"{job.name} had {known} results, and now {page.next_page_token}"
            )
        for position, result in enumerate(page.results, after):
            self._take(job, position, result)

    def _take(self, job: _Job, position: int, result: _Result) -> None:
        if position < len(job.results):
            if job.results[position] != result:
                self._world.invariants.record_violation(
                    f"{job.name} held {job.results[position]} at {position}, and now {result}"
                )
            return
        if result.id not in job.items or any(other.id == result.id for other in job.results):
            self._world.invariants.record_violation(
                f"{job.name} lists {result.id} at {position}, as a stranger or again"
            )
        if result.state == "succeeded" and result.text != complete_text(result.id):
            self._world.invariants.record_violation(f"{result.id} succeeded with {result.text!r}")
        may_fail = "impossible" in result.id or result.id in self._world.invariants.given_up
        if result.state != "succeeded" and not may_fail and not job.ended:
            self._world.invariants.record_violation(f"{result.id} is {result.state}")
        job.results.append(result)

    async def _end(self, job: _Job) -> None:
        job.ended = True
        answer = await self._call(Call("DELETE", f"/v1/lots/{job.name}"))
        if answer is not None and answer.status == 200:
            self._world.items.ended.setdefault(job.name, self._world.loop.time())


class StoreDecommissioner:
    """Decommissions a store from time to time; an empty one is removed at once and replaced later."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._rng = random.Random(world.rng.random())

    async def work(self) -> None:
        """Runs until the simulation ends."""
        while True:
            await asyncio.sleep(self._rng.uniform(3.0, 10.0))
            ip = self._rng.choice([machine.ip for machine in self._world.present_machines(Role.STORE)])
            if await self._start(f"node-{ip}"):
                await self._wait(ip)

    async def _call(self, call: Call) -> Answer | None:
        ip = self._rng.choice(self._world.known_control())
        return await self._world.http.call(ip, call, CONTROL_TIMEOUT_S)

    async def _start(self, node_id: str) -> bool:
        for _ in range(8):
            answer = await self._call(
                Call("POST", f"{DECOMMISSION_START_PATH}{node_id}", body=b'{"duration_s":10}')
            )
            if answer is not None and answer.status < 500:
                return answer.status == 200
            await asyncio.sleep(0.2)
        return False

    async def _wait(self, ip: str) -> None:
        while not self._world.stores[ip].is_removed:
            await asyncio.sleep(0.3)
            answer = await self._call(Call("GET", f"{DECOMMISSION_STATUS_PATH}node-{ip}"))
            if answer is not None and answer.status == 200 and b"succeeded" in answer.body:
                self._remove(ip)

    def _remove(self, ip: str) -> None:
        machine = self._world.stores[ip]
        if machine.is_removed:
            return
        self._world.invariants.on_store_emptied(ip)
        machine.wipe()
        machine.removed_s = self._world.loop.time()
        self._world.reached("retired", machine)
        successor = self._world.new_store()
        self._world.loop.call_outside(
            self._world.loop.time() + self._rng.uniform(0.5, 5.0), self._world.start, successor
        )
