"""The five rules under random orders of events, with and without messages from peers."""

import dataclasses
import random

import pytest

from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import ANSWER_TIMEOUT, GatewayPolicy
from tests.standalone.helpers import CLASSES, DEADLINE, LIMITS, PLANS, SERVERS, server, settings

CODES = list(interface.Code)
MAX_STEP_S = 0.1  # the clock advances by at most this between events


class PolicyChecker:
    """Drives a policy with random events and checks each action against the documented rules."""

    def __init__(self, seed: int, limits: interface.Limits) -> None:
        self.rng, self.now = random.Random(seed), 50.0
        self.limits = limits
        self.policy = GatewayPolicy(settings(limits=limits, ask=seed % 2 == 1), seed)
        self.requests: dict[int, interface.Request] = {}
        self.unanswered: set[int] = set()
        self.sent: dict[int, list[tuple[float, int]]] = {}
        self.in_flight: set[tuple[int, int]] = set()
        self.ran: dict[int, list[int]] = {}
        self.timers: list[tuple[float, int]] = []
        self.listed = {server.id: server for server in SERVERS}
        self.trace: list[str] = []

    def do(self, event: interface.Event) -> None:
        for action in self.policy.handle(self.now, event):
            self.trace.append(repr(action))
            self.check(action)

    def check(self, action: interface.Action) -> None:
        match action:
            case interface.Send(id, target):
                request, cls = self.requests[id], CLASSES[self.requests[id].cls]
                assert id in self.unanswered
                assert self.now <= request.deadline
                assert self.listed[target].mode == interface.Mode.SERVING
                attempts = self.sent.setdefault(id, [])
                number = len(attempts)
                assert number < self.limits.max_attempts
                in_flight = [attempt for attempt in range(number) if (id, attempt) in self.in_flight]
                assert self.limits.may_duplicate or not in_flight
                may_have_run = sorted({*in_flight, *self.ran.get(id, [])})
                if may_have_run and cls.effect == interface.Effect.SIDE_EFFECT:
                    raise AssertionError("the request may run twice")
                if may_have_run and cls.effect == interface.Effect.TOKEN:
                    first_sent_at = attempts[may_have_run[0]][0]
                    assert self.now <= first_sent_at + cls.repeat_window
                    for attempt in may_have_run:
                        earlier, server = SERVERS[attempts[attempt][1]], SERVERS[target]
                        assert cls.group != interface.Group.ZONE or earlier.zone == server.zone
                        assert cls.group != interface.Group.CELL or earlier.cell == server.cell
                attempts.append((self.now, target))
                self.in_flight.add((id, number))
            case interface.Refuse(id):
                cls = CLASSES[self.requests[id].cls]
                may_have_run = [
                    attempt
                    for attempt in range(len(self.sent.get(id, [])))
                    if (id, attempt) in self.in_flight
                ]
                if may_have_run or self.ran.get(id):
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
        assert id in self.unanswered, "the request was answered twice"
        assert self.now <= self.requests[id].deadline + MAX_STEP_S
        self.unanswered.remove(id)

    def step(self) -> None:
        self.now += self.rng.choice([0.0, 0.001, 0.02, MAX_STEP_S])
        for due_at, label in [timer for timer in self.timers if timer[0] <= self.now]:
            self.timers.remove((due_at, label))
            self.do(interface.TimerDue(label))
        self.expire_attempts()
        self.random_event(self.rng.random())

    def expire_attempts(self) -> None:
        for id, attempt in sorted(self.in_flight):
            expired = self.now >= self.requests[id].deadline
            if expired and id in self.unanswered and (id, attempt) in self.in_flight:
                self.outcome(id, attempt, interface.Code.DEADLINE_EXCEEDED)

    def random_event(self, draw: float) -> None:
        if draw < 0.45:
            self.arrive()
        elif draw < 0.85 and self.in_flight:
            id, attempt = self.rng.choice(sorted(self.in_flight))
            self.outcome(id, attempt, self.rng.choice(CODES))
        elif draw < 0.88 and self.unanswered:
            id = self.rng.choice(sorted(self.unanswered))
            self.unanswered.remove(id)
            self.do(interface.Expired(id))
        elif draw < 0.93:
            self.change_list()
        elif draw < 0.97:
            self.do(
                interface.PeerMessage(self.rng.randrange(-1, 5), self.rng.randbytes(self.rng.randrange(60)))
            )
        else:
            self.do(interface.ProbeResult(self.rng.randrange(10), self.rng.choice(CODES), 0.01))

    def arrive(self) -> None:
        id = len(self.requests) + 1
        cls = self.rng.choice(sorted(CLASSES))
        fraction = self.rng.uniform(0.1, 1.0)
        request = interface.Request(
            id,
            cls,
            self.rng.choice(sorted(PLANS)),
            self.rng.randrange(6),
            self.now + DEADLINE * fraction,
            self.rng.choice([1.0, 2.0]),
            3,
        )
        self.requests[id] = request
        self.unanswered.add(id)
        self.do(request)

    def outcome(self, id: int, attempt: int, code: interface.Code) -> None:
        self.in_flight.remove((id, attempt))
        target = self.sent[id][attempt][1]
        if code == interface.Code.OK and id in self.unanswered:
            self.unanswered.remove(id)
        if code not in interface.NEVER_RAN:
            self.ran.setdefault(id, []).append(attempt)
        done = id not in self.unanswered
        self.do(interface.Outcome(id, attempt, target, code, 0.1, done))

    def change_list(self) -> None:
        if self.rng.random() < 0.2:
            self.do(interface.ServerList(interface.ListForm.FAILED))
            return
        id = self.rng.randrange(len(SERVERS))
        came_up = self.now if self.rng.random() < 0.3 else 0.0
        mode = self.rng.choice(
            [interface.Mode.SERVING, interface.Mode.SERVING, interface.Mode.DRAINING, interface.Mode.DELETED]
        )
        entry = dataclasses.replace(SERVERS[id], mode=mode, came_up=came_up)
        self.listed[id] = entry
        self.do(interface.ServerList(interface.ListForm.CHANGES, (entry,)))


TWO_ATTEMPTS = interface.Limits(max_attempts=2)


@pytest.mark.parametrize("limits", [LIMITS, TWO_ATTEMPTS, dataclasses.replace(LIMITS, may_duplicate=False)])
@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_under_random_orders_of_events(seed: int, limits: interface.Limits) -> None:
    checker = PolicyChecker(seed, limits)
    checker.do(interface.ServerList(interface.ListForm.REMEMBERED, SERVERS))
    for _ in range(1500):
        checker.step()
    for _ in range(GatewayPolicy.MAX_ASKED):
        checker.now += MAX_STEP_S
        checker.expire_attempts()
        checker.do(interface.TimerDue(ANSWER_TIMEOUT))
    while checker.in_flight:
        id, attempt = min(checker.in_flight, key=lambda key: (checker.requests[key[0]].deadline, key))
        checker.now = max(checker.now, checker.requests[id].deadline)
        checker.outcome(id, attempt, interface.Code.DEADLINE_EXCEEDED)
    assert not checker.unanswered
    assert not checker.policy.requests
    assert checker.policy.in_flight == 0
    assert not any(state.in_flight for state in checker.policy.pool.servers.values())


def test_equal_events_give_equal_actions() -> None:
    traces = []
    for _ in range(2):
        checker = PolicyChecker(3, LIMITS)
        checker.do(interface.ServerList(interface.ListForm.REMEMBERED, SERVERS))
        for _ in range(800):
            checker.step()
        traces.append(checker.trace)
    assert traces[0] == traces[1]


def test_several_gateways_do_not_overload_a_cold_server() -> None:
    """Three gateways without messages to each other, and a cold server that rejects at once."""
    policies = [GatewayPolicy(settings(me=n, limits=TWO_ATTEMPTS), n) for n in range(3)]
    rules, now, cold_sends, warm, id = settings().rules, 50.0, [], 0, 0
    servers = (*SERVERS, server(9, came_up=60.0))
    for policy in policies:
        policy.handle(now, interface.ServerList(interface.ListForm.REMEMBERED, SERVERS))
    while now < 72.0:
        now += 0.005
        for policy in policies:
            if 60.0 <= now < 60.005:
                policy.handle(now, interface.ServerList(interface.ListForm.WHOLE, servers))
            if round(now * 1000) % 100 == 0:
                policy.handle(now, interface.TimerDue(1))
        policy = policies[id % 3]
        id += 1
        actions = policy.handle(now, interface.Request(id, "pure", "free", 1, now + 4, 1.0, 3))
        for attempt in range(2):
            for action in [action for action in actions if isinstance(action, interface.Send)]:
                if action.server == 9:
                    cold_sends.append(now)
                elif now > 60:
                    warm += 1
                code = interface.Code.RESOURCE_EXHAUSTED if action.server == 9 else interface.Code.OK
                actions = policy.handle(
                    now,
                    interface.Outcome(
                        action.id, attempt, action.server, code, 0.05, code == interface.Code.OK
                    ),
                )
    capacity = warm / 12.0 / len(SERVERS)
    for start in cold_sends:
        window = [sent_at for sent_at in cold_sends if start <= sent_at < start + rules.tip_after]
        present_share = rules.cold_share + (1 - rules.cold_share) * min(1.0, (start - 60.0) / rules.cold)
        assert len(window) <= rules.fall_multiple * present_share * capacity * rules.tip_after + 2
    assert cold_sends
