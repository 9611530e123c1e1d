"""Exchange of hints between gateways: long prompts sent to workers, and unexpectedly long waits at workers.

Hints are datagrams that may be lost. Sending is limited by a byte budget; malformed hints are dropped.
"""

import random
import time
from collections.abc import Callable

from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import Prompt
from pewterring.routing.prompt_hints import (
    HintBudget,
    WaitHint,
    make_hint,
    read_hint,
    read_wait_hint,
    worker_number,
    write_hint,
    write_wait_hint,
)
from pewterring.routing.worker_state import WorkerState
from pewterring.transport.datagrams import DatagramPort


class PromptExchange:
    """Sends and receives the hints of one gateway; owns the UDP port. Drops hints of unknown peers."""

    def __init__(
        self,
        ip: str,
        port: int,
        chooser: WorkerChooser,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._peers: tuple[str, ...] = ()
        self._known_peers: frozenset[str] = frozenset()
        self._ip = ip
        self._port_number = port
        self._chooser = chooser
        self._rng = rng
        self._clock = clock
        self._budget = HintBudget(clock())
        self._wait_budget = HintBudget(clock())
        self._port = DatagramPort(self._receive)

    @property
    def peers(self) -> tuple[str, ...]:
        """IPs of all gateways in the tables, including this one. Hints from other addresses are dropped."""
        return self._peers

    @peers.setter
    def peers(self, peers: tuple[str, ...]) -> None:
        self._peers = peers
        self._known_peers = frozenset(peers)

    async def start(self) -> None:
        """Opens the port.

        Raises:
            OSError: The port is not available.
        """
        await self._port.start(self._ip, self._port_number)

    def close(self) -> None:
        """Closes the port. No more hints are sent or received."""
        self._port.close()

    def announce_prompt(self, worker: WorkerState, tokens: int, prompt: Prompt) -> None:
        """Announces a prompt sent to a worker, if its prefill would exceed the base time to first byte.

        Prompts that the worker has cached are announced too, so that the other gateways know that their
        blocks were used recently.
        """
        times = self._chooser.times_of(worker.record.service)
        if prompt.prompt_tokens * times.per_token_s < times.base_s:
            return
        self._send(write_hint(make_hint(worker.record.id, tokens, prompt)), self._budget)

    def announce_wait(self, worker: WorkerState, seconds: float) -> None:
        """Announces that a request has waited at a worker `seconds` longer than expected.

        A worker that has no free slots, or is busy with prefills that were not announced, is noticed only by
        gateways whose requests wait there. Without the hint each gateway finds out by a request of its own.
        """
        hint = WaitHint(worker_number(worker.record.id), seconds)
        self._send(write_wait_hint(hint), self._wait_budget)

    def _send(self, data: bytes, budget: HintBudget) -> None:
        """Sends a hint to all other gateways, or to a random sample of the size that the budget allows."""
        others = [peer for peer in self._peers if peer != self._ip]
        allowed = budget.take(self._clock(), len(data), len(others))
        if allowed < len(others):
            others = self._rng.sample(others, allowed)
        for peer in others:
            self._port.send(peer, data)

    def _receive(self, data: bytes, ip: str) -> None:
        if ip not in self._known_peers:  # datagrams have no handshake that identifies the sender
            return
        wait = read_wait_hint(data)
        if wait is not None:
            congested = self._chooser.by_number(wait.worker)
            if congested is not None:
                congested.expect_wait(self._clock(), wait.seconds)
            return
        hint = read_hint(data)
        worker = self._chooser.by_number(hint.worker) if hint else None
        if hint is None or worker is None:
            return
        times = self._chooser.times_of(worker.record.service)
        worker.record_announced_prefill(self._clock(), times.per_token_s * hint.tokens, hint.blocks)
