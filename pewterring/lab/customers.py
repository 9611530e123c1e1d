"""Customers: how each uses its plan, and what is true of its quota."""

import math
from array import array
from collections.abc import Sequence

import numpy as np

from pewterring.lab import schema
from pewterring.lab.engine import START
from pewterring.lab.stores import Store
from pewterring.lab.streams import Stream


class Customer:
    """One customer: its plan, how it uses it, its set of gatekeepers, its true stores."""

    __slots__ = (
        "ceiling", "cumulative", "epoch", "first", "id", "open", "peak", "phase", "plan", "planned", "quota",
        "rate", "reference", "set_size", "spike_every_s", "spike_s", "stream", "units",
    )  # fmt: skip

    def __init__(self, id: int, plan: schema.Plan, scenario: schema.Scenario, number: int, seed: int) -> None:
        self.id, self.plan, self.units = id, plan, plan.units
        self.stream = stream = Stream(seed, f"customer.{plan.name}", number)
        use, fleet = scenario.customers, scenario.gatekeepers.count
        low, high = plan.spread
        self.set_size = max(1, min(fleet, round(stream.uniform(low, high) * fleet)))
        self.first = stream.below(fleet)
        kind, base = stream.uniform(), plan.refill / plan.units if plan.refill else plan.customer_rate
        calm = stream.uniform(*use.calm)
        self.rate, self.peak = base * calm, 0.0
        self.phase = stream.uniform()
        if not plan.refill:
            self.rate = base
        elif kind < use.full:
            self.rate = base * stream.uniform(0.9, 1.1)
        elif kind < use.full + use.heavy:
            self.rate = base * use.heavy_x
        elif kind < use.full + use.heavy + use.spiky:
            self.peak = base * use.spike_x
        self.spike_s, self.spike_every_s = use.spike_s, use.spike_every_s
        self.quota = Store(plan.refill, plan.depth, START)  # of the tries that were sent on
        # Of all first tries, as one gateway that saw them all would let in:
        self.reference = Store(plan.refill, plan.depth, START)
        self.ceiling = Store(plan.cap_rate, plan.cap_depth, START)
        self.open = 0  # attempts out
        self.planned = 0  # draws begun: of an older one nothing comes
        self.epoch, self.cumulative = -1, array("d")

    def inside(self) -> float:
        """Requests a second that it asks within its quota, in the mean."""
        base = self.plan.refill / self.units if self.plan.refill else math.inf
        spiking = min(1.0, self.spike_s / self.spike_every_s) if self.peak else 0.0
        return min(base, self.rate) * (1 - spiking) + min(base, self.peak) * spiking

    def rate_at(self, now: float) -> tuple[float, float]:
        """Requests a second now, and until when that holds."""
        if not self.peak:
            return self.rate, math.inf
        into = (now - START + self.phase * self.spike_every_s) % self.spike_every_s
        # Past the end by a little: a moment that rounds to the present would never pass.
        if into < self.spike_s:
            return self.peak, now + self.spike_s - into + 1e-6
        return self.rate, now + self.spike_every_s - into + 1e-6

    def has_room(self, now: float) -> bool:
        """Whether half of its burst or more is unused."""
        return not self.quota.rate or self.quota.refill(now) >= self.quota.depth / 2

    def weights(self, now: float, front: schema.Front) -> Sequence[float]:
        """The running sums of its gatekeepers' weights, drawn anew from time to time."""
        epoch = int((now - START) / front.shift_s + self.phase)
        if epoch != self.epoch:
            self.epoch = epoch
            weights = self.stream.weights(self.set_size, front.skew)
            self.cumulative = array("d", np.cumsum(weights).tobytes())
        return self.cumulative
