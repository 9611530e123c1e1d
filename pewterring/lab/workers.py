"""The workers as the emulator has them: cores, a bounded queue, warmth, falling over, connections.

A worker shares its cores evenly among the requests in service, so one number says how far all of them have
come: `progress`, the work that each request in service since ever would have got. A request ends when
progress reaches its begin plus its work. Cancelled work stops as the scenario says.
"""

import heapq
from collections import deque
from collections.abc import Callable
from typing import Literal

from pewterring.lab.calls import Attempt
from pewterring.lab.engine import Engine
from pewterring.lab.schema import Workers
from pewterring.lab.streams import Stream
from pewterring.standalone.policy import interface as i

COLD_STEP = 0.25  # seconds between two updates of a warming worker's speed
SLACK_JOBS = 3.0  # mean requests that a cold worker may get past its budget by chance


class Worker:
    """One machine. `number` is the world's; it keeps it when its process restarts."""

    def __init__(
        self,
        engine: Engine,
        number: int,
        zone: str,
        cell: int,
        setup: Workers,
        mean_work: float,
        stream: Stream,
        done: Callable[[Attempt, i.Code], None],
        fell: Callable[["Worker"], None],
        began_again: Callable[[Attempt], None],
    ) -> None:
        self.engine, self.number, self.zone, self.cell, self.setup = engine, number, zone, cell, setup
        self.mean_work, self.stream, self.done, self.fell = mean_work, stream, done, fell
        self.began_again = began_again
        self.speed = setup.speed * (stream.lognormal(1.0, setup.speed_cv) if setup.speed_cv else 1.0)
        self.slots = max(1, round(setup.cores * setup.slots_per_core))
        self.queue_limit = round(setup.cores * setup.queue_per_core)
        self.life = 0
        self.mode = i.Mode.SERVING
        self.state: Literal["up", "silent", "down"] = "up"  # silent: says nothing; down: refuses connections
        self.restart(0.0)
        # What troubles set:
        self.slow, self.error_rate, self.spoilt, self.lost = 1.0, setup.error_rate, 0.0, 0.0
        # Connections, by gatekeeper: when each idle one was last used, the latest at the end.
        self.idle: dict[int, deque[float]] = {}
        self.open = 0
        self.worked = self.handshakes = 0.0
        self.worst = 0.0  # of its budget while cold, the most that it was sent

    def restart(self, came_up: float) -> None:
        """A new process: it knows nothing of what was here before."""
        self.life += 1
        self.came_up = came_up  # 0: long ago
        self.progress, self.told_at = 0.0, self.engine.now
        self.serving: list[tuple[float, int, Attempt]] = []  # a heap by the progress at which each ends
        self.in_service = 0  # those of `serving` that are not stopped
        self.waiting: deque[Attempt] = deque()
        self.lined_up = 0  # those of `waiting` that are not stopped
        self.order = self.planned = 0
        # While cold: when, work, who, whether that one was told of the start, the work that it had to expect.
        self.sends: deque[tuple[float, float, int, bool, float]] = deque()
        self.sent_sum = 0.0

    # Its speed

    def warmth(self, now: float) -> float:
        cold = self.setup.cold_s
        if not self.came_up or cold <= 0 or now - self.came_up >= cold:
            return 1.0
        share = self.setup.cold_share
        return share + (1 - share) * max(0.0, now - self.came_up) / cold

    def capacity(self, now: float) -> float:
        """Work a second with all cores busy."""
        return self.setup.cores * self.speed * self.warmth(now) / self.slow

    def pace(self, now: float) -> float:
        """Work a second of each request in service."""
        n, setup = max(1, self.in_service), self.setup
        pace = self.capacity(now) / max(n, setup.cores)
        if setup.thrash and (over := n / setup.cores - setup.thrash_at) > 0:
            pace /= 1 + setup.thrash * over
        return pace

    def advance(self) -> None:
        """Brings progress to the present; to be called before anything about the service changes."""
        now = self.engine.now
        if self.in_service:
            self.progress += (now - self.told_at) * self.pace(now)
            self.worked += (now - self.told_at) * self.pace(now) * self.in_service
        self.told_at = now

    def plan(self) -> None:
        """Schedules `finish_due` for when the next request ends or a warming worker has got faster."""
        self.planned += 1
        while self.serving and self.serving[0][2].stopped:
            heapq.heappop(self.serving)
        if not self.serving:
            return
        now = self.engine.now
        wait = max(0.0, self.serving[0][0] - self.progress) / max(self.pace(now), 1e-12)
        if self.came_up and now - self.came_up < self.setup.cold_s:
            wait = min(wait, COLD_STEP)
        self.engine.after(wait, self.finish_due, self.life, self.planned)

    def finish_due(self, life: int, planned: int) -> None:
        """Ends what is done by now, unless the plan it was scheduled by is out of date."""
        if life != self.life or planned != self.planned:
            return
        self.advance()
        while self.serving and (self.serving[0][2].stopped or self.serving[0][0] <= self.progress + 1e-12):
            attempt = heapq.heappop(self.serving)[2]
            if not attempt.stopped:
                self.in_service -= 1
                attempt.stopped = True
                self.finish(attempt)
        self.fill()
        self.plan()

    def finish(self, attempt: Attempt) -> None:
        code = i.Code.OK
        if self.spoilt and self.stream.uniform() < self.spoilt:
            code = i.Code.ABORTED  # it ran, and the gatekeeper cannot read the answer
        if self.lost and self.stream.uniform() < self.lost:
            return  # it ran, and nothing comes back
        self.done(attempt, code)

    # Requests

    def take(self, attempt: Attempt) -> None:
        """A request that has come whole; `attempt.work` is what it costs here."""
        now = self.engine.now
        if self.mode != i.Mode.SERVING:
            return self.done(attempt, i.Code.RESOURCE_EXHAUSTED)
        if self.came_up and now - self.came_up < self.setup.cold_s and self.tips(attempt, now):
            return
        if self.error_rate and self.stream.uniform() < self.error_rate:
            attempt.ran = True
            return self.done(attempt, i.Code.INTERNAL)
        if self.in_service < self.slots:
            self.advance()
            self.begin(attempt)
            self.plan()
        elif self.lined_up < self.queue_limit:
            attempt.queued = True
            self.waiting.append(attempt)
            self.lined_up += 1
        else:
            self.done(attempt, i.Code.RESOURCE_EXHAUSTED)

    def begin(self, attempt: Attempt) -> None:
        attempt.ran, attempt.queued = True, False
        attempt.effect()
        if attempt.call.intent.begun > 1:
            self.began_again(attempt)
        self.order += 1
        self.in_service += 1
        heapq.heappush(self.serving, (self.progress + attempt.work, self.order, attempt))

    def fill(self) -> None:
        now, drops = self.engine.now, self.setup.drops_expired
        while self.waiting and self.in_service < self.slots:
            attempt = self.waiting.popleft()
            if attempt.stopped:
                continue
            self.lined_up -= 1
            if drops and now >= attempt.call.not_after:
                attempt.stopped = True
                self.done(attempt, i.Code.RESOURCE_EXHAUSTED)
                continue
            self.begin(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Its gatekeeper has given up; what stops is for the scenario to say."""
        if attempt.stopped or not attempt.arrived or self.setup.cancel == "none":
            return
        if attempt.queued:
            attempt.stopped = True
            self.lined_up -= 1
        elif attempt.ran and self.setup.cancel == "all" and attempt.life == self.life:
            self.advance()
            attempt.stopped = True
            self.in_service -= 1
            self.fill()
            self.plan()

    # Troubles

    def tips(self, attempt: Attempt, now: float) -> bool:
        """Books what a cold worker is sent, and lets it fall over where it is too much."""
        rules, sends = self.setup, self.sends
        expected = attempt.call.intent.cls.work_s
        sends.append((now, attempt.work, attempt.gatekeeper, attempt.told_start, expected))
        self.sent_sum += attempt.work
        while sends[0][0] < now - rules.tip_after_s:
            self.sent_sum -= sends.popleft()[1]
        budget = rules.fall_multiple * self.capacity(now) * rules.tip_after_s + SLACK_JOBS * self.mean_work
        self.worst = max(self.worst, self.sent_sum / budget)
        if self.sent_sum <= budget:
            return False
        self.fell(self)
        return True

    def told_part(self) -> float:
        """Of the work sent of late, the part from gatekeepers that were told of the start."""
        return sum(s[1] for s in self.sends if s[3]) / max(1e-12, sum(s[1] for s in self.sends))

    def foreseeable(self, now: float) -> bool:
        """Whether what it was sent passes its budget also by the mean work of the classes and the capacity
        of a worker that is only cold: nobody who sends can know more. Else a few costly requests came
        together, or it has just been struck by something else."""
        rules = self.setup
        capacity = rules.cores * self.speed * self.warmth(now)
        return sum(s[4] for s in self.sends) > rules.fall_multiple * capacity * rules.tip_after_s

    def lose_all(self) -> list[Attempt]:
        """The process ends; these were in its hands."""
        held = [s[2] for s in self.serving if not s[2].stopped] + [a for a in self.waiting if not a.stopped]
        for attempt in held:
            attempt.stopped = True
        self.idle.clear()
        self.open = 0
        self.restart(self.came_up)
        return held

    # Connections

    def connect(self, gatekeeper: int, now: float) -> bool | None:
        """True: an idle connection is used; False: a new one; None: it holds no more."""
        held = self.idle.get(gatekeeper)
        keep = self.setup.idle_s / 2  # gatekeepers let go of them at half of their life
        while held and held[0] < now - keep:
            held.popleft()
            self.open -= 1
        if held:
            held.pop()
            return True
        if self.open >= self.setup.connections:
            self.lapse(now)
        if self.open >= self.setup.connections:
            return None
        self.open += 1
        self.handshakes += 1
        return False

    def lapse(self, now: float) -> None:
        """Closes what has stood idle for too long; looked at only when there is no room."""
        for held in self.idle.values():
            while held and held[0] <= now - self.setup.idle_s:
                held.popleft()
                self.open -= 1

    def release(self, gatekeeper: int, now: float, usable: bool) -> None:
        """The exchange on a connection is over."""
        if usable:
            self.idle.setdefault(gatekeeper, deque()).append(now)
        else:
            self.open = max(0, self.open - 1)
