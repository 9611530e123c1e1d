"""A few items that no worker has memory for keep all other items from the workers, which stand idle.

Two batch jobs are accepted at once. One has three items that are larger than a worker's memory; workers
reject these as though they were full, and are sound otherwise. Nothing else happens.
"""

import asyncio
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins import Record, Run, Tier, batch_route, call, configuration_of, run_case

WORKERS, CAPACITY = 3, 8
MEMORY_TOKENS = 435_311  # of a worker, as in the configuration
EVENTS, EVENT_S = 20, 0.02  # of an item
LARGE_ITEMS, JOB_ITEMS = 3, 20
LARGE_PROMPT, PROMPT, OUTPUT = 440_000, 540, 400  # tokens
FINISH_S = 10.0  # after the end of traffic, as `finish_s`
CALM_S, QUIET_S = 5.0, 3.0  # of the rule: no worker had an item, no item of any job was finished
KEEP_S = 40


@dataclass(slots=True)
class Work:
    """What the workers had and finished, by job; monotonic times."""

    busy: dict[str, int] = field(default_factory=lambda: defaultdict(int))  # by worker
    last_had: dict[str, float] = field(default_factory=dict)
    finished_at: float = 0.0
    rejected: int = 0


def item(name: str, prompt: int) -> dict[str, Any]:
    """Returns one item of a batch job."""
    headers = {"Model-Id": "m", "Token-Usage": f"{prompt},{OUTPUT}"}
    return {"id": name, "path": "/jobs/x", "headers": headers, "body": "aG91cnM=", "tokens": prompt + OUTPUT}


def handler(record: Record, work: Work) -> Any:
    """Returns the behaviour of the workers."""

    async def handle(run: Run) -> None:
        worker = run.worker.id
        tokens = sum(int(number) for number in run.headers["token-usage"].split(","))
        if tokens > MEMORY_TOKENS or work.busy[worker] >= CAPACITY:
            work.rejected += 1
            record.line(
                f"worker {worker}: rejects {run.id} ({tokens} tokens), runs {work.busy[worker]} items"
            )
            load = f"{work.busy[worker]},0,{CAPACITY}"
            run.answer("503 Service Unavailable", {"Not-Executed": "1", "Instance-Load": load})
            return
        work.busy[worker] += 1
        record.line(f"worker {worker}: runs {run.id}")
        try:
            run.begin_stream()
            for number in range(run.first_event, EVENTS + 1):
                work.last_had[run.id.partition(".")[0]] = time.monotonic()
                await asyncio.sleep(EVENT_S)
                run.send(f"id: {number}\ndata: word-{number}\n\n")
                await run.writer.drain()
            run.end_stream()
            work.finished_at = time.monotonic()
        finally:
            work.busy[worker] -= 1

    return handle


async def submit(tier: Tier, record: Record, job: str, items: list[dict[str, Any]]) -> bool:
    """Submits a batch job; returns whether it was accepted."""
    headers = {"Request-Id": job, "Content-Type": "application/json"}
    body = json.dumps({"requests": items}).encode()
    answer = await call(tier.fronts[0], f"POST /jobs/{job}", headers, body, 4.0)
    record.line(f"client: {job} with {len(items)} items is answered {answer.status}")
    return answer.status == 202


async def read_results(tier: Tier, record: Record, job: str) -> list[dict[str, str]]:
    """Reads all results of a job."""
    results: list[dict[str, str]] = []

    async def read() -> bool:
        results.clear()
        while True:
            answer = await call(tier.fronts[1], f"GET /v1/lots/{job}?after={len(results)}")
            if answer.status != 200:
                return False
            page = answer.json()["results"]
            results.extend(page)
            if not page:
                return True

    await tier.until(f"{job} can be read", read)
    states = [result["state"] for result in results]
    counts = f"{states.count('succeeded')} succeeded, {states.count('dead_letter')} dead_letter"
    record.line(f"client: {job} lists {counts}")
    return results


async def breaks_rule(tier: Tier, record: Record, work: Work, jobs: dict[str, set[str]]) -> bool:
    """Judges LOST once `finish_s` is over, with its excuses."""
    now = time.monotonic()
    broken = False
    half_full = any(2 * busy >= CAPACITY for busy in work.busy.values())
    for job, items in jobs.items():
        unlisted = items - {result["id"] for result in await read_results(tier, record, job)}
        had = now - work.last_had.get(job, 0.0) < CALM_S
        quiet = now - work.finished_at >= QUIET_S
        record.verdict(
            f"{job}: {len(unlisted)} of {len(items)} items that workers can do are not listed; "
            f"{'a' if had else 'no'} worker had one in the last {CALM_S:g} s, "
            f"workers half full: {half_full}, no item finished in the last {QUIET_S:g} s: {quiet}"
        )
        broken = broken or bool(unlisted and not had and not half_full and quiet)
    return broken


async def case(record: Record, troubled: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    tier = Tier(record)
    work = Work()
    try:
        await tier.start(configuration_of(batch_route(keep_s=KEEP_S), capacity=CAPACITY))
        await tier.start_workers(WORKERS, handler(record, work), CAPACITY)
        prompt = LARGE_PROMPT if troubled else PROMPT
        large = [item(f"sheets.large-{number}", prompt) for number in range(LARGE_ITEMS)]
        jobs = {
            job: [item(f"{job}.{number}", PROMPT) for number in range(JOB_ITEMS)]
            for job in ("sheets", "hours")
        }
        accepted = await submit(tier, record, "sheets", large + jobs["sheets"])
        accepted = await submit(tier, record, "hours", jobs["hours"]) and accepted
        assert accepted, "the jobs must be accepted"
        ids = {job: {each["id"] for each in items} for job, items in jobs.items()}
        await asyncio.sleep(FINISH_S + 0.5)
        held = not await breaks_rule(tier, record, work, ids)
        if not held:
            await asyncio.sleep(KEEP_S - FINISH_S + 2.0)
            for job in ids:
                states = [result["state"] for result in await read_results(tier, record, job)]
                dead = states.count("dead_letter")
                record.verdict(f"{job}, after keep_s: {dead} of {len(states)} are dead_letter")
        record.verdict(f"workers rejected {work.rejected} requests")
        return held
    finally:
        await tier.close()


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), case)
