"""One run: clients, the front, gatekeepers, workers, discovery, the counter service and the network.

Gatekeepers are policies behind the module's own interface: the world plays the part of the gateway, event
by event, and checks the five rules at each (rules.py). All random numbers come from streams of the actor
that needs them.
"""

from array import array
from collections import Counter
from collections.abc import Callable
from typing import Any

from pewterring.lab import schema
from pewterring.lab.account import Account, Result
from pewterring.lab.calls import Attempt, Call, Intent
from pewterring.lab.conversions import to_plan, to_request_class, to_server
from pewterring.lab.counter import CounterService
from pewterring.lab.customers import Customer
from pewterring.lab.demand import Demand, Front
from pewterring.lab.discovery import Discovery
from pewterring.lab.engine import START, Engine
from pewterring.lab.host import Host
from pewterring.lab.peer_network import PeerNetwork
from pewterring.lab.policies import POLICIES, Count
from pewterring.lab.rules import Broken, Rules
from pewterring.lab.streams import Stream
from pewterring.lab.workers import Worker
from pewterring.standalone.policy import interface as i

READY_S = 0.1  # until the front takes in a gatekeeper that has started
LEAVES_S, AT_LEAST_S, KILL_S = (
    0.3,
    0.6,
    0.7,
)  # of a planned restart: the front goes, the least, past the deadline
REACH_S = 0.25  # until a client finds that it reaches nobody
GIVES_UP_S = 0.5  # past its deadline an answer is not waited for
MARKS = (
    "slowest",
    "late",
    "refused",
    "failed",
    "beyond",
    "retried",
)  # the first of each kind, the slowest of all


class World:
    def __init__(
        self,
        scenario: schema.Scenario,
        seed: int,
        policy: str = "",
        watch: int = 0,
        engine: Engine | None = None,
    ) -> None:
        """`watch`: the number of an intent whose life is written down in `trail`."""
        self.scenario, self.seed, self.watch = scenario, seed, watch
        self.policy_name = policy or scenario.gatekeepers.policy
        if self.policy_name not in POLICIES:
            raise schema.ScenarioError(
                f"gatekeepers.policy: no {self.policy_name!r}; there are {', '.join(sorted(POLICIES))}"
            )
        self.trail: list[tuple[float, str]] = []
        self.engine = engine or Engine()
        self.account = Account(scenario)
        self.zones = scenario.zones
        g, w = scenario.gatekeepers, scenario.workers
        self.classes = {c.name: to_request_class(c) for c in scenario.classes}
        self.plans = {p.name: to_plan(p) for p in scenario.plans}
        self.limits = i.Limits(
            max_attempts=g.max_attempts, may_duplicate=g.may_duplicate, cancel=w.cancel != "none",
            probing=g.probing, peers=g.peers, retry_after=True,
            max_retry_after=scenario.clients.max_retry_after_s,
        )  # fmt: skip
        self.rules = Rules(self.limits, scenario.discovery.drain_grace_s, g.answer_slack_s)
        self.hosts = [Host(n, self.zones[n % len(self.zones)], seed) for n in range(g.count)]
        self.mean_work, self.longest = schema.mean_work(scenario), schema.longest_deadline(scenario)
        self.workers: list[Worker] = []
        for n in range(w.count):
            self.add_worker(self.zones[n % len(self.zones)], n // w.cell_size)
        self.discovery = self.make_discovery()
        self.front = Front(scenario.front, g.count, seed)
        self.front.closed_at = [START] * g.count
        self.demand = Demand(scenario, self.engine, seed, self.ask)
        self.counter = CounterService(self.engine, scenario.keeper)
        self.ids = 0
        self.storm: list[int] = []  # retries of each client, by each storm that is on
        self.cut = Counter[str]()  # zones that nothing enters or leaves, and by how many faults
        self.clients_cut = Counter[str]()
        self.peers = PeerNetwork(self)
        self.broken: Broken | None = None
        self.doers: dict[type[Any], Callable[[Host, Any], None]] = {
            i.SetTimer: self.set_timer,
            i.Tell: self.peers.send,
            i.Send: self.send,
            i.Refuse: lambda host, a: self.final(host, a.id, "refused", a.retry_after),
            i.Fail: lambda host, a: self.final(host, a.id, "failed", 0.0),
            i.Cancel: self.cancel,
            i.Probe: lambda host, a: self.probe(host, a.server),
            i.Subscribe: lambda host, a: self.discovery.subscribe(host, a.on),
            Count: lambda host, a: self.count(host, a.name, a.amount, a.life),
        }
        self.intent_of = array("q", [0])  # by request id
        self.marks: dict[str, int] = {}  # intents worth a look, by what they show; see MARKS
        self.slowest = 0.0

    # Putting together

    def make_discovery(self) -> Discovery:
        """Whoever tells gatekeepers of workers."""
        return Discovery(self)

    def settings(self, host: Host) -> i.Settings:
        s, w = self.scenario, self.scenario.workers
        return i.Settings(
            me=host.number, fleet_size=len(self.hosts), zone=host.zone, classes=self.classes,
            plans=self.plans,
            limits=self.limits,
            rules=i.Rules(
                stop_sending_within=s.discovery.drain_grace_s, cold=w.cold_s, cold_share=w.cold_share,
                fall_multiple=w.fall_multiple, tip_after=w.tip_after_s, ask_within=10.0,
            ),
            ask_discovery=s.discovery.mode == "ask", mail_per_s=s.gatekeepers.mail_per_s,
            max_units=max(p.units for p in s.plans),
        )  # fmt: skip

    def add_worker(self, zone: str, cell: int, came_up: float = 0.0) -> Worker:
        number = len(self.workers)
        worker = Worker(
            self.engine, number, zone, cell, self.scenario.workers, self.mean_work,
            Stream(self.seed, "worker", number), self.worker_done, self.worker_fell, self.worker_began_again,
        )  # fmt: skip
        worker.came_up = came_up
        self.workers.append(worker)
        return worker

    # The run

    def run(self) -> Result:
        """Plays to the end, or to the first broken rule."""
        s, engine = self.scenario, self.engine
        for host in self.hosts:
            self.discovery.give_first(host)
            engine.after(host.stream.uniform(0, s.gatekeepers.start_spread_s), self.start_host, host)
        engine.after(s.gatekeepers.start_spread_s + READY_S, self.demand.start)
        self.plan_samples()
        try:
            engine.run(START + s.duration_s + self.longest + 1.0)
        except Broken as broken:
            self.broken = broken
        self.sum_up()
        return self.account.result(
            self.policy_name, self.seed, engine.now, engine.events, str(self.broken) if self.broken else ""
        )

    def plan_samples(self) -> None:
        for second in range(1, int(self.scenario.duration_s) + 1):
            self.engine.at(START + second, self.sample, second - 1)

    def sum_up(self) -> None:
        """What the workers have counted, into the account."""
        counts, setup = self.account.counts, self.scenario.workers
        counts["cold_worst"] = max(w.worst for w in self.workers)
        for worker in self.workers:
            worker.advance()
            counts["work_done"] += worker.worked + worker.handshakes * setup.handshake_work_s
            counts["connections"] += worker.handshakes

    def note(self, text: str) -> None:
        self.trail.append((self.engine.now - START, text))

    def sample(self, second: int) -> None:
        into = self.account.seconds[second]
        into.out = sum(len(h.out) for h in self.hosts)
        policies = [h.policy for h in self.hosts if h.up and h.policy]
        ceilings = sorted(x for p in policies if (x := p.ceiling()) == x)
        into.ceiling = round(ceilings[len(ceilings) // 2], 3) if ceilings else 0.0
        into.shares = round(sum(x for p in policies if (x := p.share()) == x), 3)
        self.counter.sweep()

    @property
    def retries(self) -> int:
        return max(self.scenario.clients.retries, *self.storm, 0)

    def delay(self, base: float, stream: Stream) -> float:
        return base * (1 + self.scenario.network.jitter * (2 * stream.uniform() - 1))

    def way(self, host: Host, zone: str) -> float:
        network = self.scenario.network
        return self.delay(network.same_zone_s if zone == host.zone else network.cross_zone_s, host.stream)

    def reaches(self, a: str, b: str) -> bool:
        return a == b or not self.cut or (a not in self.cut and b not in self.cut)

    # Clients

    def ask(self, intent: Intent) -> None:
        self.account.asked(self.engine.now, intent)
        self.try_once(intent)

    def try_once(self, intent: Intent) -> None:
        customer = intent.customer
        now, stream = self.engine.now, customer.stream
        intent.tries += 1
        self.account.counts["tries"] += 1
        self.account.second(now).tries += 1
        gatekeeper = self.front.pick(customer, now, stream)
        wait = self.delay(self.scenario.network.client_s, stream)
        if gatekeeper is None:
            self.engine.after(REACH_S, self.answered, intent, "unreachable", 0.0)
        else:
            self.engine.after(wait, self.arrive, intent, customer, self.hosts[gatekeeper])

    def arrive(self, intent: Intent, customer: Customer, host: Host) -> None:
        client_s = self.scenario.network.client_s
        if host.zone in self.clients_cut:
            return self.engine.after(REACH_S, self.answered, intent, "unreachable", 0.0)
        if not host.up:
            return self.engine.after(client_s, self.answered, intent, "unreachable", 0.0)
        self.turn(host, host.life, self.take, intent, customer)

    def take(self, host: Host, intent: Intent, customer: Customer) -> None:
        now = self.engine.now
        if now >= intent.ends:  # it waited in front of one that stood still
            return self.account.unserved(intent, now)
        call = self.new_call(intent, customer, host)
        request = call.request
        host.calls[request.id] = call
        self.engine.at(call.not_after, self.turn, host, host.life, self.overdue, call)
        if (impatient := self.scenario.clients.impatient) and customer.stream.uniform() < impatient:
            self.engine.at((now + call.not_after) / 2, self.turn, host, host.life, self.client_leaves, call)
        if self.watch == intent.number:
            self.note(
                f"try {intent.tries} comes as request {request.id} ({request.cls}, plan {request.plan}, "
                f"customer {customer.id}, {customer.units:g} units) to gatekeeper {host.number}; "
                f"the customer's store holds {customer.quota.refill(now):.2f}",
            )
        self.tell(host, request)

    def new_call(self, intent: Intent, customer: Customer, host: Host) -> Call:
        """A try under an id of its own."""
        self.ids += 1
        self.intent_of.append(intent.number)
        request = i.Request(
            self.ids, intent.cls.name, customer.plan.name, customer.id, intent.ends, customer.units,
            customer.set_size, customer.first, intent.tries > 1,
        )  # fmt: skip
        return Call(request, intent, self.classes[intent.cls.name], host.number, host.life)

    def client_leaves(self, host: Host, call: Call) -> None:
        if call.answered or call.gone:
            return
        call.gone = True
        host.calls.pop(call.id, None)
        self.account.unserved(call.intent, self.engine.now)
        if self.watch == call.intent.number:
            self.note(f"its client gives up request {call.id}")
        self.tell(host, i.Expired(call.id))

    def answered(self, intent: Intent, kind: str, after: float) -> None:
        """The client learns how a try ended, other than with an answer; it may try again."""
        now, clients = self.engine.now, self.scenario.clients
        stream = intent.customer.stream
        if kind == "unreachable":
            self.account.counts["unreachable"] += 1
        if self.watch == intent.number:
            self.note(f"its client learns: {kind}" + (f", come back in {after:.3f} s" if after else ""))
        harmless = kind in ("refused", "unreachable") or intent.cls.effect == "safe"
        if intent.cls.effect == "keyed" and intent.cls.group == "all":
            harmless = harmless or now - intent.asked <= intent.cls.repeat_window_s
        wait = 0.0 if self.storm else clients.backoff_s * stream.uniform(0.5, 1.5)
        if after and not self.storm and stream.uniform() < clients.honour:
            wait = min(after, clients.max_retry_after_s)
        if harmless and intent.tries <= self.retries and now + wait < intent.ends:
            self.engine.after(wait, self.try_once, intent)
        else:
            self.account.unserved(intent, now)

    def client_served(self, call: Call, plan: schema.Plan) -> None:
        intent, now = call.intent, self.engine.now
        if now > intent.ends + GIVES_UP_S:
            self.account.counts["never_answered"] += 1
            return self.account.unserved(intent, now)
        intent.served = True
        took = now - intent.asked
        if took > self.slowest:
            self.slowest, self.marks["slowest"] = took, intent.number
        if took > intent.cls.aim_s:
            self.marks.setdefault("late", intent.number)
        self.account.answered(now, call, plan)
        if self.watch == intent.number:
            self.note(f"its client has the answer, {now - intent.asked:.3f} s after it asked first")

    # Gatekeepers

    def start_host(self, host: Host) -> None:
        """From nothing, but with the list as it had it last."""
        host.life += 1
        host.up, host.leaving, host.frozen = True, False, 0
        host.policy = POLICIES[self.policy_name](self.settings(host), host.stream.seed64())
        host.tokens, host.token_at, host.subscribed = 1.0, self.engine.now, False
        host.told_end.clear()
        host.told_start.clear()
        known = tuple(host.entries.values())
        self.discovery.told(host, known)
        self.tell(host, i.ServerList(i.ListForm.REMEMBERED, known))
        self.engine.after(READY_S, self.ready, host, host.life)
        if self.scenario.discovery.mode == "push":
            self.discovery.catch_up(host)

    def ready(self, host: Host, life: int) -> None:
        if host.life == life and host.up:
            self.front.back(host.number)

    def kill(self, host: Host) -> None:
        """It ends at once; its machine resets its connections."""
        if not host.up:
            return
        now = self.engine.now
        host.up, host.frozen = False, 0
        host.life += 1
        host.backlog.clear()
        self.front.gone(host.number, now, self.scenario.front.notice_s)
        for call in host.calls.values():
            call.gone = True
            self.engine.after(self.scenario.network.client_s, self.answered, call.intent, "broken", 0.0)
        host.calls.clear()
        for attempt in list(host.out.values()):
            self.end_attempt(host, attempt, i.Code.CANCELLED)
        for worker in self.workers:
            worker.open = max(0, worker.open - len(worker.idle.pop(host.number, ())))

    def leave(self, host: Host, down_s: float) -> None:
        """A planned restart: the front goes elsewhere, what is held is answered, then it ends."""
        if not host.up or host.leaving:
            return
        host.leaving = True
        self.front.gone(host.number, self.engine.now, LEAVES_S)
        at_last = self.engine.now + self.longest + KILL_S
        self.engine.after(AT_LEAST_S, self.left, host, host.life, at_last, down_s)

    def left(self, host: Host, life: int, at_last: float, down_s: float) -> None:
        if host.life != life:
            return
        if host.calls and self.engine.now < at_last:
            return self.engine.after(0.05, self.left, host, life, at_last, down_s)
        self.kill(host)
        self.engine.after(down_s, self.start_host, host)

    def freeze(self, host: Host) -> None:
        host.frozen += host.up

    def thaw(self, host: Host) -> None:
        host.frozen = max(0, host.frozen - 1)
        if host.frozen:
            return
        for call in host.calls.values():
            call.excused = self.engine.now
        backlog, host.backlog = host.backlog, []
        for what, given in backlog:
            self.turn(host, host.life, what, *given)

    def turn(self, host: Host, life: int, what: Callable[..., None], *given: Any) -> None:
        """Something for a gatekeeper to do; one that stands still does it later."""
        if host.life != life or not host.up:
            return
        if host.frozen:
            host.backlog.append((what, given))
        else:
            what(host, *given)

    def tell(self, host: Host, event: i.Event) -> None:
        # By type, not by match: a run carries out a million actions, nearly all of them timers and messages.
        doers = self.doers
        for action in host.policy.handle(self.engine.now, event):  # type: ignore[union-attr]
            if (do := doers.get(type(action))) is not None:
                do(host, action)

    def set_timer(self, host: Host, action: i.SetTimer) -> None:
        due = i.TimerDue(action.label)
        self.engine.after(max(0.0, action.delay), self.turn, host, host.life, self.tell, due)

    def cancel(self, host: Host, action: i.Cancel) -> None:
        if attempt := host.out.get((action.id, action.attempt)):
            self.end_attempt(host, attempt, i.Code.CANCELLED)
            self.engine.after(0.0, self.turn, host, host.life, self.hear_end, attempt)

    def final(self, host: Host, id: int, kind: str, after: float) -> None:
        call = host.calls.pop(id, None)
        if call is None:  # something that is over already: ignored, as the protocol has it
            return
        now, intent = self.engine.now, call.intent
        self.rules.final(now, call, kind)
        if kind == "refused":
            self.rules.may_refuse(now, call)
            assert host.policy is not None
            room = call.first_sent < 0 and intent.customer.has_room(now)
            self.account.refusal(now, host.policy.reason or "tries", room)
            if room:
                self.marks.setdefault("refused", intent.number)
        else:
            self.marks.setdefault("failed", intent.number)
            self.account.failure(now)
        call.answered = True
        if self.watch == intent.number:
            why = f" ({host.policy.reason})" if host.policy and kind == "refused" else ""
            self.note(f"gatekeeper {host.number} gives its final answer: {kind}{why}")
        wait = self.delay(self.scenario.network.client_s, host.stream)
        self.engine.after(wait, self.answered, intent, kind, after)

    def overdue(self, host: Host, call: Call) -> None:
        """The deadline has come: what is out has timed out, and the policy owes its answer now."""
        if call.answered or call.gone:
            return
        for attempt in call.attempts:
            if attempt.ended is None:
                self.end_attempt(host, attempt, i.Code.DEADLINE_EXCEEDED)
                self.hear_end(host, attempt)
        if not call.answered:
            self.engine.after(self.rules.slack, self.must_be_answered, host, call)

    def must_be_answered(self, host: Host, call: Call) -> None:
        if host.life == call.life and not host.frozen:
            self.rules.overdue(self.engine.now, call)

    # Attempts

    def send(self, host: Host, action: i.Send) -> None:
        now, engine, id = self.engine.now, self.engine, action.id
        call = host.calls.get(id)
        if call is None:
            return self.rules.sent_after_end(now, id)
        number = action.server - 1
        if action.server not in host.told_start or not 0 <= number < len(self.workers):
            return self.rules.unlisted(now, id, action.server)
        intent, worker = call.intent, self.workers[number]
        customer = intent.customer
        noise = intent.cls.attempt_noise
        work = intent.work * (1 + noise * (2 * host.stream.uniform() - 1) if noise else 1.0)
        attempt = Attempt(call, len(call.attempts), number, now, work)
        if attempt.number >= self.limits.max_attempts or now >= call.not_after:
            call.attempts.append(attempt)
            attempt.ended = i.Code.TOO_LATE
            return engine.after(0.0, self.turn, host, host.life, self.hear_end, attempt)
        self.rules.may_send(now, call, worker, self.workers)
        self.rules.drained(now, call, worker, host.told_end.get(action.server))
        call.attempts.append(attempt)
        if attempt.number:
            self.marks.setdefault("retried", intent.number)
        host.out[id, attempt.number] = attempt
        attempt.told_start = host.told_start[action.server] >= worker.came_up
        self.account.counts["attempts"] += 1
        self.account.second(now).attempts += 1
        if call.first_sent < 0:
            self.charge(call, customer)
        customer.open += 1
        if self.watch == intent.number:
            self.note(f"gatekeeper {host.number} sends attempt {attempt.number} to worker {number}")
        way = self.way(host, worker.zone)
        reached = worker.state != "silent" and self.reaches(host.zone, worker.zone)
        if worker.state == "down":
            return self.ends_in(2 * way, host, attempt, i.Code.UNAVAILABLE)
        old = worker.connect(host.number, now)
        if old is None:
            return self.ends_in(2 * way, host, attempt, i.Code.UNAVAILABLE)
        attempt.conn_life = worker.life
        if old:
            if reached:  # else nothing comes back
                engine.after(way, self.at_worker, attempt, worker)
        elif reached:
            attempt.work += worker.setup.handshake_work_s
            engine.after(worker.setup.handshake_s + 3 * way, self.at_worker, attempt, worker)
        else:
            wait = worker.setup.connect_timeout_s
            self.ends_in(wait, host, attempt, i.Code.UNAVAILABLE)

    def ends_in(self, wait: float, host: Host, attempt: Attempt, code: i.Code) -> None:
        """Its gatekeeper hears of an end after that time, if it lives and waits for it then."""
        self.engine.after(wait, self.turn, host, attempt.call.life, self.outcome, attempt, code)

    def charge(self, call: Call, customer: Customer) -> None:
        """A try's first attempt takes its units from the true stores."""
        now, plan, units = self.engine.now, customer.plan, customer.units
        call.first_sent = now
        call.within = customer.quota.take(now, units)
        if plan.parallel and customer.open >= plan.parallel:
            call.within = False
        if not call.within:
            self.marks.setdefault("beyond", call.intent.number)
        if plan.cap_rate:
            customer.ceiling.refill(now)
            customer.ceiling.level -= units
            self.rules.ceiling(now, call, customer.ceiling.level, plan.cap_slack)
        self.account.sent_first(now, call, plan)
        if self.watch == call.intent.number:
            self.note("it counts as " + ("within" if call.within else "beyond") + " the quota")

    def at_worker(self, attempt: Attempt, worker: Worker) -> None:
        if attempt.ended is not None:
            return
        host = self.hosts[attempt.gatekeeper]
        if worker.state == "silent" or not self.reaches(host.zone, worker.zone):
            return
        if worker.state == "down" or worker.life != attempt.conn_life:
            way = self.way(host, worker.zone)
            return self.ends_in(way, host, attempt, i.Code.ABORTED)
        attempt.arrived, attempt.life = True, worker.life
        if self.watch == attempt.call.intent.number:
            self.note(
                f"attempt {attempt.number} is at worker {worker.number}: {worker.in_service} in service, "
                f"{worker.lined_up} waiting",
            )
        worker.take(attempt)

    def worker_done(self, attempt: Attempt, code: i.Code) -> None:
        host, worker = self.hosts[attempt.gatekeeper], self.workers[attempt.worker]
        if worker.state == "silent" or not self.reaches(host.zone, worker.zone):
            return
        way = self.way(host, worker.zone)
        self.ends_in(way, host, attempt, code)

    def worker_began_again(self, attempt: Attempt) -> None:
        self.rules.began(self.engine.now, attempt)

    def outcome(self, host: Host, attempt: Attempt, code: i.Code) -> None:
        if attempt.ended is not None:
            return
        call, now = attempt.call, self.engine.now
        self.end_attempt(host, attempt, code)
        if code == i.Code.OK and not call.answered and not call.gone:
            self.rules.final(now, call, "served")
            call.answered = True
            del host.calls[call.id]
            self.account.counts["work_useful"] += attempt.work
            wait = self.delay(self.scenario.network.client_s, host.stream)
            self.engine.after(wait, self.client_served, call, call.intent.customer.plan)
        self.hear_end(host, attempt)

    def end_attempt(self, host: Host, attempt: Attempt, code: i.Code) -> None:
        """Nothing more is waited for: the worker is told, its connection is free or closed."""
        call, worker = attempt.call, self.workers[attempt.worker]
        attempt.ended = code
        host.out.pop((call.id, attempt.number), None)
        call.intent.customer.open -= 1
        if attempt.conn_life == worker.life:
            usable = code in (i.Code.OK, i.Code.INTERNAL, i.Code.RESOURCE_EXHAUSTED)
            worker.release(host.number, self.engine.now, usable)
        given_up = code in (i.Code.CANCELLED, i.Code.DEADLINE_EXCEEDED)
        if given_up and worker.state != "silent" and self.reaches(host.zone, worker.zone):
            self.engine.after(self.way(host, worker.zone), worker.stop, attempt)
        if self.watch == call.intent.number:
            self.note(f"attempt {attempt.number} ends: {code.value}")

    def hear_end(self, host: Host, attempt: Attempt) -> None:
        call = attempt.call
        assert attempt.ended is not None
        took = self.engine.now - attempt.sent_at
        over = call.answered or call.gone
        self.tell(host, i.Outcome(call.id, attempt.number, attempt.worker + 1, attempt.ended, took, over))

    # Workers

    def worker_fell(self, worker: Worker) -> None:
        self.account.counts["fell_over"] += 1
        self.rules.fell(self.engine.now, worker)
        self.silence(worker)
        self.engine.after(worker.setup.fallen_s, self.speak, worker, True)

    def silence(self, worker: Worker) -> None:
        """It says nothing; whoever follows the list hears of it after a time."""
        worker.state = "silent"
        self.engine.after(self.scenario.discovery.silent_s, self.miss, worker, worker.life)

    def miss(self, worker: Worker, life: int) -> None:
        if worker.state == "silent" and worker.life == life and worker.mode == i.Mode.SERVING:
            self.discovery.publish(to_server(worker, i.Mode.DELETED))

    def speak(self, worker: Worker, cold: bool) -> None:
        if worker.state != "silent":
            return
        worker.state = "up"
        if cold:
            worker.lose_all()
            worker.came_up = self.engine.now
        self.discovery.publish(to_server(worker))

    def drain(self, worker: Worker, drain_s: float) -> None:
        if worker.mode == i.Mode.SERVING:
            worker.mode = i.Mode.DRAINING
            self.discovery.publish(to_server(worker))
            self.engine.after(drain_s, self.remove, worker)

    def remove(self, worker: Worker) -> None:
        worker.mode = i.Mode.DELETED
        worker.state = "down"
        for attempt in worker.lose_all():
            host = self.hosts[attempt.gatekeeper]
            way = self.way(host, worker.zone)
            self.ends_in(way, host, attempt, i.Code.ABORTED)
        self.discovery.publish(to_server(worker))

    # Probes, peers, the counter service

    def probe(self, host: Host, server: int) -> None:
        self.account.counts["probes"] += 1
        number = server - 1
        if not 0 <= number < len(self.workers):
            return
        worker = self.workers[number]
        answers = worker.state == "up" and self.reaches(host.zone, worker.zone)
        wait, way = worker.setup.connect_timeout_s, self.way(host, worker.zone)
        if answers:
            wait = 2 * way + worker.setup.handshake_s
        code = i.Code.OK if answers else i.Code.UNAVAILABLE
        self.engine.after(wait, self.turn, host, host.life, self.tell, i.ProbeResult(server, code, wait))

    def count(self, host: Host, name: int, amount: float, life: float) -> None:
        self.account.counts["counter_calls"] += 1

        def answer(code: i.Code, took: float, total: float) -> None:
            if code != i.Code.OK:
                self.account.counts["counter_failed"] += 1
            self.turn(host, born, self.tell, i.Counted(name, code, took, total))

        born = host.life
        self.counter.add(host.number % 2, name, amount, life, answer)
