"""Who decides in a run: the real GatewayPolicy, or a baseline to compare it with. Baselines never serve.

A policy is what the gateway calls a module, `handle(now, event) -> list[Action]`, with two things for the
account: why it refused last, and what it holds its ceiling to be.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pewterring.admission.ceiling import Ceiling
from pewterring.lab.stores import Store
from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import GatewayPolicy


@dataclass(frozen=True, slots=True)
class Count:
    """Asks the counter service to add to a number, which `Counted` answers. Used in the lab alone."""

    name: int
    amount: float
    life: float


LabAction = i.Action | Count


class Policy(Protocol):
    reason: str

    def handle(self, now: float, event: i.Event) -> Sequence[LabAction]: ...

    def ceiling(self) -> float:
        """How many attempts it takes the whole back end to bear; nan where it has no such idea."""
        ...

    def share(self) -> float:
        """How many of these it holds to be its own."""
        ...


class Pewterring:
    """The decision module behind its interface. It says itself why it refuses."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.module = GatewayPolicy(settings, seed)
        self.reason = ""

    def handle(self, now: float, event: i.Event) -> Sequence[LabAction]:
        actions = self.module.handle(now, event)
        for action in actions:
            if isinstance(action, i.Refuse):  # the account knows no reason of its own for "none may take it"
                self.reason = "ceiling" if action.why == "workers" else action.why
        return actions

    def ceiling(self) -> float:
        return self.module.shares.fleet_limit

    def share(self) -> float:
        return min(self.module.shares.share, self.module.ceiling.limit)


class Baseline:
    """What the plain policies have in common: a list of workers, one attempt a request, chance for a
    choice."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.rng, self.reason = settings, random.Random(seed), ""
        self.servers: dict[int, i.Server] = {}
        self.serving: list[int] = []
        self.held: dict[int, i.Request] = {}
        self.out = 0

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        match event:
            case i.ServerList():
                self.listed(event)
            case i.Request():
                if self.serving and self.admits(now, event):
                    self.held[event.id] = event
                    self.out += 1
                    return [i.Send(event.id, self.rng.choice(self.serving))]
                return [i.Refuse(event.id)]
            case i.Outcome():
                self.out -= 1
                self.learns(now, event)
                held = self.held.pop(event.id, None)
                if held and not event.no_more:
                    return [i.Refuse(event.id) if event.code in i.NEVER_RAN else i.Fail(event.id)]
            case i.Expired():
                self.held.pop(event.id, None)
        return []

    def listed(self, event: i.ServerList) -> None:
        if event.form in (i.ListForm.WHOLE, i.ListForm.REMEMBERED):
            self.servers.clear()
        self.servers.update((s.id, s) for s in event.servers)
        self.serving = sorted(s.id for s in self.servers.values() if s.mode == i.Mode.SERVING)

    def admits(self, now: float, request: i.Request) -> bool:
        return True

    def learns(self, now: float, outcome: i.Outcome) -> None:
        pass

    def ceiling(self) -> float:
        return math.nan

    def share(self) -> float:
        return math.nan


class AdmitAll(Baseline):
    """Lets all in, to a worker by chance."""


class EvenSplit(Baseline):
    """Each gatekeeper of a customer's set keeps an even part of its quota, as a store of its own."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.stores: dict[int, Store] = {}

    def admits(self, now: float, request: i.Request) -> bool:
        plan = self.s.plans[request.plan]
        self.reason = "quota"
        if not plan.refill:
            return True
        if (store := self.stores.get(request.customer)) is None:
            depth = max(request.units, plan.depth / request.set_size)
            store = self.stores[request.customer] = Store(plan.refill / request.set_size, depth, now)
        return store.take(now, request.units)


class StaticCeiling(Baseline):
    """An even part of a fixed ceiling: eight attempts a worker, whatever it bears."""

    SLOTS = 8.0

    def ceiling(self) -> float:
        return self.SLOTS * len(self.serving)

    def share(self) -> float:
        return max(1.0, self.ceiling() / self.s.fleet_size)

    def admits(self, now: float, request: i.Request) -> bool:
        self.reason = "ceiling"
        return self.out < self.share()


class GradientAlone(Baseline):
    """The paper's gradient ceiling in each gatekeeper for itself, an even part of the limit, nothing
    shared."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.law = Ceiling(settings.fleet_size)
        self.classes: dict[int, i.RequestClass] = {}

    def listed(self, event: i.ServerList) -> None:
        super().listed(event)
        self.law.rescale(sum(self.servers[id].rating for id in self.serving), len(self.serving))

    def admits(self, now: float, request: i.Request) -> bool:
        self.reason = "ceiling"
        if self.out >= self.share():
            return False
        self.classes[request.id] = self.s.classes[request.cls]
        return True

    def learns(self, now: float, outcome: i.Outcome) -> None:
        cls = self.classes.pop(outcome.id, None)
        if cls and outcome.code == i.Code.OK:
            self.law.observe(cls, outcome.took, (self.out + 1) * self.s.fleet_size)

    def ceiling(self) -> float:
        return self.law.limit

    def share(self) -> float:
        return max(1.0, self.law.limit / self.s.fleet_size)


class CounterExact(Baseline):
    """Asks the counter service before it sends: exact while it answers, and every request waits for it.

    Without an answer it lets in. Use is counted in windows of the time that a burst lasts, burst and refill
    together.
    """

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.asking: dict[int, list[i.Request]] = {}

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        if isinstance(event, i.Request) and self.s.plans[event.plan].refill:
            plan = self.s.plans[event.plan]
            window = max(1.0, plan.depth / plan.refill)
            name = event.customer * 1_000_000 + int(now / window) % 1_000_000
            self.asking.setdefault(name, []).append(event)
            return [Count(name, event.units, 2 * window)]
        if isinstance(event, i.Counted):
            waiting = self.asking.get(event.name)
            if not waiting:
                return []
            request = waiting.pop(0)
            if not waiting:
                del self.asking[event.name]
            plan = self.s.plans[request.plan]
            window = max(1.0, plan.depth / plan.refill)
            if event.code == i.Code.OK and event.total > plan.refill * window:
                self.reason = "quota"
                return [i.Refuse(request.id)]
            return super().handle(now, request)
        return super().handle(now, event)


POLICIES: dict[str, Callable[[i.Settings, int], Policy]] = {
    "pewterring": Pewterring,
    "admit-all": AdmitAll,
    "even-split": EvenSplit,
    "static-ceiling": StaticCeiling,
    "gradient-alone": GradientAlone,
    "keeper-exact": CounterExact,
}
