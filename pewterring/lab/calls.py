"""What the emulator holds of requests: a client's intent, each try of it, each attempt of a gatekeeper."""

from pewterring.lab.customers import Customer
from pewterring.lab.schema import RequestClass
from pewterring.standalone.policy import interface as i


class Intent:
    """What a client wants done once, through all its tries. Times are the engine's, in seconds."""

    __slots__ = (
        "asked", "begun", "cls", "customer", "ends", "number", "ran_at", "served", "tries", "wanted_in",
        "work", "worth",
    )  # fmt: skip

    def __init__(self, number: int, customer: Customer, cls: RequestClass, work: float, now: float) -> None:
        self.number, self.customer, self.cls, self.work = number, customer, cls, work
        self.asked, self.ends = now, now + cls.deadline_s
        self.begun = 0  # times that a worker began it
        self.ran_at: list[int] = []  # where
        self.tries = 0
        self.served = False
        self.wanted_in = True  # whether one store that saw all first tries would have let it in
        self.worth = 0.0


class Call:
    """One try: a request with an id of its own, that a gatekeeper owes a final answer."""

    __slots__ = (
        "answered", "attempts", "cls", "excused", "first_sent", "gatekeeper", "gone", "id", "intent", "life",
        "not_after", "request", "within",
    )  # fmt: skip

    def __init__(
        self, request: i.Request, intent: Intent, cls: i.RequestClass, gatekeeper: int, life: int
    ) -> None:
        self.request, self.intent, self.cls = request, intent, cls
        self.gatekeeper, self.life = gatekeeper, life
        self.id, self.not_after = request.id, request.deadline
        self.attempts: list[Attempt] = []
        self.answered = False  # its final answer is given
        self.gone = False  # its client has given up, or its gatekeeper is dead
        self.excused = 0.0  # until when its gatekeeper stood still: it could not answer before
        self.first_sent = -1.0
        self.within = True  # the quota, when it was first sent on

    def may_have_run(self) -> list["Attempt"]:
        """Those that are out, or ended without proof that they never ran."""
        return [a for a in self.attempts if a.ended is None or a.ended not in i.NEVER_RAN]


class Attempt:
    __slots__ = (
        "arrived", "call", "conn_life", "ended", "gatekeeper", "life", "number", "queued", "ran", "sent_at",
        "stopped", "told_start", "work", "worker",
    )  # fmt: skip

    def __init__(self, call: Call, number: int, worker: int, now: float, work: float) -> None:
        self.call, self.number, self.worker, self.sent_at, self.work = call, number, worker, now, work
        self.gatekeeper = call.gatekeeper
        self.life = 0  # of the worker's process that has it
        self.conn_life = -1  # of the worker's process that its connection leads to; -1: none
        self.arrived = self.queued = self.ran = self.stopped = False
        self.told_start = False
        self.ended: i.Code | None = None  # what its gatekeeper was told

    def effect(self) -> None:
        """A worker begins it."""
        intent = self.call.intent
        intent.begun += 1
        intent.ran_at.append(self.worker)
