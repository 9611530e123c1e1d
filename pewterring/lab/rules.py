"""The five rules as invariants, checked at each event. A broken one ends the run.

1. one final answer in time; 2. no effect twice; 3. drains kept; 4. cold workers not pushed over; 5.
ceilings kept. The figures come from the scenario, the wording from the operators' protocol; docs/lab.md has
it in ours.
"""

from dataclasses import dataclass

from pewterring.lab.calls import Attempt, Call
from pewterring.lab.engine import START
from pewterring.lab.workers import Worker
from pewterring.standalone.policy import interface as i

RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "drains kept",
    4: "cold workers not pushed over",
    5: "ceilings kept",
    6: "messages of the stated size",
}
MOST_MESSAGE_BYTES = 256
TOLD_PART = 2 / 3  # of the work sent to a cold worker from gatekeepers that knew of its start


@dataclass
class Broken(Exception):
    """A rule is broken: which, when (seconds into the run), by what, and the request where there is one."""

    rule: int
    at: float
    what: str
    request: int = 0

    def __str__(self) -> str:
        about = f", request {self.request}" if self.request else ""
        return f"rule {self.rule} ({RULES[self.rule]}) broken at {self.at:.3f} s{about}: {self.what}"


class Rules:
    def __init__(self, limits: i.Limits, grace: float, slack: float) -> None:
        self.limits, self.grace, self.slack = limits, grace, slack
        self.checked = dict.fromkeys(RULES, 0)

    def broken(self, rule: int, now: float, what: str, request: int = 0) -> None:
        raise Broken(rule, now - START, what, request)

    # 1

    def final(self, now: float, call: Call, kind: str) -> None:
        """A final answer that a gatekeeper gives."""
        self.checked[1] += 1
        if now > max(call.not_after, call.excused) + self.slack:
            self.broken(1, now, f"{kind} {now - call.not_after:.3f} s past its deadline", call.id)

    def overdue(self, now: float, call: Call) -> None:
        self.checked[1] += 1
        if not call.answered and not call.gone:
            self.broken(
                1,
                now,
                f"gatekeeper {call.gatekeeper} has not answered by {self.slack:g} s past the deadline",
                call.id,
            )

    def sent_after_end(self, now: float, id: int) -> None:
        self.broken(1, now, "an attempt for a request that its gatekeeper does not hold", id)

    # 2

    def may_send(self, now: float, call: Call, to: Worker, workers: list[Worker]) -> None:
        self.checked[2] += 1
        out = [a for a in call.attempts if a.ended is None]
        if out and not self.limits.may_duplicate:
            self.broken(2, now, "a second attempt while one is out, where copies are not allowed", call.id)
        may_have_run = call.may_have_run()
        cls = call.cls
        if not may_have_run or cls.effect == i.Effect.PURE:
            return
        if cls.effect == i.Effect.SIDE_EFFECT:
            self.broken(
                2,
                now,
                f"an unsafe request again, though attempt {may_have_run[0].number} may have run",
                call.id,
            )
        if now > may_have_run[0].sent_at + cls.repeat_window + 1e-9:
            self.broken(2, now, f"a keyed request again {now - may_have_run[0].sent_at:.3f} s later", call.id)
        for attempt in may_have_run:
            first = workers[attempt.worker]
            if cls.group == i.Group.ZONE and first.zone != to.zone:
                self.broken(
                    2, now, f"a keyed request again in zone {to.zone}, first in {first.zone}", call.id
                )
            if cls.group == i.Group.CELL and first.cell != to.cell:
                self.broken(
                    2, now, f"a keyed request again in cell {to.cell}, first in {first.cell}", call.id
                )

    def may_refuse(self, now: float, call: Call) -> None:
        self.checked[2] += 1
        may_have_run = call.may_have_run()
        everywhere = call.cls.effect == i.Effect.TOKEN and call.cls.group == i.Group.ALL
        if may_have_run and call.cls.effect != i.Effect.PURE and not everywhere:
            self.broken(
                2, now, f"refused as harmless, though attempt {may_have_run[0].number} may have run", call.id
            )

    def began(self, now: float, attempt: Attempt) -> None:
        """What a worker really began: an unsafe intent once, through all its client's tries."""
        intent = attempt.call.intent
        if intent.begun > 1 and attempt.call.cls.effect == i.Effect.SIDE_EFFECT:
            self.broken(2, now, f"workers {intent.ran_at} began an unsafe request", attempt.call.id)

    # 3

    def unlisted(self, now: float, id: int, server: int) -> None:
        self.broken(3, now, f"sent to worker {server}, which none of its lists has named", id)

    def drained(self, now: float, call: Call, to: Worker, told: float | None) -> None:
        self.checked[3] += 1
        if told is not None and now > told + self.grace + 1e-9:
            self.broken(
                3, now, f"sent to worker {to.number} {now - told:.3f} s after its end was told", call.id
            )

    # 4

    def fell(self, now: float, worker: Worker) -> None:
        """A cold worker fell over: the gatekeepers' fault if two thirds of its work came from those told, and
        it was too much by the classes' mean work as well."""
        self.checked[4] += 1
        if (part := worker.told_part()) >= TOLD_PART and worker.foreseeable(now):
            who = len({s[2] for s in worker.sends})
            self.broken(
                4, now, f"worker {worker.number}, up for {now - worker.came_up:.2f} s, "
                f"got {worker.sent_sum:.2f} s of work from {who} gatekeepers, {part:.0%} from those told"
            )  # fmt: skip

    # 5

    def ceiling(self, now: float, call: Call, left: float, slack: float) -> None:
        self.checked[5] += 1
        if left < -slack - 1e-9:
            self.broken(
                5,
                now,
                f"customer {call.request.customer} stands at {left:.2f}, {-slack:g} at the least",
                call.id,
            )

    # 6

    def message(self, now: float, sender: int, data: bytes) -> None:
        """Rule 6: a message between gatekeepers is no longer than MOST_MESSAGE_BYTES."""
        if len(data) > MOST_MESSAGE_BYTES:
            self.broken(6, now, f"gatekeeper {sender} sent {len(data)} bytes, {MOST_MESSAGE_BYTES} at most")
