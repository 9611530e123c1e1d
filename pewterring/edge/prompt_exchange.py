"""Tells the other gateways of long prompts sent to workers, and takes their hints."""

import random
import time
from collections.abc import Callable

from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import Prompt
from pewterring.routing.prompt_hints import HintBudget, hint_of, read_hint, write_hint
from pewterring.routing.worker_state import WorkerState
from pewterring.transport.datagrams import DatagramPort


class PromptExchange:
    """One gateway's side. `peers` are the addresses of the gateways, the own among them."""

    def __init__(
        self,
        ip: str,
        port: int,
        chooser: WorkerChooser,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.peers: tuple[str, ...] = ()
        self._ip = ip
        self._port_number = port
        self._chooser = chooser
        self._rng = rng
        self._clock = clock
        self._budget = HintBudget(clock())
        self._port = DatagramPort(self._received)

    async def start(self) -> None:
        """Opens the port. Raises OSError."""
        await self._port.start(self._ip, self._port_number)

    def close(self) -> None:
        """Closes the port."""
        self._port.close()

    def tell(self, worker: WorkerState, tokens: int, prompt: Prompt) -> None:
        """Tells of a prompt that takes, or would take, longer to read than a request else to its first byte.

        Also where the worker keeps its parts: that the others know them as used lately.
        """
        times = self._chooser.times_of(worker.record.service)
        if prompt.prompt_tokens * times.per_token_s < times.base_s:
            return
        data = write_hint(hint_of(worker.record.id, tokens, prompt))
        others = [peer for peer in self.peers if peer != self._ip]
        told = self._budget.take(self._clock(), len(data), len(others))
        if told < len(others):
            others = self._rng.sample(others, told)
        for peer in others:
            self._port.send(peer, data)

    def _received(self, data: bytes, ip: str) -> None:
        hint = read_hint(data)
        worker = self._chooser.by_number(hint.worker) if hint else None
        if hint is None or worker is None:
            return
        times = self._chooser.times_of(worker.record.service)
        worker.announce(self._clock(), times.per_token_s * hint.tokens, hint.parts)
