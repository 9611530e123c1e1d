"""A local tier: processes, stand-in workers, a configuration, and a wait until all of it serves."""

import asyncio
import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import TracebackType

import msgspec

from pewterring.local import sample
from pewterring.local.engine import StandInWorker, WorkerPlace
from pewterring.local.layout import FRONT_PORT, HEARTBEAT_MS, READY_PORT, ZONES, Layout
from pewterring.local.processes import Children
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch

POLL_S = 0.1  # between questions whether something is ready
CALL_S = 2.0
READ_S = 8.0  # of results, which the store may hold back for `WAIT_MS`
CONNECTIONS = 8
TAKEN = (200, 412)  # 412: a configuration of an earlier start is there


class TierError(Exception):
    """The tier did not serve; the text says what was asked and answered."""


@dataclass(frozen=True, slots=True)
class _Call:
    """One HTTP call, but for the address."""

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


class LocalTier:
    """`async with`: starts everything, waits until it serves, and stops it at the end.

    `start_s` bounds the start. Raises `ProcessEndedError`, `TierError` or `OSError`.
    """

    def __init__(self, layout: Layout, start_s: float) -> None:
        self.children = Children(layout)
        self._layout = layout
        self._start_s = start_s
        self._pool = WorkerPool()
        self._workers: list[StandInWorker] = []
        self._waiting_for = ""

    async def __aenter__(self) -> "LocalTier":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._stop()

    @property
    def front(self) -> str:
        """Where clients connect, at one of the gateways."""
        return f"{self._layout.of('gateway')[0].ip}:{FRONT_PORT}"

    async def stream(self) -> str:
        """Asks for the sample stream; the text of its events."""
        headers = {"Request-Id": "stream-self-test", "Model-Id": "m", "Token-Usage": sample.TOKEN_USAGE}
        answer = await self._call(
            self.front, _Call("POST", sample.STREAM_PATH, headers, sample.PROMPT.encode())
        )
        if answer.head.status != 200:
            raise TierError(f"the stream was answered {answer.head.status}")
        return answer.body.decode()

    async def batch_results(self) -> list[dict[str, str]]:
        """Submits the sample job and reads all of its results."""
        headers = {"Request-Id": sample.JOB, "Content-Type": "application/json"}
        body = json.dumps(sample.job()).encode()
        answer = await self._call(self.front, _Call("POST", sample.JOB_PATH, headers, body))
        if answer.head.status != 202:
            raise TierError(f"the batch job was answered {answer.head.status}: {answer.body.decode()}")
        results: list[dict[str, str]] = []
        while len(results) < len(sample.ITEMS):
            results += await self._results_from(len(results))
        return results

    async def _results_from(self, position: int) -> list[dict[str, str]]:
        target = f"/v1/lots/{sample.JOB}?after={position}"
        headers = {"Wait-Ms": str(sample.WAIT_MS)}
        answer = await self._call(self.front, _Call("GET", target, headers), READ_S)
        if answer.head.status != 200:
            raise TierError(f"results were answered {answer.head.status}")
        found: list[dict[str, str]] = json.loads(answer.body)["results"]
        return found

    # Start and stop

    async def _start(self) -> None:
        await self.children.start()
        ended = asyncio.create_task(self.children.wait_for_end())
        serving = asyncio.create_task(self._until_serving())
        try:
            async with asyncio.timeout(self._start_s):
                await asyncio.wait((ended, serving), return_when=asyncio.FIRST_COMPLETED)
                await (ended if ended.done() else serving)
        except TimeoutError:
            raise TierError(f"after {self._start_s:g} s it still waits for {self._waiting_for}") from None
        finally:
            for task in (ended, serving):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await task

    async def _until_serving(self) -> None:
        heartbeat_s = HEARTBEAT_MS / 1000
        controls = self._layout.control_addresses()
        for number, address in enumerate(self._layout.worker_addresses()):
            zone = ZONES[number % len(ZONES)]
            worker = StandInWorker(WorkerPlace(sample.SERVICE, address, zone), controls, heartbeat_s)
            self._workers.append(worker)
            await worker.start()
        self._waiting_for = "control to take the configuration"
        await self._put_configuration()
        self._waiting_for = "control to take the workers' heartbeats"
        for worker in self._workers:
            await worker.registered.wait()
        for gateway in self._layout.of("gateway"):
            self._waiting_for = f"{gateway.name} to be ready"
            await self._until_answered(f"{gateway.ip}:{READY_PORT}", "/v1/readyz", 200)
            self._waiting_for = f"{gateway.name} to reach the leading store"
            await self._until_answered(f"{gateway.ip}:{FRONT_PORT}", "/v1/lots/none?after=0", 404)

    async def _stop(self) -> None:
        await self.children.stop()
        for worker in self._workers:
            await worker.stop()
        self._pool.close()

    async def _put_configuration(self) -> None:
        body = msgspec.json.encode(sample.configuration())
        controls = self._layout.control_addresses()
        headers = {"Base-Version": "0", "Content-Type": "application/json"}
        number = 0
        call = _Call("POST", "/v1/Config.Replace", headers, body)
        while await self._status(controls[number], call) not in TAKEN:
            number = (number + 1) % len(controls)
            await asyncio.sleep(POLL_S)

    async def _until_answered(self, address: str, target: str, status: int) -> None:
        call = _Call("GET", target)
        while True:
            if await self._status(address, call) == status:
                return
            await asyncio.sleep(POLL_S)

    async def _status(self, address: str, call: "_Call") -> int:
        """The status, or 0 without an answer."""
        try:
            return (await self._call(address, call)).head.status
        except TierError:
            return 0

    async def _call(self, address: str, call: "_Call", timeout_s: float = CALL_S) -> WholeAnswer:
        headers = {"Host": sample.HOST, **call.headers}
        sent = [(name.encode(), value.encode()) for name, value in headers.items()]
        request = SendRequest(call.method, call.target, sent, call.body)
        try:
            return await fetch(self._pool, address, request, CONNECTIONS, timeout_s)
        except ExchangeError as error:
            raise TierError(f"{call.method} http://{address}{call.target}: {error}") from error
