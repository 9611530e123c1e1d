"""Clients of the tier: requests that may run once, streams, and batch jobs, on connections that stay open."""

import asyncio
import base64
import json
import random
from collections.abc import Callable
from typing import Any

from benchmarks.soak.fleet import Member
from benchmarks.soak.limits import ConfiguredLimits
from benchmarks.soak.report import Report
from benchmarks.soak.workers import EVENTS, MEMORY_TOKENS, text_of
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch

HOST = "soak.example"
CONNECTIONS = 64  # of all clients to one gateway
LIVE_TIMEOUT_S = 2.0
BATCH_TIMEOUT_S = 6.0
RETRY_S = 0.1
PAUSE_S = 0.02  # longest pause of a live client between two requests
ITEMS = 12  # of a job
UNFIT_SHARE = 0.15  # of the items, which no worker can run
USUAL_TOKENS = 20
FINISH_S = 10.0  # `finish_s`: accepted jobs have all their results so long after the end of the disturbances
SUCCEEDED = "succeeded"


class Clients:
    """All clients of a run. `gateways` are those that get new requests; each client stays with one."""

    def __init__(self, gateways: list[Member], report: Report, rng: random.Random) -> None:
        self._gateways = gateways
        self._report = report
        self._rng = rng
        self._pool = WorkerPool()
        self._stopped = False
        self.limits = ConfiguredLimits()
        self._jobs: dict[str, list[str]] = {}  # accepted jobs and those of their items that can run
        self._sent_at: dict[str, float] = {}  # when each job was first sent
        self._seen: dict[str, list[dict[str, Any]]] = {}  # results that were read before the end, by job

    def stop(self) -> None:
        """Lets all clients end after the request that they wait for."""
        self._stopped = True

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def call(
        self, address: str, first: str, headers: dict[str, str], body: bytes = b"", timeout_s: float = 2.0
    ) -> WholeAnswer:
        """Sends one request, on an open connection if there is one. Raises ExchangeError."""
        method, _, target = first.partition(" ")
        pairs = [(name.encode(), value.encode()) for name, value in {"Host": HOST, **headers}.items()]
        request_id = headers.get("Request-Id")
        request = SendRequest(method, target, pairs, body, request_id.encode() if request_id else None)
        return await fetch(self._pool, address, request, CONNECTIONS, timeout_s)

    # Live

    async def send_requests(self, client: int) -> None:
        """Sends requests that may run once, to one gateway until it refuses or breaks off."""
        number, gateway = 0, self._rng.choice(self._gateways)
        while not self._stopped:
            number += 1
            request_id = f"punch-{client}-{number}"
            try:
                answer = await self.call(gateway.front, "POST /punch/1", _live_headers(request_id), b"x")
            except ExchangeError:
                self._report.statuses[request_id] = 0
                gateway = self._rng.choice(self._gateways)
                await asyncio.sleep(RETRY_S)
                continue
            self._report.statuses[request_id] = answer.head.status
            if answer.head.status == 200 and answer.body != request_id.encode():
                self._report.faults.append(f"MIXED: {request_id} is answered {answer.body[:50]!r}")
            await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def read_streams(self, client: int) -> None:
        """Reads streams, from one gateway until it refuses or breaks off."""
        number, gateway = 0, self._rng.choice(self._gateways)
        while not self._stopped:
            number += 1
            request_id = f"chat-{client}-{number}"
            try:
                answer = await self.call(gateway.front, "POST /chat/1", _live_headers(request_id), b"x")
            except ExchangeError:
                self._report.streams["broken"] += 1
                gateway = self._rng.choice(self._gateways)
                await asyncio.sleep(RETRY_S)
                continue
            self._check_stream(request_id, answer)
            await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    def _check_stream(self, request_id: str, answer: WholeAnswer) -> None:
        if answer.head.status != 200:
            self._report.streams[str(answer.head.status)] += 1
            return
        lines = answer.body.decode().splitlines()
        events = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
        self._report.streams["complete"] += 1
        if events != text_of(request_id):
            self._report.faults.append(f"ORDER: {request_id} is answered {events}")

    # Batch jobs

    async def submit_jobs(self, client: int) -> None:
        """Submits one job after the other, and reads the results of each as they come."""
        number = 0
        while not self._stopped:
            number += 1
            job = f"job-{client}-{number}"
            items = {f"{job}.{index}": self._rng.random() >= UNFIT_SHARE for index in range(ITEMS)}
            if await self._submit(job, items):
                self._jobs[job] = [item for item, can_run in items.items() if can_run]
                self._seen[job] = await self._read(job, lambda: self._stopped)

    async def _submit(self, job: str, items: dict[str, bool]) -> bool:
        body = json.dumps({"requests": [_item(name, can_run) for name, can_run in items.items()]}).encode()
        headers = {"Request-Id": job, "Content-Type": "application/json"}
        self._sent_at[job] = asyncio.get_running_loop().time()
        while not self._stopped:
            answer = await self._try(f"POST /jobs/{job}", headers, body)
            if answer is not None and answer.head.status == 202:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def _try(self, first: str, headers: dict[str, str], body: bytes = b"") -> WholeAnswer | None:
        gateway = self._rng.choice(self._gateways)
        try:
            return await self.call(gateway.front, first, headers, body, BATCH_TIMEOUT_S)
        except ExchangeError:
            return None

    async def _read(self, job: str, is_over: Callable[[], bool]) -> list[dict[str, Any]]:
        """Reads results until those of all items that can run are there, or until `is_over`."""
        results: list[dict[str, Any]] = []
        read_at = self._sent_at[job]
        while not is_over() and not set(self._jobs[job]) <= {result["id"] for result in results}:
            answer = await self._try(f"GET /v1/lots/{job}?after={len(results)}", {"Wait-Ms": "300"})
            if answer is not None and answer.head.status == 200:
                listed = json.loads(answer.body)["results"]
                self._check_dead_letters(job, listed, read_at)
                results += listed
                read_at = asyncio.get_running_loop().time()
            else:
                await asyncio.sleep(RETRY_S)
        return results

    def _check_dead_letters(self, job: str, listed: list[dict[str, Any]], read_at: float) -> None:
        """Checks that each item that was given up since `read_at` had reached a limit in force."""
        now = asyncio.get_running_loop().time()
        for result in listed:
            failures = self._report.failures[result["id"]]
            if result["state"] != SUCCEEDED and not self.limits.allow_dead_letter(
                self._sent_at[job], failures, read_at, now
            ):
                age_s = now - self._sent_at[job]
                self._report.faults.append(f"MIXED: {result['id']} is {result['state']} at {age_s:.2f} s")

    async def check_jobs(self) -> None:
        """Reads all accepted jobs from the start: each item that can run must succeed within `FINISH_S`."""
        ends_at = asyncio.get_running_loop().time() + FINISH_S
        for job in self._jobs:
            results = await self._read(job, lambda: asyncio.get_running_loop().time() > ends_at)
            self._check_results(job, results)

    def _check_results(self, job: str, results: list[dict[str, Any]]) -> None:
        seen = self._seen[job]
        if results[: len(seen)] != seen:
            self._report.faults.append(f"LOST: {len(seen)} results of {job} do not come again as they were")
        listed = [result["id"] for result in results]
        missing = set(self._jobs[job]) - set(listed)
        if missing:
            self._report.faults.append(f"LOST: {job} lacks {len(missing)} of {ITEMS} items")
        if len(set(listed)) < len(listed):
            self._report.faults.append(f"TWICE: {job} lists {listed}")
        for result in results:
            self._report.items[result["state"]] += 1
            if result["state"] == SUCCEEDED and result["text"].split("\n") != text_of(result["id"]):
                self._report.faults.append(f"MIXED: {result['id']} has the text {result['text'][:80]!r}")


def _live_headers(request_id: str) -> dict[str, str]:
    return {
        "Request-Id": request_id,
        "Model-Id": "m",
        "Token-Usage": f"8,{EVENTS}",
        "Request-Timeout-Ms": str(int(1000 * LIVE_TIMEOUT_S)),
    }


def _item(name: str, can_run: bool) -> dict[str, Any]:
    prompt = USUAL_TOKENS if can_run else MEMORY_TOKENS
    return {
        "id": name,
        "path": "/jobs/x",
        "headers": {"Model-Id": "m", "Token-Usage": f"{prompt},{EVENTS}"},
        "body": base64.b64encode(name.encode()).decode(),
        "tokens": prompt + EVENTS,
    }
