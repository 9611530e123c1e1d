"""The policy of a gateway, see docs/design.md. A request needs quota (Quota), a slot below both the
gateway's share and the concurrency limit (Shares, Ceiling), and a server (ServerPool). Nothing is queued."""

import math  # isort: skip_file
import random

from pewterring.admission.ceiling import Ceiling
from pewterring.admission.shares import HEARTBEAT_PERIOD_S, Shares
from pewterring.standalone.peer_messages import (MAX_USAGE_ENTRIES, QuotaGrant, QuotaRelease, QuotaRequest,
    QuotaUsage, decode_quota, decode_usage, encode_quota, encode_usage, plan_number)  # fmt: skip
from pewterring.standalone.policy.interface import (
    NEVER_RAN, Action, Cancel, Code, Effect, Event, Expired, Fail, Group, ListForm, Mode, Outcome,
    PeerMessage, Plan, Probe, ProbeResult, Refuse, Request, RequestClass, Send, ServerList, SetTimer,
    Settings, StreamStarted, Subscribe, Tell, TimerDue)  # fmt: skip
from pewterring.standalone.policy.state import Account, Health, PendingRequest, ServerState, Usage

TICK, HEALTH_TICK, LIST_RETRY, ANSWER_TIMEOUT = 1, 2, 3, 4  # labels of timers
UPDATE_INTERVAL_S = 0.1  # the shortest between usage updates; longer where peers can receive few messages
TARGET_CHECKS = 12  # checks for unresponsive servers within the shortest latency target
# A rejection costs a round trip and no work: weighted as an error it would overload the servers that accept.
ERROR_WEIGHTS = {Code.INTERNAL: 1.0, Code.ABORTED: 1.0, Code.UNAVAILABLE: 1.0, Code.RESOURCE_EXHAUSTED: 0.25}
MAX_OVERHEAD = 0.3  # of messages, for heartbeats to all: more isn't worth it; 13 gateways at 100 messages/s


class CustomerAccount(Account):
    """An account with the usage of the whole set, as far as it is known here."""

    def demand(self) -> float:
        return self.own.demand + sum(u.demand for u in self.reported.values())

    def spent(self) -> float:
        return self.own.spent + sum(u.spent for u in self.reported.values())

    def spend(self, units: float) -> bool:
        spent = min(units, max(0.0, self.plan.depth - self.spent()))  # use beyond the quota is not charged
        self.own.spent, self.ungranted = self.own.spent + spent, self.ungranted + spent
        return spent > 0

    def advance(self, now: float) -> None:
        if (elapsed := now - self.updated_at) <= 0:
            return
        # The refill is divided by what each gateway spent, as its peers know it: else all refill too much.
        decay, refill = math.exp(-elapsed / self.window), elapsed * self.plan.refill
        sent = list(self.sent.values()) or [self.own]
        known, reported = max(u.spent for u in sent), sum(u.spent for u in self.reported.values())
        fraction = min(1.0, refill / (known + reported)) if known + reported > 0 else 1.0
        own = self.own.spent - (known * fraction if fraction < 1 else refill)
        for u in (self.own, *self.sent.values(), *(self.reported.values() if now >= self.valid_to else ())):
            u.demand *= decay
            u.spent *= 1 - fraction
        self.own.spent = max(0.0, own)
        half = elapsed * self.plan.cap_rate / 2
        self.own_cap = min(self.plan.cap_depth / 2 / self.size, self.own_cap + half / self.size)
        self.shared_cap = min(self.plan.cap_depth / 2, self.shared_cap + half)
        self.updated_at = now


class Quota:
    """Admission by quotas and hard limits. Past a local share of the burst total demand decides, from usage
    that gateways report to each other; in a sparse fleet the owner of the account decides."""

    # The quota varies by GAIN refill rates per burst left or overdrawn; 1 / GAIN of a burst is kept back, so
    GAIN = 10.0  # that it is zero when nothing is left: admitting a request too early only costs
    ANSWER_TTL_S, MAX_MISSED = 2.0, 2.0  # validity of an owner's answer; most missed answers that are counted
    GRANT_TTL = 4.0  # typical latencies after which an owner frees a slot whose release did not arrive

    def __init__(self, settings: Settings, rng: random.Random, sparse: bool = False) -> None:
        self.settings, self.rng, self.began, self.sparse = settings, rng, 0.0, sparse
        self.accounts, self.incarnations = dict[int, CustomerAccount](), dict[int, int]()  # of peers
        self.unsent: dict[int, CustomerAccount] = {}  # those with usage not yet sent to peers
        self.answers: dict[tuple[int, int, int], tuple[float, QuotaGrant]] = {}  # given recently, as owner
        self.plans = {plan_number(name): plan for name, plan in settings.plans.items()}

    def get_account(self, now: float, id: int, plan: Plan, size: int, first: int) -> CustomerAccount:
        account, size = self.accounts.get(id), max(1, size)
        owner = (first + id % size) % self.settings.fleet_size
        if account and (account.size, account.first, account.owner) != (size, first, owner):
            account.size, account.first, account.owner, account.shared_cap = size, first, owner, 0.0
        if account is None:
            account = self.accounts[id] = CustomerAccount(now, plan, size, first, owner)
            # Half of a hard limit is divided evenly, half is held by the owner. Both fill from this gateway's
            # start, and an owner's first request says how much is spent: a restart grants nothing twice.
            account.shared_cap = min(plan.cap_depth, (now - self.began) * plan.cap_rate) / 2
            account.own_cap, account.credit = account.shared_cap / size, self.rng.random()
        account.advance(now)
        return account

    def admits(self, account: CustomerAccount, units: float, reserve: float = 1 / GAIN) -> bool:
        plan = account.plan  # nothing is kept back from a full burst
        spare = plan.depth - account.spent() - min(plan.depth, units + plan.depth * reserve)
        is_owner = self.sparse and account.owner == self.settings.me
        if not plan.refill or (spare >= 0 and account.own.spent + units
                               <= plan.depth / (1 if is_owner else account.size)):  # fmt: skip
            return True  # beyond the local share the demand and what is left of the burst decide
        quota, demand = max(0.0, plan.refill * (1 + self.GAIN * spare / plan.depth)), account.demand()
        if demand > quota:
            # Evenly spaced from a random start: random draws would empty and waste a small burst by turns.
            account.credit += units * quota / demand
            if account.credit < units:
                return False
            account.credit -= units
        return True

    def needs_owner(self, account: CustomerAccount, units: float) -> bool:
        shared = ((self.sparse and account.plan.refill)  # uneven arrivals use up one part of a hard limit
                 or account.plan.parallel or (account.plan.cap_rate and account.own_cap < units))  # fmt: skip
        return bool(shared) and account.size > 1 and self.settings.limits.peers

    def grant(self, now: float, peer: int, request: QuotaRequest, typical: float) -> QuotaGrant:
        """The owner's answer, the same to a repeated request. Used at once or lost, it has one holder."""
        if (known := self.answers.get((peer, request.token, request.customer))) and peer != self.settings.me:
            return known[1]
        plan = self.plans[request.plan]
        is_new, remote = request.customer not in self.accounts, self.sparse and peer != self.settings.me
        account = self.get_account(now, request.customer, plan, request.size, request.first)
        account.spend((request.spent if is_new else request.ungranted * remote) * plan.depth)
        account.grants = {k: at for k, at in account.grants.items() if now - at <= self.GRANT_TTL * typical}
        account.own.demand += request.demand / account.window * remote
        granted = not self.sparse or self.admits(account, request.units)
        granted = granted and not (plan.parallel and len(account.grants) >= plan.parallel)
        pooled = granted and plan.cap_rate > 0 and account.shared_cap >= request.units
        account.shared_cap -= request.units * pooled
        if granted and plan.parallel:
            account.grants[peer, request.token] = now
        if granted and self.sparse:
            account.spend(request.units)
        fractions = account.demand() / max(plan.refill, 1e-9), account.spent() / max(plan.depth, 1e-9)
        grant = QuotaGrant(request.token, granted, pooled, *fractions)
        self.answers[peer, request.token, request.customer] = now, grant
        return grant

    def release(self, peer: int, release: QuotaRelease) -> None:  # frees a slot, corrects the units
        if account := self.accounts.get(release.customer):
            account.grants.pop((peer, release.token), None)
            if self.sparse or peer == self.settings.me:
                account.own.spent += release.extra
                account.own.demand += release.extra / account.window

    def expire(self, now: float) -> None:
        for id in [id for id, a in self.accounts.items() if now - a.updated_at > a.idle_s]:
            del self.accounts[id]  # its burst and hard limit are full again
            self.unsent.pop(id, None)
        self.answers = {k: given for k, given in self.answers.items() if now - given[0] < self.ANSWER_TTL_S}

    def usage_updates(self, now: float) -> dict[int, bytes]:  # by peer, where its view is too inaccurate
        updates: dict[int, list[tuple[float, int, Usage]]] = {}
        unsent, self.unsent = self.unsent, {}
        for id, account in unsent.items():
            account.advance(now)
            for peer in (n % self.settings.fleet_size
                         for n in range(account.first, account.first + account.size)):  # fmt: skip
                known = account.sent.get(peer, Usage())
                error = abs(account.own.demand - known.demand) / account.plan.refill
                error += abs(account.own.spent - known.spent) / account.plan.depth
                if error * account.size > 0.04:
                    updates.setdefault(peer, []).append((error, id, account.own))
        updates.pop(self.settings.me, None)
        return {peer: self.encode_updates(peer, entries) for peer, entries in updates.items()}

    def encode_updates(self, peer: int, entries: list[tuple[float, int, Usage]]) -> bytes:
        entries.sort(key=lambda entry: entry[:2], reverse=True)  # the largest errors first
        self.unsent.update({id: self.accounts[id] for _, id, _ in entries[MAX_USAGE_ENTRIES:]})
        usages = []
        for _, id, usage in entries[:MAX_USAGE_ENTRIES]:
            account = self.accounts[id]
            account.sent[peer] = Usage(usage.demand, usage.spent)
            shown = (usage.demand / account.plan.refill, usage.spent / account.plan.depth)
            usages.append(QuotaUsage(id, plan_number(account.plan.name), account.size, account.first, *shown))
        return encode_usage(usages)

    def receive(self, now: float, peer: int, incarnation: int, data: bytes) -> None:
        if self.incarnations.setdefault(peer, incarnation) != incarnation:  # a restarted peer needs all
            self.incarnations[peer] = incarnation
            self.unsent.update({id: a for id, a in self.accounts.items() if a.sent.pop(peer, None)})
        for entry in decode_usage(data):
            if entry.plan in self.plans and 0 < entry.size <= self.settings.fleet_size:
                plan = self.plans[entry.plan]
                reported = Usage(entry.demand * plan.refill, entry.spent * plan.depth)
                account = self.get_account(now, entry.customer, plan, entry.size, entry.first)
                account.reported = {  # without former incarnations whose usage has been refilled
                    k: u for k, u in account.reported.items() if u.spent or u.demand > 0.01
                } | {incarnation: reported}


class ServerPool:
    """The servers: their list, health and slow start, and the choice of the least expected wait."""

    SILENCE_LIMIT = 8.0  # mean latencies; if exponential, a healthy server exceeds it once in e^8 times
    SILENCE_WEIGHT = 0.5  # of silence in a server's error rate: it may be due to a single lost answer
    SYMPTOM_DECAY_S = 5.0  # slowness and errors decay by 1/e within it, so that traffic tests servers again
    OUTCOME_WEIGHT = 0.1  # of one outcome; up to threefold, and kept for as long, where each gateway sees few
    COLD_SENDERS = 4  # gateways, approximately, that may send to a cold server at once
    SUBSET = 12  # servers that each gateway of a sparse fleet prefers, so that connections stay open

    def __init__(self, settings: Settings, rng: random.Random, sparse: bool = False) -> None:
        self.settings, self.rng = settings, rng
        self.servers, self.serving = dict[int, ServerState](), list[ServerState]()
        # The fraction of a server's load not seen here: in a large fleet some warm server always looks idle.
        self.unseen, self.sparse = max(0.0, 1 - self.COLD_SENDERS / settings.fleet_size), sparse
        scale = 1 + 2 * self.unseen
        self.weight, self.decay_s = scale * self.OUTCOME_WEIGHT, scale * self.SYMPTOM_DECAY_S
        self.subset, self.pace, self.rating = set[int](), 0.0, 0.0

    def update(self, now: float, event: ServerList) -> None:
        for server in self.servers.values() if event.form in (ListForm.WHOLE, ListForm.REMEMBERED) else ():
            server.listed = False
        for entry in event.servers:
            server = self.servers.setdefault(entry.id, ServerState(entry))
            if entry.came_up > server.came_up:
                for health in server.health.values():
                    health.slowness, health.error_rate = 1.0, 0.0
                self.begin_slow_start(server, entry.came_up, now)
            server.entry, server.listed = entry, entry.mode != Mode.DELETED
        for id in [id for id, s in self.servers.items() if not s.listed and not s.in_flight]:
            del self.servers[id]
        self.serving = [s for s in self.servers.values() if s.listed and s.entry.mode == Mode.SERVING]
        order = sorted(self.serving, key=lambda s: (s.entry.common or s.entry.id) * 2654435761 % 2**32)
        pos = len(order) * self.settings.me // self.settings.fleet_size  # an even range of a common order
        self.subset = {s.entry.id for s in ((order * 2)[pos : pos + self.SUBSET] if self.sparse else order)}
        self.rating = sum(1.0 if self.settings.live_ratings else s.entry.rating for s in self.serving)

    def warmth(self, server: ServerState, now: float) -> float:  # fraction of its full capacity
        rules, age = self.settings.rules, now - server.came_up
        if not server.came_up or age >= rules.cold:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, age) / rules.cold

    def begin_slow_start(self, server: ServerState, came_up: float, now: float) -> None:
        server.came_up, server.filled_at = came_up, now  # a few gateways may send at once, others later
        part = self.SUBSET / max(1, len(self.serving)) if self.sparse else 1.0
        senders = self.settings.fleet_size * min(1.0, part)
        server.tokens = min(1.0, self.rng.random() + self.COLD_SENDERS / senders)

    def measure_rate(self, now: float, flow: float) -> None:  # sent to warm servers, per unit of rating
        warm = sum(s.entry.rating * self.warmth(s, now) for s in self.serving if s.entry.id in self.subset)
        self.pace = flow / warm if warm > 0 else 0.0

    def has_tokens(self, server: ServerState, now: float) -> bool:
        """Whether slow start admits an attempt: at a fraction of a warm server's rate, far below overload."""
        warm = self.warmth(server, now)
        if warm >= 1.0:
            return True
        rules = self.settings.rules
        rate = warm * server.entry.rating * self.pace * min(1.25 - self.unseen / 4, rules.fall_multiple / 2)
        rate = max(rate, 1 / (rules.tip_after * self.settings.fleet_size))  # pace is 0 while all are cold
        server.tokens = min(1.0 + rate * rules.tip_after / 2, server.tokens + rate * (now - server.filled_at))
        server.filled_at = now
        return server.tokens >= 1.0

    def symptoms(self, health: Health, now: float) -> tuple[float, float]:  # decayed slowness and errors
        decay = math.exp((health.updated_at - now) / self.decay_s)
        return 1.0 + (health.slowness - 1.0) * decay, health.error_rate * decay

    def cost(self, server: ServerState, now: float, cls: str) -> float:
        """Expected wait: attempts in flight by present capacity, scaled by slowness and errors."""
        health = server.health_of(cls)
        slowness, error_rate = self.symptoms(health, now)
        # The random load stands for peers' attempts: with few of its own a gateway chooses by rating.
        # Tokens limit the share of a cold server: a random load on top would halve it.
        warmth, random_load = self.warmth(server, now), self.rng.expovariate(1.0)
        ahead = 0.0 if warmth < 1.0 and self.unseen else 1 + self.unseen * (random_load - 1)
        wait = (server.in_flight + ahead) / max(server.entry.rating * warmth, 1e-9)
        wait *= max(1.0, slowness) / max(0.05, 1.0 - error_rate) ** 4
        if health.unresponsive_since:
            wait *= 1000.0
        if server.entry.zone != self.settings.zone:
            wait *= 1.0 + self.settings.price_cross_zone * 10
        return wait

    def choose(self, now: float, candidates: list[ServerState], call: PendingRequest) -> ServerState | None:
        candidates = [s for s in candidates if s.entry.id in self.subset] or candidates
        ready = [s for s in candidates if self.has_tokens(s, now)]
        untried = [s for s in ready if s not in [tried for tried, _ in call.attempts]] or ready
        return min(untried, key=lambda s: (self.cost(s, now, call.cls.name), self.rng.random()), default=None)

    def record(self, server: ServerState, health: Health, now: float, mean: float, outcome: Outcome) -> None:
        health.in_flight.pop((outcome.id, outcome.attempt), None)
        if outcome.code in (Code.OK, Code.INTERNAL, Code.RESOURCE_EXHAUSTED):
            self.mark_responsive(server, now, health)
        # Classes without a recent outcome take it over too: a server may answer some classes and not others.
        for each in server.health.values():
            if each is not health and now - each.last_outcome < self.decay_s:
                continue
            (each.slowness, each.error_rate), each.updated_at = self.symptoms(each, now), now
            if outcome.code == Code.OK:
                each.slowness += (min(10.0, outcome.took / max(mean, 1e-9)) - each.slowness) * self.weight
                each.error_rate -= each.error_rate * self.weight
            elif outcome.code in ERROR_WEIGHTS:
                each.error_rate += (ERROR_WEIGHTS[outcome.code] - each.error_rate) * self.weight
        if outcome.code == Code.OK or outcome.code in ERROR_WEIGHTS:
            health.last_outcome = now

    def mark_responsive(self, server: ServerState, now: float, only: Health | None = None) -> None:
        for health in [only] if only else server.health.values():
            health.last_answer = now
            if health.unresponsive_since and (now - max(health.unresponsive_since, server.last_answer)
                                              > self.settings.rules.tip_after):  # fmt: skip
                self.begin_slow_start(server, now, now)  # may have restarted: cold unless a list says not
            health.unresponsive_since = 0.0
        server.last_answer = now

    def check_silence(self, now: float, means: dict[str, float], typical: float) -> None:  # mean latencies
        for server in self.servers.values():
            for cls, health in server.health.items():
                if health.unresponsive_since or not health.in_flight:
                    continue
                wait = sum(max(0.0, now - max(at, health.last_answer)) for at in health.in_flight.values())
                if wait > self.SILENCE_LIMIT * max(1.0, health.slowness) * max(means.get(cls, typical), 1e-3):
                    (health.slowness, health.error_rate), health.updated_at = self.symptoms(health, now), now
                    health.error_rate += (1.0 - health.error_rate) * self.SILENCE_WEIGHT
                    health.unresponsive_since = health.last_outcome = now


class GatewayPolicy:
    LOST = 8.0  # typical latencies after which an attempt counts as lost: one in 3,000 if exponential
    IDLE_FRACTION = 0.5  # of this gateway's share: below it in flight, the share counts as idle
    OWNER_WAIT, MAX_ASKED = 0.2, 3  # wait for an owner, in shortest latency targets; times that it is asked
    ANSWER_WEIGHT = 1 / 32  # of one quota request, answered or not, in the answer rate
    MIN_ANSWER_RATE = 0.75  # below it quota requests are not repeated: that would overload peers
    RETRY_RATIO, UNRUN_COST = 0.2, 0.25  # retries per first attempt; cost of one if no attempt was executed

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.ceiling = Ceiling(settings.fleet_size)
        self.intake, others = 0.8 * settings.mail_per_s, settings.fleet_size - 1  # intake: messages/s
        self.sparse = settings.limits.peers and 0.0 < MAX_OVERHEAD * self.intake * HEARTBEAT_PERIOD_S < others
        self.shares = Shares(settings.fleet_size, self.rng.getrandbits(32), self.sparse)
        self.pool = ServerPool(settings, self.rng, self.sparse)
        self.quota = Quota(settings, self.rng, self.sparse)
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], PendingRequest] = {}  # in flight, also after their request ended
        self.actions: list[Action] = []
        self.lost, self.retry_budget, self.last_token, self.answer_rate = 0, 1.0, 0, 1.0
        self.awaiting_owner: dict[int, PendingRequest] = {}  # by token of the quota request
        self.tick_s = (HEARTBEAT_PERIOD_S / 2 if self.sparse
                       else max(UPDATE_INTERVAL_S, others / max(self.intake, 1.0)))  # fmt: skip
        self.last_tick, self.last_heartbeats = 0.0, dict[int, float]()
        self.check_s = min((c.latency_target for c in settings.classes.values()), default=1.0) / TARGET_CHECKS
        self.wait_s = self.check_s * TARGET_CHECKS * self.OWNER_WAIT

    @property
    def in_flight(self) -> int:
        return max(0, len(self.attempts) - self.lost)

    def is_full(self) -> bool:
        return self.in_flight >= min(self.shares.capacity(self.in_flight), self.ceiling.limit)

    def latency(self) -> float:  # mean of the slowest class; the shortest latency target while none is known
        return max(self.ceiling.mean.values(), default=self.check_s * TARGET_CHECKS)

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        if isinstance(event, ServerList):
            self.pool.update(now, event)
            self.ceiling.rescale(self.pool.rating, len(self.pool.serving))
        if self.shares.started_at == -math.inf:
            self.start(now)
        match event:
            case Request():
                self.on_request(now, event)
            case Outcome():
                self.on_outcome(now, event)
            case ServerList(ListForm.FAILED) if self.settings.ask_discovery:
                self.actions.append(SetTimer(
                    self.settings.rules.ask_within * self.rng.uniform(0.1, 0.4), LIST_RETRY))  # fmt: skip
            case TimerDue():
                self.on_timer(now, event.label)
            case PeerMessage(peer, data) if peer != self.settings.me and 0 <= peer < self.settings.fleet_size:
                if message := decode_quota(data):
                    self.on_message(now, peer, message)
                elif self.shares.receive(now, peer, data, self.ceiling.limit):
                    self.quota.receive(now, peer, self.shares.peers[peer].beat.incarnation, data)
            case ProbeResult(id, Code.OK) if id in self.pool.servers:
                self.pool.mark_responsive(self.pool.servers[id], now)
            case StreamStarted() if event.id in self.requests:
                call = self.requests[event.id]
                call.streaming = True
                self.ceiling.observe(call.cls, event.took, self.shares.peers_in_flight + self.in_flight)
                if server := self.pool.servers.get(event.server):
                    self.pool.mark_responsive(server, now, server.health_of(call.cls.name))
                    server.health_of(call.cls.name).in_flight[event.id, event.attempt] = math.inf
                self.cancel(call.request.id, call.in_flight - {event.attempt})
            case Expired() if event.id in self.requests:
                self.finish(self.requests[event.id])
        return self.actions

    def start(self, now: float) -> None:
        self.shares.started_at = self.quota.began = self.last_tick = now
        self.shares.update_share(now, self.ceiling.limit)
        self.actions += [SetTimer(self.tick_s * self.rng.random(), TICK), SetTimer(self.check_s, HEALTH_TICK)]
        if self.settings.ask_discovery:
            self.actions.append(Subscribe())

    def on_timer(self, now: float, label: int) -> None:
        if label == LIST_RETRY:
            return self.actions.append(Subscribe())
        if label == ANSWER_TIMEOUT:
            for token, call in [(t, c) for t, c in self.awaiting_owner.items() if now >= c.answer_due]:
                account = self.quota.accounts.get(call.request.customer)
                if account and call.query and call.times_asked < self.MAX_ASKED:
                    self.ask_owner(now, call, account.owner, call.query)
                else:
                    del self.awaiting_owner[token]
                    self.answer_rate -= self.answer_rate * self.ANSWER_WEIGHT
                    self.admit(now, call, None)
            return None
        self.tick(now) if label == TICK else self.check_silence(now, self.latency())
        self.actions.append(SetTimer(self.tick_s if label == TICK else self.check_s, label))

    def check_silence(self, now: float, typical: float) -> None:
        # Attempts that never end hold no slot: a few would block an idle fleet. Overload raises latency too.
        self.lost = sum(now - c.attempts[n][1] > self.LOST * typical for (_, n), c in self.attempts.items())
        self.pool.check_silence(now, self.ceiling.mean, typical)
        for server in self.pool.servers.values():
            for health in [h for h in server.health.values() if h.unresponsive_since]:
                for id, attempt in list(health.in_flight):
                    if (call := self.requests.get(id)) and call.in_flight == {attempt} and not call.streaming:
                        self.recover_unanswered(now, call, attempt)
            if (server.unresponsive and self.settings.limits.probing and server.listed
                    and now - server.probed > 1.0):  # fmt: skip
                server.probed = now
                self.actions.append(Probe(server.entry.id))

    def recover_unanswered(self, now: float, call: PendingRequest, attempt: int) -> None:
        """Duplicates an attempt, or cancels it for a retry; what must not run twice fails past its target."""
        if call.cls.effect == Effect.SIDE_EFFECT:
            if call.cls.late_worth == 0 and now - call.attempts[attempt][1] >= call.cls.latency_target:
                self.cancel(call.request.id, {attempt})
        elif self.settings.limits.may_duplicate:
            self.retry(now, call)
        elif self.retry_budget >= 1.0 and not self.is_full() and self.allowed_servers(now, call):
            self.cancel(call.request.id, {attempt})

    def tick(self, now: float) -> None:
        elapsed, self.last_tick = max(1e-3, now - self.last_tick), now
        self.shares.update_demand(now, elapsed, self.ceiling.limit)
        self.pool.measure_rate(now, self.shares.forwarding_rate)
        self.quota.expire(now)
        if not self.settings.limits.peers or self.settings.fleet_size < 2:
            return
        heartbeat = self.shares.heartbeat(self.ceiling.limit, self.in_flight)
        if self.sparse:  # to a random peer, without updates: senders of updates are busier than the rest
            peer = ((self.settings.me + self.rng.randrange(1, self.settings.fleet_size))
                    % self.settings.fleet_size)  # fmt: skip
            return self.actions.append(Tell(peer, heartbeat))
        updates = self.quota.usage_updates(now)
        for peer in [n for n in range(self.settings.fleet_size) if n != self.settings.me]:
            if (peer in updates or now + self.tick_s / 2
                    - self.last_heartbeats.get(peer, -math.inf) > HEARTBEAT_PERIOD_S):  # fmt: skip
                self.last_heartbeats[peer] = now
                self.actions.append(Tell(peer, heartbeat + updates.get(peer, b"")))

    def on_request(self, now: float, request: Request) -> None:
        ttl = request.deadline - now  # a class that the settings don't name falls under the strictest rules
        cls = (self.settings.classes.get(request.cls)
               or RequestClass(request.cls, ttl, ttl, Effect.SIDE_EFFECT))  # fmt: skip
        plan = self.settings.plans.get(request.plan, Plan(request.plan))
        account = self.quota.get_account(now, request.customer, plan, request.set_size, request.set_from)
        call = self.requests[request.id] = PendingRequest(request, cls, account.plan)
        account.own.demand += request.units / account.window
        account.unreported += request.units
        if account.plan.refill and not self.sparse:
            self.quota.unsent[request.customer] = account
        # Up to twice the quota, by the totals last reported, is passed on to the owner, which decides.
        needs_owner = self.quota.needs_owner(account, request.units)
        is_owner = needs_owner and self.sparse and account.owner == self.settings.me
        reserve = -1 / Quota.GAIN if needs_owner and self.sparse else 1 / Quota.GAIN
        if not (is_owner or self.quota.admits(account, request.units, reserve) or self.may_exceed(call)):
            return self.refuse(call, "quota")
        if not needs_owner:
            return self.admit(now, call, None)
        self.last_token = self.last_token % 65535 + 1
        identity = (request.customer, plan_number(account.plan.name), account.size, account.first)
        depth = max(account.plan.depth, 1e-9)
        call.query = QuotaRequest(self.last_token, *identity, request.units, account.unreported,
                                  account.spent() / depth, account.ungranted / depth)  # fmt: skip
        account.unreported = 0.0
        if account.owner == self.settings.me:
            return self.admit(now, call, self.quota.grant(now, self.settings.me, call.query, self.latency()))
        self.awaiting_owner[self.last_token] = call
        self.ask_owner(now, call, account.owner, call.query)

    def ask_owner(self, now: float, call: PendingRequest, owner: int, query: QuotaRequest) -> None:
        wait = min(self.wait_s, (call.request.deadline - now) / 2) / self.MAX_ASKED  # deadlines may be near
        call.answer_due, call.times_asked = now + wait - 1e-6, call.times_asked + 1
        messages = ([Tell(owner, encode_quota(query))]
                    if call.times_asked == 1 or self.answer_rate > self.MIN_ANSWER_RATE else [])  # fmt: skip
        self.actions += [*messages, SetTimer(wait, ANSWER_TIMEOUT)]

    def on_message(self, now: float, peer: int, message: QuotaRequest | QuotaGrant | QuotaRelease) -> None:
        match message:
            case QuotaRequest() if (message.plan in self.quota.plans
                                    and 0 < message.size <= self.settings.fleet_size):  # fmt: skip
                grant = self.quota.grant(now, peer, message, self.latency())
                self.actions.append(Tell(peer, encode_quota(grant)))
            case QuotaRelease():
                self.quota.release(peer, message)
            case QuotaGrant() if call := self.awaiting_owner.pop(message.token, None):
                self.answer_rate += (1.0 - self.answer_rate) * self.ANSWER_WEIGHT
                self.admit(now, call, message)

    def may_exceed(self, call: PendingRequest) -> bool:  # the quota, if capacity is idle and it pays
        profitable = call.plan.over_worth > call.plan.over_cost and not call.plan.parallel
        return profitable and self.in_flight < self.IDLE_FRACTION * self.shares.share

    def admit(self, now: float, call: PendingRequest, answer: QuotaGrant | None) -> None:
        """Forwards a request if its account allows it, by the owner's answer or else by local figures."""
        request, plan = call.request, call.plan
        account = self.quota.get_account(now, request.customer, plan, request.set_size, request.set_from)
        call.answer_due, pooled = 0.0, answer is not None and answer.pooled
        account.full_until = now + Quota.ANSWER_TTL_S * (not answer.granted) if answer else account.full_until
        if call.query and not answer:
            account.unreported = account.unreported + call.query.demand
            account.missed = min(Quota.MAX_MISSED, account.missed + 1)
        if answer and self.sparse:
            allowed, call.charged = answer.granted or self.may_exceed(call), answer.granted
            if account.owner != self.settings.me:
                account.valid_to = now + (1 + account.missed) * Quota.ANSWER_TTL_S
                account.missed, account.ungranted = account.missed / 2, 0.0
                account.own = Usage()
                account.reported = {0: Usage(answer.demand * plan.refill, answer.spent * plan.depth)}
        else:
            allowed = (call.query is None or not self.sparse
                       or self.quota.admits(account, request.units) or self.may_exceed(call))  # fmt: skip
        if not allowed or now >= request.deadline:
            return self.refuse(call, "quota")
        slot = (answer.granted if answer else now >= account.full_until  # no grant: own part of the slots
                and account.in_flight < max(1, plan.parallel // account.size))  # fmt: skip
        if (plan.parallel and not slot) or (plan.cap_rate and not pooled and account.own_cap < request.units):
            return self.refuse(call, "limit")
        self.shares.requested += 1
        if self.is_full():
            return self.refuse(call, "ceiling")
        if (server := self.pool.choose(now, self.pool.serving, call)) is None:
            return self.refuse(call, "workers")
        self.shares.forwarded += 1
        account.own_cap -= 0.0 if pooled or not plan.cap_rate else request.units
        if not (answer and self.sparse):
            call.charged = account.spend(request.units)
        self.retry_budget = min(10.0 + self.in_flight / 2, self.retry_budget + self.RETRY_RATIO)
        self.send(now, call, server)

    def send(self, now: float, call: PendingRequest, server: ServerState) -> None:
        key = (call.request.id, len(call.attempts))
        call.in_flight.add(key[1])
        call.attempts.append((server, now))
        self.attempts[key] = call
        if account := self.quota.accounts.get(call.request.customer):
            account.in_flight += 1
        server.health_of(call.cls.name).in_flight[key] = now
        server.tokens -= 1.0
        self.actions.append(Send(call.request.id, server.entry.id))

    def on_outcome(self, now: float, result: Outcome) -> None:
        if (call := self.attempts.pop((result.id, result.attempt), None)) is None:
            return
        call.in_flight.discard(result.attempt)
        call.issued = call.issued or result.code != Code.TOO_LATE  # if none was, no units are charged
        if server := self.pool.servers.get(result.server):
            expected = self.ceiling.mean.get(call.cls.name, result.took)
            self.pool.record(server, server.health_of(call.cls.name), now, expected, result)
        # An attempt cancelled for its duplicate would have taken longer still. If left out, the mean falls,
        # more servers look unresponsive, more attempts are duplicated and cancelled, and the mean stays low.
        slow = result.code == Code.CANCELLED and result.took > self.ceiling.mean.get(call.cls.name, math.inf)
        if (result.code == Code.OK or slow) and not call.streaming:
            self.ceiling.observe(call.cls, result.took, self.shares.peers_in_flight + self.in_flight + 1)
        if account := self.quota.accounts.get(call.request.customer):
            account.in_flight = max(0, account.in_flight - 1)
        if result.actual > 0 and call.charged:
            call.extra = result.actual - call.request.units
        if call.request.id not in self.requests:
            return None if call.in_flight else self.release_quota(call)
        if result.no_more:
            return self.finish(call)
        if result.code not in NEVER_RAN:
            call.may_have_run.append(result.attempt)
        if not call.in_flight and not self.retry(now, call):
            self.refuse_or_fail(now, call)

    def allowed_servers(self, now: float, call: PendingRequest) -> list[ServerState]:  # where a retry is safe
        servers, cls = self.pool.serving, call.cls
        may_have_run = [call.attempts[n] for n in sorted({*call.may_have_run, *call.in_flight})]
        if not may_have_run or cls.effect == Effect.PURE:
            return servers
        if cls.effect == Effect.SIDE_EFFECT or now >= may_have_run[0][1] + cls.repeat_window:
            return []
        for first, _ in may_have_run:
            if cls.group == Group.ZONE:
                servers = [s for s in servers if s.entry.zone == first.entry.zone]
            elif cls.group == Group.CELL:
                servers = [s for s in servers if s.entry.cell == first.entry.cell]
        return servers

    def retry(self, now: float, call: PendingRequest) -> bool:  # if limits, deadline, budget and slots allow
        cost = 1.0 if call.may_have_run or call.in_flight else self.UNRUN_COST
        exhausted = len(call.attempts) >= self.settings.limits.max_attempts or self.retry_budget < cost
        if exhausted or call.streaming or now >= call.request.deadline or self.is_full():
            return False
        if server := self.pool.choose(now, self.allowed_servers(now, call), call):
            self.retry_budget -= cost
            self.send(now, call, server)
        return server is not None

    def refuse_or_fail(self, now: float, call: PendingRequest) -> None:
        everywhere = (call.cls.effect, call.cls.group) == (Effect.TOKEN, Group.ALL)
        harmless = everywhere or call.cls.effect == Effect.PURE or not call.may_have_run
        if harmless and now < call.request.deadline:
            return self.refuse(call, "tries")
        self.actions.append(Fail(call.request.id))
        self.finish(call)

    def refuse(self, call: PendingRequest, reason: str) -> None:
        refill, slot = call.plan.refill, HEARTBEAT_PERIOD_S if reason == "tries" else self.latency()
        after = call.request.units / refill if reason == "quota" and refill else slot
        advice = min(after, self.settings.limits.max_retry_after) if self.settings.limits.retry_after else 0.0
        self.actions.append(Refuse(call.request.id, advice, reason))
        self.finish(call)

    def finish(self, call: PendingRequest) -> None:
        del self.requests[call.request.id]
        if call.answer_due:
            self.awaiting_owner = {token: c for token, c in self.awaiting_owner.items() if c is not call}
        self.cancel(call.request.id, call.in_flight)
        if not call.in_flight:
            self.release_quota(call)

    def release_quota(self, call: PendingRequest) -> None:  # frees its slot, corrects the units
        extra = call.extra if call.issued else -call.request.units * call.charged
        release = QuotaRelease(call.query.token if call.query else 0, call.request.customer, extra)
        account = self.quota.accounts.get(call.request.customer)
        remote = account is not None and call.query is not None and account.owner != self.settings.me
        if account and remote and (call.plan.parallel or extra):
            times = 1 if extra or call.plan.refill else 2  # twice if harmless: a lost release blocks a slot
            self.actions += [Tell(account.owner, encode_quota(release))] * times
        if not (self.sparse and remote):
            self.quota.release(self.settings.me, release)

    def cancel(self, id: int, attempts: set[int]) -> None:
        if self.settings.limits.cancel:
            self.actions += [Cancel(id, n) for n in sorted(attempts)]
