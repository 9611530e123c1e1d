"""Tells the other gateways of long prompts sent to workers, and takes their hints."""

import random
import time
from collections.abc import Callable

from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import Prompt
from pewterring.routing.prompt_hints import (
    HintBudget,
    WaitHint,
    hint_of,
    read_hint,
    read_wait_hint,
    worker_number,
    write_hint,
    write_wait_hint,
)
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
        self._wait_budget = HintBudget(clock())
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
        self._send(write_hint(hint_of(worker.record.id, tokens, prompt)), self._budget)

    def tell_wait(self, worker: WorkerState, seconds: float) -> None:
        """Tells that a request waits at a worker for so much longer than it should.

        Symptom answered: workers whose slots are taken, or that read what nobody was told of, tell of it to
        none but those who wait there; each gateway found out alone, with a request of its own.
        """
        hint = WaitHint(worker_number(worker.record.id), seconds)
        self._send(write_wait_hint(hint), self._wait_budget)

    def _send(self, data: bytes, budget: HintBudget) -> None:
        """Tells all other gateways, or as many of them as the budget allows."""
        others = [peer for peer in self.peers if peer != self._ip]
        told = budget.take(self._clock(), len(data), len(others))
        if told < len(others):
            others = self._rng.sample(others, told)
        for peer in others:
            self._port.send(peer, data)

    def _received(self, data: bytes, ip: str) -> None:
        wait = read_wait_hint(data)
        if wait is not None:
            waited_at = self._chooser.by_number(wait.worker)
            if waited_at is not None:
                waited_at.expect_wait(self._clock(), wait.seconds)
            return
        hint = read_hint(data)
        worker = self._chooser.by_number(hint.worker) if hint else None
        if hint is None or worker is None:
            return
        times = self._chooser.times_of(worker.record.service)
        worker.announce(self._clock(), times.per_token_s * hint.tokens, hint.parts)
