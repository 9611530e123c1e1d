"""Attempts in flight from all gateways together, when requests exceed the workers' capacity."""

import heapq
import random
from dataclasses import dataclass, field

from pewterring.admission.service import ServiceAdmission
from pewterring.admission.shares import HEARTBEAT_PERIOD_S
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat

GATEWAYS, SLOTS, RUN_S = 8, 144, 0.75
STEP_S = 0.01


@dataclass
class Fleet:
    """Gateways that send their heartbeats at the same moment, as processes that started together do."""

    requests_per_s: float
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    now: float = 0.0

    def __post_init__(self) -> None:
        self.gateways = [ServiceAdmission(index + 1, GATEWAYS) for index in range(GATEWAYS)]
        self._ends: list[tuple[float, int]] = []
        for gateway in self.gateways:
            gateway.rescale(0.0, SLOTS, GATEWAYS)

    @property
    def in_flight(self) -> int:
        return sum(gateway.in_flight for gateway in self.gateways)

    def run(self, seconds: float) -> list[int]:
        """Runs the fleet and returns the attempts in flight after each step."""
        in_flight = []
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if step % round(HEARTBEAT_PERIOD_S / STEP_S) == 0:
                self._exchange_heartbeats()
            self._step()
            in_flight.append(self.in_flight)
        return in_flight

    def _exchange_heartbeats(self) -> None:
        for gateway in self.gateways:
            gateway.tick(self.now)
        heartbeats = [gateway.heartbeat() for gateway in self.gateways]
        for index, gateway in enumerate(self.gateways):
            for peer, heartbeat in enumerate(heartbeats):
                if peer != index:
                    gateway.receive(self.now, peer, heartbeat)

    def _step(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            self.gateways[heapq.heappop(self._ends)[1]].release()
        arrivals = self.requests_per_s * STEP_S
        for _ in range(int(arrivals) + (self.rng.random() < arrivals % 1)):
            index = self.rng.randrange(GATEWAYS)
            if self.gateways[index].acquire():
                run_s = self.rng.uniform(0.5, 1.5) * RUN_S
                heapq.heappush(self._ends, (self.now + run_s, index))


def test_free_slots_that_all_gateways_learn_of_at_once_are_not_taken_by_each() -> None:
    """With 1.2 times the requests that the workers can serve, attempts in flight stay close to the slots."""
    fleet = Fleet(requests_per_s=1.2 * SLOTS / RUN_S)
    fleet.run(5.0)
    in_flight = fleet.run(20.0)
    assert max(in_flight) < 1.25 * SLOTS
    assert min(in_flight) > 0.75 * SLOTS


def test_in_heavy_overload_attempts_in_flight_stay_close_to_the_limit() -> None:
    fleet = Fleet(requests_per_s=2 * SLOTS / RUN_S)
    fleet.run(5.0)
    in_flight = fleet.run(20.0)
    assert max(in_flight) < 1.5 * SLOTS
    assert min(in_flight) > 0.6 * SLOTS
    assert sum(in_flight) / len(in_flight) > 0.95 * SLOTS


def test_gateways_reduce_their_shares_when_a_peer_exceeds_its_share() -> None:
    """Each of them gives up its fraction of the excess, and none of them all of it."""
    admission = ServiceAdmission(1, 4)
    admission.rescale(0.0, 100, 4)
    admission.shares.demand = 10.0
    for third_in_flight in (20, 80):
        for peer, in_flight in ((1, 20), (2, 20), (3, third_in_flight)):
            admission.receive(
                10.0, peer, encode_heartbeat(Heartbeat(peer, third_in_flight, 100.0, in_flight, 25.0, 10.0))
            )
        if third_in_flight == 20:
            assert admission.shares.share == 25.0
    assert admission.shares.share == 25.0 * 100 / 155
