"""A worker's late second answer is taken for the answer to the next attempt of the same request.

Clients send requests that may not run twice to a service whose workers are often full. One of the two workers
is in trouble at times: it sends some of its answers once more, in the place of the next one due on that
connection.
"""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from standins import HOST, SERVICE, Record, Run, Tier, call, configuration_of, run_case

CAPACITY, QUEUE = 3, 1  # of each worker
WORK_S = 0.03
CLIENTS = 24
PERIODS = 15  # of trouble, each behind a pause
TROUBLE_S, PAUSE_S = 5.0, 1.0
SPOILT_SHARE = 0.03  # of the answers of the worker in trouble
PROMISES = (408, 421, 429, 503)  # to a client: the request has not run and never will
ROUTE = {
    "name": "r-punch", "hostname": HOST, "path_prefix": "/punch/", "route_type": "non_idempotent",
    "timeout_ms": 1500, "target_latency_ms": 200, "priority": 0, "backend": SERVICE, "max_attempts": 1,
}  # fmt: skip


class Workers:
    """What both workers do: each runs `CAPACITY` requests, queues `QUEUE` and declines the others."""

    def __init__(self, record: Record) -> None:
        self.runs: Counter[str] = Counter()  # by request
        self.in_trouble = ""  # id of the worker that is in trouble now, if any
        self.declined = self.repeated = 0
        self._record = record
        self._slots: dict[str, asyncio.Semaphore] = {}
        self._waiting: Counter[str] = Counter()
        self._late: dict[tuple[str, int], bytes] = {}  # second answers to send, by worker and connection

    async def handle(self, run: Run) -> None:
        """Answers one request."""
        worker = run.worker.id
        late = self._late.pop((worker, run.connection), None)
        if late is not None:
            self._record.line(f"worker {worker}: a late second answer on connection {run.connection}")
            run.writer.write(late)
        slots = self._slots.setdefault(worker, asyncio.Semaphore(CAPACITY))
        if slots.locked() and self._waiting[worker] >= QUEUE:
            self.declined += 1
            self._record.line(f"worker {worker}: declines {run.id} on connection {run.connection}")
            headers = {"Not-Executed": "1", "Instance-Load": f"{CAPACITY},{QUEUE},{CAPACITY}"}
            self._may_repeat(run, run.answer("503 Service Unavailable", headers))
            return
        self._waiting[worker] += 1
        async with slots:
            self._waiting[worker] -= 1
            self.runs[run.id] += 1
            self._record.line(f"worker {worker}: runs {run.id} on connection {run.connection}")
            await asyncio.sleep(WORK_S * random.uniform(0.5, 1.5))
        headers = {"Response-Signature": f"{worker}.{run.id}"}
        self._may_repeat(run, run.answer("200 OK", headers, f"done {run.id}".encode()))

    def _may_repeat(self, run: Run, answer: bytes) -> None:
        """Decides whether the answer is sent once more, behind the next request on its connection."""
        if run.worker.id == self.in_trouble and random.random() < SPOILT_SHARE:
            self.repeated += 1
            self._late[run.worker.id, run.connection] = answer


async def play_clients(tier: Tier, record: Record, ends_at: float) -> dict[str, int]:
    """Sends requests until `ends_at`; returns the status of each, 0 if no answer came."""
    statuses: dict[str, int] = {}

    async def play(client: int) -> None:
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            request_id = f"punch-{client}-{number}"
            headers = {"Request-Id": request_id, "Request-Timeout-Ms": "1500"}
            front = tier.fronts[(client + number) % len(tier.fronts)]
            record.line(f"client: sends {request_id} to {front}")
            answer = await call(front, "POST /punch/1", headers, b"in 07:00")
            statuses[request_id] = answer.status
            record.line(f"client: {request_id} is answered {answer.status}")
            retry_after = float(answer.headers.get("retry-after", "0"))
            await asyncio.sleep(retry_after + random.uniform(0.0, 0.05))

    await asyncio.gather(*(play(client) for client in range(CLIENTS)))
    return statuses


async def trouble(tier: Tier, record: Record, workers: Workers) -> None:
    """Has one worker be in trouble for some seconds, again and again."""
    for _ in range(PERIODS):
        await asyncio.sleep(PAUSE_S)
        workers.in_trouble = tier.workers[0].id
        record.line(f"worker {workers.in_trouble}: is in trouble")
        await asyncio.sleep(TROUBLE_S)
        record.line(f"worker {workers.in_trouble}: is well again")
        workers.in_trouble = ""


async def case(record: Record, troubled: bool) -> bool:
    """Plays the case; returns whether the rules held."""
    tier = Tier(record)
    workers = Workers(record)
    try:
        await tier.start(configuration_of(ROUTE, capacity=CAPACITY))
        await tier.start_workers(2, workers.handle, CAPACITY)
        ends_at = time.monotonic() + PERIODS * (PAUSE_S + TROUBLE_S) + 1.0
        troubles = asyncio.create_task(trouble(tier, record, workers)) if troubled else None
        statuses = await play_clients(tier, record, ends_at)
        await asyncio.sleep(1.5)
        if troubles is not None:
            await troubles
    finally:
        await tier.close()
    record.verdict(
        f"{len(statuses)} requests, answered {dict(Counter(statuses.values()))}; workers ran "
        f"{sum(workers.runs.values())}, declined {workers.declined}, repeated {workers.repeated} answers"
    )
    twice = [each for each, runs in workers.runs.items() if runs > 1]
    refused = [each for each in workers.runs if statuses.get(each) in PROMISES]
    record.verdict(f"TWICE: {len(twice)} requests ran more than once: {' '.join(twice)}")
    record.verdict(f"REFUSED: {len(refused)} requests were refused and ran: {' '.join(refused)}")
    return not twice and not refused


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), case)
