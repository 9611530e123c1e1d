"""The operator: sends an order to one control machine after the other until it is answered."""

import asyncio
from dataclasses import dataclass

from benchmarks.large_configurations.tier import Tier
from pewterring.transport.http_exchange import ExchangeError

FIRST_PAUSE_S, PAUSE_GROWTH, MAX_PAUSE_S = 0.2, 1.5, 1.0
CALL_TIMEOUT_S = 4.0  # longer than the second of other calls, since the bodies are large
UNANSWERED = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The final answer to an order, the seconds until then, and the number of calls."""

    status: int
    after_s: float
    calls: int
    text: str


class Operator:
    """Sends orders. `verb` is `Replace` or `Update`."""

    def __init__(self, tier: Tier) -> None:
        self._tier = tier

    async def order(self, verb: str, document: bytes, base: int, within_s: float) -> OrderAnswer:
        """Sends an order until it is accepted or refused; the status is that of the last call."""
        loop = asyncio.get_running_loop()
        began_at, pause_s, calls = loop.time(), FIRST_PAUSE_S, 0
        addresses = self._tier.layout.control_addresses()
        while True:
            status, text = await self.call(addresses[calls % len(addresses)], verb, document, base)
            calls += 1
            after_s = loop.time() - began_at
            if _is_final(status) or after_s > within_s:
                return OrderAnswer(status, after_s, calls, text)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_GROWTH)

    async def read(self, address: str) -> int:
        """Reads the configuration once; returns the status."""
        try:
            answer = await self._tier.call(address, "GET /v1/Config.Get", timeout_s=CALL_TIMEOUT_S)
        except ExchangeError:
            return UNANSWERED
        return answer.head.status

    async def call(
        self, address: str, verb: str, document: bytes, base: int, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[int, str]:
        """Sends an order once; returns the status and the answer's text."""
        headers = {"Base-Version": str(base), "Content-Type": "application/json"}
        try:
            answer = await self._tier.call(address, f"POST /v1/Config.{verb}", headers, document, timeout_s)
        except ExchangeError as error:
            return UNANSWERED, type(error).__name__
        return answer.head.status, answer.body[:100].decode(errors="replace")


def _is_final(status: int) -> bool:
    return status == 200 or (400 <= status < 500 and status not in (408, 429))
