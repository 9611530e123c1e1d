"""The five rules under random orders of events, for a gatekeeper alone and with peers' mail."""

import dataclasses
import random

import pytest

from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import ANSWER_TIMEOUT, Gatekeeper
from tests.standalone.helpers import CLASSES, DEADLINE, LIMITS, PLANS, SERVERS, server, settings

CODES = list(interface.Code)
STEP = 0.1  # the clock of these tests moves on by so much at most


class World:
    """Holds what was sent, and checks each action against the rules as the pages word them."""

    def __init__(self, seed: int, limits: interface.Limits) -> None:
        self.rng, self.now = random.Random(seed), 50.0
        self.limits = limits
        self.gatekeeper = Gatekeeper(settings(limits=limits, ask=seed % 2 == 1), seed)
        self.requests: dict[int, interface.Request] = {}
        self.owed: set[int] = set()
        self.sent: dict[int, list[tuple[float, int]]] = {}
        self.out: set[tuple[int, int]] = set()
        self.ran: dict[int, list[int]] = {}
        self.timers: list[tuple[float, int]] = []
        self.listed = {s.id: s for s in SERVERS}
        self.trace: list[str] = []

    def do(self, event: interface.Event) -> None:
        for action in self.gatekeeper.handle(self.now, event):
            self.trace.append(repr(action))
            self.check(action)

    def check(self, a: interface.Action) -> None:
        match a:
            case interface.Send(id, target):
                r, cls = self.requests[id], CLASSES[self.requests[id].cls]
                assert id in self.owed
                assert self.now <= r.not_after
                assert self.listed[target].mode == interface.Mode.SERVING
                attempts = self.sent.setdefault(id, [])
                number = len(attempts)
                assert number < self.limits.max_attempts
                flying = [n for n in range(number) if (id, n) in self.out]
                assert self.limits.may_duplicate or not flying
                maybe = sorted({*flying, *self.ran.get(id, [])})
                if maybe and cls.effect == interface.Effect.SIDE_EFFECT:
                    raise AssertionError("second effect")
                if maybe and cls.effect == interface.Effect.TOKEN:
                    when = attempts[maybe[0]][0]
                    assert self.now <= when + cls.repeat_window
                    for n in maybe:
                        here, there = SERVERS[attempts[n][1]], SERVERS[target]
                        assert cls.group != interface.Group.ZONE or here.zone == there.zone
                        assert cls.group != interface.Group.CELL or here.cell == there.cell
                attempts.append((self.now, target))
                self.out.add((id, number))
            case interface.Refuse(id):
                cls = CLASSES[self.requests[id].cls]
                maybe = [n for n in range(len(self.sent.get(id, []))) if (id, n) in self.out]
                if maybe or self.ran.get(id):
                    assert cls.effect != interface.Effect.SIDE_EFFECT
                    assert cls.effect == interface.Effect.PURE or cls.group == interface.Group.ALL
                self.finish(id)
            case interface.Fail(id):
                self.finish(id)
            case interface.Cancel():
                assert self.limits.cancel
            case interface.Probe():
                assert self.limits.probing
            case interface.Tell(_, data):
                assert self.limits.peers
                assert len(data) <= 256
            case interface.SetTimer(delay, label):
                assert delay > 0
                self.timers.append((self.now + delay, label))

    def finish(self, id: int) -> None:
        assert id in self.owed, "a second final answer"
        assert self.now <= self.requests[id].not_after + STEP
        self.owed.remove(id)

    def step(self) -> None:
        self.now += self.rng.choice([0.0, 0.001, 0.02, STEP])
        for at, label in [t for t in self.timers if t[0] <= self.now]:
            self.timers.remove((at, label))
            self.do(interface.TimerDue(label))
        self.overdue()
        self.random_event(self.rng.random())

    def overdue(self) -> None:
        for id, n in sorted(self.out):
            late = self.now >= self.requests[id].not_after
            if late and id in self.owed and (id, n) in self.out:
                self.outcome(id, n, interface.Code.DEADLINE_EXCEEDED)

    def random_event(self, kind: float) -> None:
        if kind < 0.45:
            self.arrive()
        elif kind < 0.85 and self.out:
            id, n = self.rng.choice(sorted(self.out))
            self.outcome(id, n, self.rng.choice(CODES))
        elif kind < 0.88 and self.owed:
            id = self.rng.choice(sorted(self.owed))
            self.owed.remove(id)
            self.do(interface.Expired(id))
        elif kind < 0.93:
            self.change_list()
        elif kind < 0.97:
            self.do(interface.PeerMail(self.rng.randrange(-1, 5), self.rng.randbytes(self.rng.randrange(60))))
        else:
            self.do(interface.ProbeResult(self.rng.randrange(10), self.rng.choice(CODES), 0.01))

    def arrive(self) -> None:
        id = len(self.requests) + 1
        cls = self.rng.choice(sorted(CLASSES))
        share = self.rng.uniform(0.1, 1.0)
        r = interface.Request(
            id,
            cls,
            self.rng.choice(sorted(PLANS)),
            self.rng.randrange(6),
            self.now + DEADLINE * share,
            self.rng.choice([1.0, 2.0]),
            3,
        )
        self.requests[id] = r
        self.owed.add(id)
        self.do(r)

    def outcome(self, id: int, n: int, code: interface.Code) -> None:
        self.out.remove((id, n))
        target = self.sent[id][n][1]
        if code == interface.Code.OK and id in self.owed:
            self.owed.remove(id)
        if code not in interface.NEVER_RAN:
            self.ran.setdefault(id, []).append(n)
        done = id not in self.owed
        self.do(interface.Outcome(id, n, target, code, 0.1, done))

    def change_list(self) -> None:
        if self.rng.random() < 0.2:
            self.do(interface.ServerList(interface.ListForm.FAILED))
            return
        id = self.rng.randrange(len(SERVERS))
        fresh = self.now if self.rng.random() < 0.3 else 0.0
        mode = self.rng.choice(
            [interface.Mode.SERVING, interface.Mode.SERVING, interface.Mode.DRAINING, interface.Mode.DELETED]
        )
        entry = dataclasses.replace(SERVERS[id], mode=mode, came_up=fresh)
        self.listed[id] = entry
        self.do(interface.ServerList(interface.ListForm.CHANGES, (entry,)))


FEW = interface.Limits(max_attempts=2)


@pytest.mark.parametrize("limits", [LIMITS, FEW, dataclasses.replace(LIMITS, may_duplicate=False)])
@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_random_orders(seed: int, limits: interface.Limits) -> None:
    w = World(seed, limits)
    w.do(interface.ServerList(interface.ListForm.REMEMBERED, SERVERS))
    for _ in range(1500):
        w.step()
    for _ in range(Gatekeeper.MAX_ASKED):
        w.now += STEP
        w.overdue()
        w.do(interface.TimerDue(ANSWER_TIMEOUT))
    while w.out:
        id, n = min(w.out, key=lambda out: (w.requests[out[0]].not_after, out))
        w.now = max(w.now, w.requests[id].not_after)
        w.outcome(id, n, interface.Code.DEADLINE_EXCEEDED)
    assert not w.owed
    assert not w.gatekeeper.held
    assert w.gatekeeper.out == 0
    assert not any(n.in_flight for n in w.gatekeeper.fleet.nodes.values())


def test_equal_events_give_equal_actions() -> None:
    traces = []
    for _ in range(2):
        w = World(3, LIMITS)
        w.do(interface.ServerList(interface.ListForm.REMEMBERED, SERVERS))
        for _ in range(800):
            w.step()
        traces.append(w.trace)
    assert traces[0] == traces[1]


def test_fleet_together_keeps_a_cold_server_up() -> None:
    """Three gatekeepers that never hear each other, one cold server that rejects at once."""
    fleet = [Gatekeeper(settings(me=n, limits=FEW), n) for n in range(3)]
    rules, now, hits, warm, id = settings().rules, 50.0, [], 0, 0
    lists = (*SERVERS, server(9, came_up=60.0))
    for k in fleet:
        k.handle(now, interface.ServerList(interface.ListForm.REMEMBERED, SERVERS))
    while now < 72.0:
        now += 0.005
        for k in fleet:
            if 60.0 <= now < 60.005:
                k.handle(now, interface.ServerList(interface.ListForm.WHOLE, lists))
            if round(now * 1000) % 100 == 0:
                k.handle(now, interface.TimerDue(1))
        k = fleet[id % 3]
        id += 1
        queue = k.handle(now, interface.Request(id, "pure", "free", 1, now + 4, 1.0, 3))
        for attempt in range(2):
            for a in [a for a in queue if isinstance(a, interface.Send)]:
                if a.server == 9:
                    hits.append(now)
                elif now > 60:
                    warm += 1
                code = interface.Code.RESOURCE_EXHAUSTED if a.server == 9 else interface.Code.OK
                queue = k.handle(
                    now, interface.Outcome(a.id, attempt, a.server, code, 0.05, code == interface.Code.OK)
                )
    capacity = warm / 12.0 / len(SERVERS)
    for at in hits:
        window = [h for h in hits if at <= h < at + rules.tip_after]
        present = rules.cold_share + (1 - rules.cold_share) * min(1.0, (at - 60.0) / rules.cold)
        assert len(window) <= rules.fall_multiple * present * capacity * rules.tip_after + 2
    assert hits
