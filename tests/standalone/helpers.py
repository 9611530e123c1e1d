"""Settings, servers and a driver for tests of the policy."""

from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import TICK, GatewayPolicy

LATENCY_TARGET_S, DEADLINE = 1.0, 4.0
CLASSES = {
    "pure": interface.RequestClass("pure", LATENCY_TARGET_S, DEADLINE),
    "token-all": interface.RequestClass(
        "token-all", LATENCY_TARGET_S, DEADLINE, interface.Effect.TOKEN, interface.Group.ALL, 2.0
    ),
    "token-zone": interface.RequestClass(
        "token-zone", LATENCY_TARGET_S, DEADLINE, interface.Effect.TOKEN, interface.Group.ZONE, 2.0
    ),
    "token-cell": interface.RequestClass(
        "token-cell", LATENCY_TARGET_S, DEADLINE, interface.Effect.TOKEN, interface.Group.CELL, 2.0
    ),
    "once": interface.RequestClass("once", LATENCY_TARGET_S, DEADLINE, interface.Effect.SIDE_EFFECT),
    "stream": interface.RequestClass("stream", LATENCY_TARGET_S, DEADLINE, stream=True),
}
PLANS = {
    "free": interface.Plan("free"),
    "small": interface.Plan("small", refill=1.0, depth=4.0),
    "busy": interface.Plan("busy", refill=10.0, depth=12.0),
    "capped": interface.Plan("capped", cap_rate=2.0, cap_depth=8.0, cap_slack=0.8),
    "narrow": interface.Plan("narrow", parallel=4),
}
LIMITS = interface.Limits(
    max_attempts=3,
    may_duplicate=True,
    cancel=True,
    probing=True,
    peers=True,
    retry_after=True,
    max_retry_after=2.0,
)
RULES = interface.Rules(
    stop_sending_within=1.0, cold=10.0, cold_share=0.2, fall_multiple=2.5, tip_after=2.0, ask_within=10.0
)


def settings(
    me: int = 0, fleet: int = 3, limits: interface.Limits = LIMITS, ask: bool = False
) -> interface.Settings:
    return interface.Settings(
        me, fleet, "a", CLASSES, PLANS, limits, RULES, ask_discovery=ask, mail_per_s=60.0, max_units=4.0
    )


def server(id: int, zone: str = "a", cell: int = 0, came_up: float = 0.0) -> interface.Server:
    return interface.Server(id, zone, cell, came_up=came_up)


SERVERS = tuple(server(n, "ab"[n % 2], n % 4) for n in range(8))


class PolicyDriver:
    """A policy with a clock and a list of servers; `first` holds the actions that the list led to."""

    def __init__(
        self,
        setup: interface.Settings | None = None,
        servers: tuple[interface.Server, ...] = SERVERS,
        seed: int = 7,
    ) -> None:
        self.policy = GatewayPolicy(setup or settings(), seed)
        self.now = 100.0
        self.last_id = 0
        self.first = self.do(interface.ServerList(interface.ListForm.REMEMBERED, servers))

    def do(self, event: interface.Event) -> list[interface.Action]:
        return self.policy.handle(self.now, event)

    def ask(
        self, cls: str = "pure", plan: str = "free", customer: int = 1, size: int = 3
    ) -> list[interface.Action]:
        self.last_id += 1
        return self.do(
            interface.Request(self.last_id, cls, plan, customer, self.now + DEADLINE, 1.0, size, 0)
        )

    def sent(self, cls: str = "pure") -> interface.Send:
        """Sends a request, which must be forwarded, and returns that action."""
        (action,) = self.ask(cls)
        assert isinstance(action, interface.Send)
        return action

    def end(
        self,
        send: interface.Send,
        code: interface.Code,
        attempt: int = 0,
        took: float = 0.1,
        last: bool | None = None,
    ) -> list[interface.Action]:
        no_more = code == interface.Code.OK if last is None else last
        return self.do(interface.Outcome(send.id, attempt, send.server, code, took, no_more))

    def serve(self, count: int, latency: float = 0.1, plan: str = "free") -> None:
        """Sends `count` requests one after the other; each attempt is answered after `latency` seconds."""
        for _ in range(count):
            for action in self.ask(plan=plan):
                if isinstance(action, interface.Send):
                    self.now += latency
                    self.end(action, interface.Code.OK, took=latency)

    def tick(self, past: float = 0.0) -> list[interface.Tell]:
        """Advances the clock and returns the messages to peers of the next tick."""
        self.now += past
        return [a for a in self.do(interface.TimerDue(TICK)) if isinstance(a, interface.Tell)]


def final_answers(actions: list[interface.Action]) -> list[interface.Action]:
    return [a for a in actions if isinstance(a, interface.Refuse | interface.Fail)]


def sends(actions: list[interface.Action]) -> list[interface.Send]:
    return [a for a in actions if isinstance(a, interface.Send)]
