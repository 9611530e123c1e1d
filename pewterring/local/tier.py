"""A local tier: starts processes and stand-in workers, applies a configuration, and waits until it serves."""

import asyncio
import contextlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import TracebackType

import msgspec

from pewterring.local import sample
from pewterring.local.engine import StandInWorker, WorkerEndpoint
from pewterring.local.layout import FRONT_PORT, HEARTBEAT_MS, READY_PORT, ZONES, Layout
from pewterring.local.processes import Children
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch

POLL_INTERVAL_S = 0.1  # between two readiness checks
CALL_TIMEOUT_S = 2.0
RESULTS_TIMEOUT_S = 8.0  # the store may delay results for up to `sample.WAIT_MS`
MAX_CONNECTIONS = 8
ACCEPTED_STATUSES = (200, 412)  # 412: a configuration of an earlier start exists


class TierError(Exception):
    """The tier did not serve; the text names the request and the response."""


@dataclass(frozen=True, slots=True)
class _Call:
    """An HTTP call without the address."""

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


class LocalTier:
    """A context manager that starts the tier, waits until it serves, and stops it on exit.

    Raises:
        ProcessEndedError: A process ended during the start.
        TierError: The tier did not serve within `start_timeout_s` seconds.
        OSError: A file, process or address could not be used.
    """

    def __init__(self, layout: Layout, start_timeout_s: float) -> None:
        self.children = Children(layout)
        self._layout = layout
        self._start_timeout_s = start_timeout_s
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
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self._stop()

    @property
    def client_address(self) -> str:
        """The address of one gateway for clients."""
        return f"{self._layout.of('gateway')[0].ip}:{FRONT_PORT}"

    async def stream(self) -> str:
        """Requests the sample stream; returns the text of its events."""
        headers = {"Request-Id": "stream-self-test", "Model-Id": "m", "Token-Usage": sample.TOKEN_USAGE}
        response = await self._call(
            self.client_address, _Call("POST", sample.STREAM_PATH, headers, sample.PROMPT.encode())
        )
        if response.head.status != 200:
            raise TierError(f"the stream request returned status {response.head.status}")
        return response.body.decode()

    async def batch_results(self) -> list[dict[str, str]]:
        """Submits the sample job and returns all of its results."""
        headers = {"Request-Id": sample.JOB, "Content-Type": "application/json"}
        body = json.dumps(sample.job()).encode()
        response = await self._call(self.client_address, _Call("POST", sample.JOB_PATH, headers, body))
        if response.head.status != 202:
            raise TierError(
                f"the batch job request returned status {response.head.status}: {response.body.decode()}"
            )
        results: list[dict[str, str]] = []
        while len(results) < len(sample.ITEMS):
            results += await self._results_from(len(results))
        return results

    async def _results_from(self, after: int) -> list[dict[str, str]]:
        target = f"/v1/lots/{sample.JOB}?after={after}"
        headers = {"Wait-Ms": str(sample.WAIT_MS)}
        response = await self._call(self.client_address, _Call("GET", target, headers), RESULTS_TIMEOUT_S)
        if response.head.status != 200:
            raise TierError(f"the results request returned status {response.head.status}")
        results: list[dict[str, str]] = json.loads(response.body)["results"]
        return results

    # Start and stop

    async def _start(self) -> None:
        await self.children.start()
        process_end = asyncio.create_task(self.children.wait_for_end())
        serving = asyncio.create_task(self._wait_until_serving())
        try:
            async with asyncio.timeout(self._start_timeout_s):
                await asyncio.wait((process_end, serving), return_when=asyncio.FIRST_COMPLETED)
                await (process_end if process_end.done() else serving)
        except TimeoutError:
            raise TierError(
                f"after {self._start_timeout_s:g} s still waiting for {self._waiting_for}"
            ) from None
        finally:
            for task in (process_end, serving):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await task

    async def _wait_until_serving(self) -> None:
        heartbeat_s = HEARTBEAT_MS / 1000
        controls = self._layout.control_addresses()
        for index, address in enumerate(self._layout.worker_addresses()):
            zone = ZONES[index % len(ZONES)]
            worker = StandInWorker(WorkerEndpoint(sample.SERVICE, address, zone), controls, heartbeat_s)
            self._workers.append(worker)
            await worker.start()
        self._waiting_for = "control to accept the configuration"
        await self._put_configuration()
        self._waiting_for = "control to acknowledge the workers' heartbeats"
        for worker in self._workers:
            await worker.registered.wait()
        for gateway in self._layout.of("gateway"):
            self._waiting_for = f"{gateway.name} to be ready"
            await self._wait_for_status(f"{gateway.ip}:{READY_PORT}", "/v1/readyz", 200)
            self._waiting_for = f"{gateway.name} to reach the leading store"
            await self._wait_for_status(f"{gateway.ip}:{FRONT_PORT}", "/v1/lots/none?after=0", 404)

    async def _stop(self) -> None:
        await self.children.stop()
        for worker in self._workers:
            await worker.stop()
        self._pool.close()

    async def _put_configuration(self) -> None:
        body = msgspec.json.encode(sample.configuration())
        controls = self._layout.control_addresses()
        headers = {"Base-Version": "0", "Content-Type": "application/json"}
        index = 0
        call = _Call("POST", "/v1/Config.Replace", headers, body)
        while await self._fetch_status(controls[index], call) not in ACCEPTED_STATUSES:
            index = (index + 1) % len(controls)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_status(self, address: str, target: str, status: int) -> None:
        call = _Call("GET", target)
        while True:
            if await self._fetch_status(address, call) == status:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _fetch_status(self, address: str, call: "_Call") -> int:
        """Returns the response status, or 0 without a response."""
        try:
            return (await self._call(address, call)).head.status
        except TierError:
            return 0

    async def _call(self, address: str, call: "_Call", timeout_s: float = CALL_TIMEOUT_S) -> WholeAnswer:
        headers = {"Host": sample.HOST, **call.headers}
        header_list = [(name.encode(), value.encode()) for name, value in headers.items()]
        request = SendRequest(call.method, call.target, header_list, call.body)
        try:
            return await fetch(self._pool, address, request, MAX_CONNECTIONS, timeout_s)
        except ExchangeError as error:
            raise TierError(f"{call.method} http://{address}{call.target}: {error}") from error
