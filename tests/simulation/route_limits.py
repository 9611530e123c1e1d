"""Limits of the batch route that change during a run, and which of them may be in force at a moment.

A run has a few eras; each order that is built in one carries the limits of that era. So an order of an
earlier era that is still on its way may come into force later, as with real operators.
"""

import random
from bisect import bisect_right
from dataclasses import dataclass

from tests.simulation.history import History, State

BINDS_S = 2.0  # `config_ms`: so long after its acknowledgement a configuration binds all machines
ERA_STARTS_S = (3.0, 20.0)
ERAS = 5
KEEP_S = (0.4, 1.0, 3.0, 60.0)
MAX_ATTEMPTS = (1, 2, 3)
COMPLETION_TARGETS_MS = (200, 2_000, 10_000)
PRESENT_SHARE = 0.85  # of the eras have the route at all


@dataclass(frozen=True, slots=True)
class RouteLimits:
    """What one configuration says about the route of batch jobs."""

    keep_s: float = 60.0
    max_attempts: int = 2
    completion_target_ms: int = 10_000
    is_present: bool = True


class LimitEras:
    """The limits of new orders by time, and those of all orders that were sent."""

    def __init__(self, seed: int, changing: bool) -> None:
        rng = random.Random(f"limits {seed}")  # separate from the other draws of the seed
        self._starts_s = sorted(rng.uniform(*ERA_STARTS_S) for _ in range(ERAS)) if changing else []
        self.are_changing = changing
        self._limits = [RouteLimits(), *(_draw(rng) for _ in self._starts_s)]
        self._sent: dict[State, RouteLimits] = {}

    def at(self, now: float) -> RouteLimits:
        """The limits of an order that is built at a time."""
        return self._limits[bisect_right(self._starts_s, now)]

    def record_sent(self, state: State, limits: RouteLimits) -> None:
        """Notes the limits of an order."""
        self._sent[state] = limits

    def in_force(self, now: float, history: History) -> list[RouteLimits]:
        """The limits of all configurations that some machine may go by at a time."""
        oldest = history.acknowledged_before(now - BINDS_S)
        return [limits for state, limits in self._sent.items() if state.version >= oldest]


def _draw(rng: random.Random) -> RouteLimits:
    return RouteLimits(
        keep_s=rng.choice(KEEP_S),
        max_attempts=rng.choice(MAX_ATTEMPTS),
        completion_target_ms=rng.choice(COMPLETION_TARGETS_MS),
        is_present=rng.random() < PRESENT_SHARE,
    )
