"""Streams of clients at a steady rate, and short calls to each program, while orders are played."""

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from benchmarks.large_configurations.tier import Tier
from benchmarks.soak.fleet import Member
from pewterring.local import sample
from pewterring.local.engine import echoed_words
from pewterring.local.layout import CONTROL_PORT
from pewterring.transport.http_exchange import ExchangeError

STREAM_INTERVAL_S = 0.05
PROBE_INTERVAL_S = 0.01
UNANSWERED = "unanswered"


@dataclass(slots=True)
class Seen:
    """What callers saw since the last `Load.take`."""

    streams: Counter[str] = field(default_factory=Counter)  # by status; "cut" for one that is not complete
    longest_stream_s: float = 0.0
    longest_probe_s: dict[str, float] = field(default_factory=dict)  # by program


class Load:
    """Sends streams and probes between `start` and `stop`."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier
        self._seen = Seen()
        self._tasks: set[asyncio.Task[None]] = set()
        self._gateways = itertools.cycle(tier.fleet.of("gateway"))
        self._number = 0

    def start(self) -> None:
        """Begins to send."""
        self._spawn(self._send_streams())
        for member in self._tier.fleet.of("gateway"):
            self._spawn(self._probe("gateway", member.ready, "GET /v1/none"))
            self._spawn(self._probe("leading store", member.front, "GET /v1/lots/none?after=0"))
        for member in self._tier.fleet.of("control"):
            self._spawn(self._probe("control", _control_address(member), "GET /v1/none"))

    async def stop(self) -> None:
        """Ends all streams and probes."""
        for task in tuple(self._tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def take(self) -> Seen:
        """Returns what was seen since the last call."""
        seen, self._seen = self._seen, Seen()
        return seen

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_streams(self) -> None:
        while True:
            self._number += 1
            self._spawn(self._stream(self._number, next(self._gateways)))
            await asyncio.sleep(STREAM_INTERVAL_S)

    async def _stream(self, number: int, gateway: Member) -> None:
        loop = asyncio.get_running_loop()
        prompt = f"stream number {number}"
        headers = {"Request-Id": f"stream-{number}", "Model-Id": "m", "Token-Usage": sample.TOKEN_USAGE}
        began_at = loop.time()
        try:
            answer = await self._tier.call(
                gateway.front, f"POST {sample.STREAM_PATH}", headers, prompt.encode(), 10.0
            )
        except ExchangeError:
            self._seen.streams[UNANSWERED] += 1
            return
        lines = answer.body.decode().splitlines()
        words = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
        is_cut = answer.head.status == 200 and words != echoed_words(prompt.encode())
        self._seen.streams["cut" if is_cut else str(answer.head.status)] += 1
        self._seen.longest_stream_s = max(self._seen.longest_stream_s, loop.time() - began_at)

    async def _probe(self, program: str, address: str, first: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            with contextlib.suppress(ExchangeError):
                await self._tier.call(address, first)
                longest = self._seen.longest_probe_s.get(program, 0.0)
                self._seen.longest_probe_s[program] = max(longest, loop.time() - began_at)
            await asyncio.sleep(PROBE_INTERVAL_S)


def _control_address(member: Member) -> str:
    return f"{member.process.ip}:{CONTROL_PORT}"
