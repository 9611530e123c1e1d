"""The requests that customers make, and the front that deals these among gatekeepers."""

import bisect
import math
from collections.abc import Callable, Sequence

import numpy as np

from pewterring.lab import schema
from pewterring.lab.calls import Intent
from pewterring.lab.customers import Customer
from pewterring.lab.engine import START, Engine
from pewterring.lab.streams import Stream

CUSTOMERS_AT_MOST = 200_000


class Front:
    """Deals a customer's requests among its set. It sees a dead gatekeeper only after a time."""

    def __init__(self, setup: schema.Front, fleet: int, seed: int) -> None:
        self.setup, self.fleet = setup, fleet
        stream = Stream(seed, "front")
        self.balance = stream.weights(fleet, setup.balance) if setup.balance else None
        self.closed_at = [math.inf] * fleet  # from when on it passes a gatekeeper over
        self.dampers: dict[int, list[float]] = {}  # by gatekeeper: what each fault leaves of its traffic
        self.damped: dict[int, float] = {}  # and all of them together

    def gone(self, gatekeeper: int, now: float, notice: float) -> None:
        self.closed_at[gatekeeper] = min(self.closed_at[gatekeeper], now + notice)

    def back(self, gatekeeper: int) -> None:
        self.closed_at[gatekeeper] = math.inf

    def damp(self, gatekeeper: int, to: float) -> None:
        """Traffic that comes through it falls to that part; `free` takes this back."""
        self.dampers.setdefault(gatekeeper, []).append(to)
        self.damped[gatekeeper] = math.prod(self.dampers[gatekeeper])

    def free(self, gatekeeper: int, to: float) -> None:
        self.dampers[gatekeeper].remove(to)
        self.damped[gatekeeper] = math.prod(self.dampers[gatekeeper])
        if not self.dampers[gatekeeper]:
            del self.dampers[gatekeeper], self.damped[gatekeeper]

    def pick(self, customer: Customer, now: float, stream: Stream) -> int | None:
        """A gatekeeper for one request; None where it knows of none in the set that serves."""
        if customer.set_size == 1 and not self.damped and now < self.closed_at[customer.first]:
            return customer.first
        sums = customer.weights(now, self.setup)
        total, last = sums[-1], customer.set_size - 1
        for _ in range(12):
            at = min(last, bisect.bisect_right(sums, stream.uniform() * total))
            gatekeeper = (customer.first + at) % self.fleet
            if now >= self.closed_at[gatekeeper]:
                continue
            if self.damped and stream.uniform() >= self.damped.get(gatekeeper, 1.0):
                continue
            if self.balance is not None and stream.uniform() * 4 >= min(4.0, float(self.balance[gatekeeper])):
                continue
            return gatekeeper
        here = [(customer.first + n) % self.fleet for n in range(customer.set_size)]
        serving = [g for g in here if now < self.closed_at[g]]
        return serving[stream.below(len(serving))] if serving else None


class Demand:
    """All customers, and when each asks."""

    def __init__(
        self, scenario: schema.Scenario, engine: Engine, seed: int, ask: Callable[[Intent], None]
    ) -> None:
        self.scenario, self.engine, self.ask = scenario, engine, ask
        self.end = START + scenario.duration_s
        self.rate = schema.rate(scenario)
        self.numbers = 0
        self.shares = np.cumsum([c.share for c in scenario.classes]).tolist()
        self.customers: list[Customer] = []
        self.by_id: dict[int, Customer] = {}
        shares = sum(p.share for p in scenario.plans)
        for plan_number, plan in enumerate(scenario.plans):
            inside, number, wanted = 0.0, 0, self.rate * plan.share / shares
            while inside < wanted or number == 0:
                id = (plan_number << 24) + number + 1
                customer = Customer(id, plan, scenario, number, seed)
                more = customer.inside()
                if number and inside + more / 2 > wanted:
                    break
                self.customers.append(customer)
                self.by_id[id] = customer
                inside, number = inside + more, number + 1
                if len(self.customers) > CUSTOMERS_AT_MOST:
                    raise schema.ScenarioError(
                        f"plans.{plan_number}: more than {CUSTOMERS_AT_MOST} customers"
                    )
        self.hot: dict[int, float] = {}  # by customer: requests a second beside its own
        load = scenario.load
        self.most = (1 + load.ramp) * load.burst

    def start(self) -> None:
        for customer in self.customers:
            self.plan_next(customer)

    def shape(self, now: float) -> float:
        """Of the load at its most: a ramp, and a burst on it."""
        load, past = self.scenario.load, now - START
        level = 1 - load.ramp + 2 * load.ramp * past / self.scenario.duration_s
        if load.burst_at_s <= past < load.burst_at_s + load.burst_for_s:
            level *= load.burst
        return level / self.most

    def plan_next(self, customer: Customer) -> None:
        """The next moment at which it may ask. Rates hold for a time: at its end the draw begins anew."""
        now = self.engine.due
        customer.planned += 1
        while now < self.end:
            rate, until = customer.rate_at(now)
            rate = (rate + self.hot.get(customer.id, 0.0)) * self.most
            wait = customer.stream.exponential(1 / rate) if rate > 0 else math.inf
            if now + wait < until:
                now += wait
                if customer.stream.uniform() < self.shape(now):
                    if now < self.end:
                        self.engine.at(now, self.due, customer, customer.planned)
                    return
            else:
                now = until

    def due(self, customer: Customer, planned: int) -> None:
        if planned != customer.planned:
            return
        self.plan_next(customer)
        now, stream = self.engine.due, customer.stream
        classes: Sequence[schema.RequestClass] = self.scenario.classes
        drawn, number = stream.uniform() * self.shares[-1], 0
        while number < len(classes) - 1 and drawn >= self.shares[number]:
            number += 1
        cls = classes[number]
        self.numbers += 1
        intent = Intent(self.numbers, customer, cls, work_of(cls, stream), now)
        intent.worth = cls.worth * customer.plan.price * customer.units
        intent.wanted_in = customer.reference.take(now, customer.units)
        self.ask(intent)

    def heat(self, share: float, stream: Stream) -> int:
        """One customer asks for that share of the load beside its own; returns its id."""
        customer = self.customers[stream.below(len(self.customers))]
        self.hot[customer.id] = share * self.rate
        self.plan_next(customer)
        return customer.id

    def cool(self, id: int) -> None:
        if self.hot.pop(id, None) is not None:
            self.plan_next(self.by_id[id])


def work_of(cls: schema.RequestClass, stream: Stream) -> float:
    """Seconds of one core at speed 1."""
    if cls.dist == "exp":
        return stream.exponential(cls.work_s)
    if cls.dist == "lognormal" and cls.cv:
        return stream.lognormal(cls.work_s, cls.cv)
    if cls.dist == "pareto" and cls.cv:
        return stream.pareto(cls.work_s, cls.cv)
    return cls.work_s
