"""Settings, events and short ways to drive a Gatekeeper in the tests."""

from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import TICK, Gatekeeper

AIM, DEADLINE = 1.0, 4.0
CLASSES = {
    "pure": i.RequestClass("pure", AIM, DEADLINE),
    "token-all": i.RequestClass("token-all", AIM, DEADLINE, i.Effect.TOKEN, i.Group.ALL, 2.0),
    "token-zone": i.RequestClass("token-zone", AIM, DEADLINE, i.Effect.TOKEN, i.Group.ZONE, 2.0),
    "token-cell": i.RequestClass("token-cell", AIM, DEADLINE, i.Effect.TOKEN, i.Group.CELL, 2.0),
    "once": i.RequestClass("once", AIM, DEADLINE, i.Effect.SIDE_EFFECT),
    "stream": i.RequestClass("stream", AIM, DEADLINE, stream=True),
}
PLANS = {
    "free": i.Plan("free"),
    "small": i.Plan("small", refill=1.0, depth=4.0),
    "busy": i.Plan("busy", refill=10.0, depth=12.0),
    "capped": i.Plan("capped", cap_rate=2.0, cap_depth=8.0, cap_slack=0.8),
    "narrow": i.Plan("narrow", parallel=4),
}
LIMITS = i.Limits(
    max_attempts=3,
    may_duplicate=True,
    cancel=True,
    probing=True,
    peers=True,
    retry_after=True,
    max_retry_after=2.0,
)
RULES = i.Rules(
    stop_sending_within=1.0, cold=10.0, cold_share=0.2, fall_multiple=2.5, tip_after=2.0, ask_within=10.0
)


def settings(me: int = 0, fleet: int = 3, limits: i.Limits = LIMITS, ask: bool = False) -> i.Settings:
    return i.Settings(
        me, fleet, "a", CLASSES, PLANS, limits, RULES, ask_discovery=ask, mail_per_s=60.0, max_units=4.0
    )


def server(id: int, zone: str = "a", cell: int = 0, came_up: float = 0.0) -> i.Server:
    return i.Server(id, zone, cell, came_up=came_up)


SERVERS = tuple(server(n, "ab"[n % 2], n % 4) for n in range(8))


class Drive:
    """A gatekeeper with a clock, a list of servers, and what it did last."""

    def __init__(
        self, setup: i.Settings | None = None, servers: tuple[i.Server, ...] = SERVERS, seed: int = 7
    ) -> None:
        self.gatekeeper = Gatekeeper(setup or settings(), seed)
        self.now = 100.0
        self.ids = 0
        self.first = self.do(i.ServerList(i.ListForm.REMEMBERED, servers))

    def do(self, event: i.Event) -> list[i.Action]:
        return self.gatekeeper.handle(self.now, event)

    def ask(self, cls: str = "pure", plan: str = "free", customer: int = 1, size: int = 3) -> list[i.Action]:
        self.ids += 1
        return self.do(i.Request(self.ids, cls, plan, customer, self.now + DEADLINE, 1.0, size, 0))

    def sent(self, cls: str = "pure") -> i.Send:
        """Asks, and expects the request to be sent on."""
        (action,) = self.ask(cls)
        assert isinstance(action, i.Send)
        return action

    def end(
        self, send: i.Send, code: i.Code, attempt: int = 0, took: float = 0.1, last: bool | None = None
    ) -> list[i.Action]:
        done = code == i.Code.OK if last is None else last
        return self.do(i.Outcome(send.id, attempt, send.server, code, took, done))

    def serve(self, count: int, latency: float = 0.1, plan: str = "free") -> None:
        """That many requests one after the other, all answered."""
        for _ in range(count):
            for action in self.ask(plan=plan):
                if isinstance(action, i.Send):
                    self.now += latency
                    self.end(action, i.Code.OK, took=latency)

    def tick(self, past: float = 0.0) -> list[i.Tell]:
        """What peers are told after that time."""
        self.now += past
        return [a for a in self.do(i.TimerDue(TICK)) if isinstance(a, i.Tell)]


def finals(actions: list[i.Action]) -> list[i.Action]:
    return [a for a in actions if isinstance(a, i.Refuse | i.Fail)]


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [a for a in actions if isinstance(a, i.Send)]
