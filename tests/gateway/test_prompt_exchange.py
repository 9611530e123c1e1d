"""A gateway accepts hints only from the gateways in its tables."""

import asyncio
import random
from typing import cast

from pewterring.distribution.messages import WorkerRecord
from pewterring.gateway.prompt_exchange import PromptExchange
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.worker_state import WorkerState
from tests.loopback import free_port, loopback_ip

OWN_IP, PEER_IP, UNKNOWN_IP = loopback_ip(71), loopback_ip(72), loopback_ip(73)
PEER_WAIT_S, UNKNOWN_WAIT_S = 1.0, 2.0


class CongestedWorker:
    """Stands for every worker that a hint names, and records the announced waits."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.record = WorkerRecord("w", "s", "10.0.0.1:80", "z", 1, "ready")

    def by_number(self, _number: int) -> "CongestedWorker":
        return self

    def expect_wait(self, _now: float, seconds: float) -> None:
        self.waits_s.append(seconds)


def test_a_hint_of_a_gateway_that_is_not_in_the_tables_is_dropped() -> None:
    async def scenario() -> None:
        worker = CongestedWorker()
        port = free_port(OWN_IP)
        own, peer, unknown = (
            PromptExchange(ip, port, cast(WorkerChooser, worker), random.Random(1), clock=lambda: 100.0)
            for ip in (OWN_IP, PEER_IP, UNKNOWN_IP)
        )
        for exchange in (own, peer, unknown):
            exchange.peers = (OWN_IP, PEER_IP)
            await exchange.start()
        unknown.announce_wait(cast(WorkerState, worker), UNKNOWN_WAIT_S)
        while not worker.waits_s:
            peer.announce_wait(cast(WorkerState, worker), PEER_WAIT_S)
            await asyncio.sleep(0)
        assert set(worker.waits_s) == {PEER_WAIT_S}
        for exchange in (own, peer, unknown):
            exchange.close()

    asyncio.run(scenario())
