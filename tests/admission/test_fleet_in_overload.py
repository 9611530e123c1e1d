"""Gateways that hear each other directly, asked for more than the workers bear: what is out in sum."""

import heapq
import random
from dataclasses import dataclass, field

from pewterring.admission.service import ServiceAdmission
from pewterring.admission.shares import BEAT_S
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat

GATEWAYS, SLOTS, RUN_S = 8, 144, 0.75
STEP_S = 0.01


@dataclass
class Fleet:
    """Gateways whose heartbeats go out at the same moment, as those of processes that started together do."""

    asked_per_s: float
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    now: float = 0.0

    def __post_init__(self) -> None:
        self.gateways = [ServiceAdmission(n + 1, GATEWAYS) for n in range(GATEWAYS)]
        self._ends: list[tuple[float, int]] = []
        for gateway in self.gateways:
            gateway.rescale(0.0, SLOTS, GATEWAYS)

    @property
    def out(self) -> int:
        return sum(gateway.out for gateway in self.gateways)

    def play(self, seconds: float) -> list[int]:
        """What was out at each step."""
        seen = []
        for step in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if step % round(BEAT_S / STEP_S) == 0:
                self._beat()
            self._step()
            seen.append(self.out)
        return seen

    def _beat(self) -> None:
        for gateway in self.gateways:
            gateway.tick(self.now)
        beats = [gateway.beat() for gateway in self.gateways]
        for number, gateway in enumerate(self.gateways):
            for peer, beat in enumerate(beats):
                if peer != number:
                    gateway.hear(self.now, peer, beat)

    def _step(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            self.gateways[heapq.heappop(self._ends)[1]].release()
        wanted = self.asked_per_s * STEP_S
        for _ in range(int(wanted) + (self.rng.random() < wanted % 1)):
            number = self.rng.randrange(GATEWAYS)
            if self.gateways[number].acquire():
                run_s = self.rng.uniform(0.5, 1.5) * RUN_S
                heapq.heappush(self._ends, (self.now + run_s, number))


def test_room_that_all_hear_of_at_once_is_not_taken_by_each() -> None:
    """A fifth more is asked for than the workers bear: the slots stay taken, and hardly more than that."""
    fleet = Fleet(asked_per_s=1.2 * SLOTS / RUN_S)
    fleet.play(5.0)
    seen = fleet.play(20.0)
    assert max(seen) < 1.25 * SLOTS
    assert min(seen) > 0.75 * SLOTS


def test_in_heavy_overload_what_is_out_stays_about_the_ceiling() -> None:
    fleet = Fleet(asked_per_s=2 * SLOTS / RUN_S)
    fleet.play(5.0)
    seen = fleet.play(20.0)
    assert max(seen) < 1.5 * SLOTS
    assert min(seen) > 0.6 * SLOTS
    assert sum(seen) / len(seen) > 0.95 * SLOTS


def test_a_gateway_that_holds_more_than_its_share_is_given_way_to() -> None:
    """Each of the others leaves its part of what is too much, and none of them all of it."""
    made = ServiceAdmission(1, 4)
    made.rescale(0.0, 100, 4)
    made.shares.demand = 10.0
    for out in (20, 80):
        for peer, held in ((1, 20), (2, 20), (3, out)):
            made.hear(10.0, peer, encode_heartbeat(Heartbeat(peer, out, 100.0, held, 25.0, 10.0)))
        if out == 20:
            assert made.shares.share == 25.0
    assert made.shares.share == 25.0 * 100 / 155
