"""Every decision of a standalone gateway. Types, events and actions are in `interface`, what is remembered
in `state`, the bytes told to peers in `pewterring.standalone.peer_messages`.

The ordinary path is docs/design.md's: a customer's quota (Quota), a slot below min(share, local limit) of the
inferred ceiling (Ceiling, Shares), then the server with the least expected wait (Fleet). Nothing queues here.
"""

import math
import random

from pewterring.admission.ceiling import Ceiling
from pewterring.admission.shares import HEARTBEAT_PERIOD_S, Shares
from pewterring.standalone import peer_messages as mail
from pewterring.standalone.peer_messages import Ask, Back, Grant
from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.state import Account, Health, Held, Node, Use

TICK, LOOK, ASK, WAIT = 1, 2, 3, 4  # labels of the timers
NEWS_S = 0.1  # news of quotas between heartbeats come no closer than this, and farther where mail is scarce
LOOKS = 12  # looks for silent servers within the shortest aim
# How far an outcome speaks against its server. Being turned away unseen costs a round trip and no work: taken
# for a fault it would drive all traffic to the servers that still accept, and jam them.
FAULTS = {i.Code.INTERNAL: 1.0, i.Code.ABORTED: 1.0, i.Code.UNAVAILABLE: 1.0, i.Code.RESOURCE_EXHAUSTED: 0.25}
SPARSE = 0.3  # of the mail that beats to all may take; at an intake of 100 a second up to 13 gatekeepers


class Customer(Account):
    """Its use here, and as peers told it."""

    def demand(self) -> float:
        return self.own.demand + sum(u.demand for u in self.told.values())

    def spent(self) -> float:
        return self.own.spent + sum(u.spent for u in self.told.values())

    def take(self, units: float) -> bool:
        taken = min(units, max(0.0, self.plan.depth - self.spent()))  # a try beyond the quota takes nothing
        self.own.spent, self.unasked = self.own.spent + taken, self.unasked + taken
        return taken > 0

    def pass_time(self, now: float) -> None:
        if (past := now - self.at) <= 0:
            return
        # The refill goes where the burst was spent, the own part as peers know it: else all refill too much.
        fade, refill = math.exp(-past / self.window), past * self.plan.refill
        sent = list(self.sent.values()) or [self.own]
        known, told = max(use.spent for use in sent), sum(use.spent for use in self.told.values())
        part = min(1.0, refill / (known + told)) if known + told > 0 else 1.0
        own = self.own.spent - (known * part if part < 1 else refill)
        for use in (self.own, *self.sent.values(), *(self.told.values() if now >= self.stands else ())):
            use.demand *= fade
            use.spent *= 1 - part
        self.own.spent = max(0.0, own)
        part = past * self.plan.cap_rate / 2
        self.cap = min(self.plan.cap_depth / 2 / self.size, self.cap + part / self.size)
        self.pool = min(self.plan.cap_depth / 2, self.pool + part)
        self.at = now


class Quota:
    """Summed-demand refusal beyond a local share of the burst, and the hard limits of a plan.

    A small fleet tells its use to the whole set. In a sparse one a keeper among them deals the same chance.
    """

    PULL = 10.0  # the quota rises and falls by so many refills for a whole burst left or overdrawn; kept back
    # is so much as makes it nought at an empty store: a try sent on too early only costs
    SAID_S, MISSED = 2.0, 2.0  # an answer is remembered so long; so many left unanswered count at the most
    HELD = 4.0  # usual latencies that a keeper counts a slot as out when its end is not told

    def __init__(self, settings: i.Settings, rng: random.Random, sparse: bool = False) -> None:
        self.s, self.rng, self.began, self.sparse = settings, rng, 0.0, sparse
        self.customers, self.lives = dict[int, Customer](), dict[int, int]()  # lives: peers' incarnations
        self.fresh: dict[int, Customer] = {}  # those with use that is not told yet
        self.said: dict[tuple[int, int, int], tuple[float, Grant]] = {}  # answers lately given, as keeper
        self.plans = {mail.number(name): plan for name, plan in settings.plans.items()}

    def customer(self, now: float, id: int, plan: i.Plan, size: int, first: int) -> Customer:
        c, size = self.customers.get(id), max(1, size)
        keeper = (first + id % size) % self.s.fleet_size
        if c and (c.size, c.first, c.keeper) != (size, first, keeper):  # its set has changed
            c.size, c.first, c.keeper, c.pool = size, first, keeper, 0.0
        if c is None:
            c = self.customers[id] = Customer(now, plan, size, first, keeper)
            # Half of a hard ceiling lies in even parts, half with the keeper. Both grow from the start here,
            # and a keeper's first asker says what of the burst is spent: a restart grants nothing anew.
            c.pool = min(plan.cap_depth, (now - self.began) * plan.cap_rate) / 2
            c.cap, c.dealt = c.pool / size, self.rng.random()
        c.pass_time(now)
        return c

    def admits(self, c: Customer, units: float, kept: float = 1 / PULL) -> bool:
        plan = c.plan
        spare = plan.depth - c.spent() - min(plan.depth, units + plan.depth * kept)  # a full store gives all
        whole = self.sparse and c.keeper == self.s.me
        if not plan.refill or (spare >= 0 and c.own.spent + units <= plan.depth / (1 if whole else c.size)):
            return True
        # Past the local share the quota follows what the told spending leaves of the burst, or overdraws.
        quota, demand = max(0.0, plan.refill * (1 + self.PULL * spare / plan.depth)), c.demand()
        if demand > quota:
            # Dealt evenly from a random start: draws would empty and waste a small store in turn.
            c.dealt += units * quota / demand
            if c.dealt < units:
                return False
            c.dealt -= units
        return True

    def asks(self, c: Customer, units: float) -> bool:
        # Uneven entry uses up one part of a ceiling while others are full.
        common = (self.sparse and c.plan.refill) or c.plan.parallel or (c.plan.cap_rate and c.cap < units)
        return bool(common) and c.size > 1 and self.s.limits.peers

    def grant(self, now: float, peer: int, ask: Ask, usual: float) -> Grant:
        """The keeper's answer, the same to a repeated question. Used at once or lost, no two can hold it."""
        if (known := self.said.get((peer, ask.token, ask.customer))) and peer != self.s.me:
            return known[1]
        plan = self.plans[ask.plan]
        new, away = ask.customer not in self.customers, self.sparse and peer != self.s.me
        c = self.customer(now, ask.customer, plan, ask.size, ask.first)
        c.take((ask.spent if new else ask.unasked * away) * plan.depth)
        # Of those that are older the end was lost.
        c.grants = {key: at for key, at in c.grants.items() if now - at <= self.HELD * usual}
        c.own.demand += ask.demand / c.window * away
        granted = not self.sparse or self.admits(c, ask.units)
        granted = granted and not (plan.parallel and len(c.grants) >= plan.parallel)
        pooled = granted and plan.cap_rate > 0 and c.pool >= ask.units
        c.pool -= ask.units * pooled
        if granted and plan.parallel:
            c.grants[peer, ask.token] = now
        if granted and self.sparse:
            c.take(ask.units)
        parts = c.demand() / max(plan.refill, 1e-9), c.spent() / max(plan.depth, 1e-9)
        grant = Grant(ask.token, granted, pooled, *parts)
        self.said[peer, ask.token, ask.customer] = now, grant
        return grant

    def back(self, peer: int, back: Back) -> None:
        """What was granted is over: it took so many units more than it was granted for, or fewer."""
        if c := self.customers.get(back.customer):
            c.grants.pop((peer, back.token), None)
            if self.sparse or peer == self.s.me:
                c.own.spent += back.extra
                c.own.demand += back.extra / c.window

    def sweep(self, now: float) -> None:
        for id in [id for id, c in self.customers.items() if now - c.at > c.idle]:
            del self.customers[id]  # its burst and ceiling are full again
            self.fresh.pop(id, None)
        self.said = {key: said for key, said in self.said.items() if now - said[0] < self.SAID_S}

    def news(self, now: float) -> dict[int, bytes]:
        """New use, for the peers that would misjudge it without; the largest errors first."""
        due: dict[int, list[tuple[float, int, Use]]] = {}
        fresh, self.fresh = self.fresh, {}
        for id, c in fresh.items():
            c.pass_time(now)
            for peer in (n % self.s.fleet_size for n in range(c.first, c.first + c.size)):
                known = c.sent.get(peer, Use())
                error = abs(c.own.demand - known.demand) / c.plan.refill
                error += abs(c.own.spent - known.spent) / c.plan.depth
                if error * c.size > 0.04:
                    due.setdefault(peer, []).append((error, id, c.own))
        due.pop(self.s.me, None)
        return {peer: self.pack(peer, entries) for peer, entries in due.items()}

    def pack(self, peer: int, entries: list[tuple[float, int, Use]]) -> bytes:
        entries.sort(key=lambda entry: entry[:2], reverse=True)
        self.fresh.update({id: self.customers[id] for _, id, _ in entries[mail.NEWS_ROOM :]})
        news = []
        for _, id, use in entries[: mail.NEWS_ROOM]:
            c = self.customers[id]
            c.sent[peer] = Use(use.demand, use.spent)
            shown = (use.demand / c.plan.refill, use.spent / c.plan.depth)
            news.append(mail.News(id, mail.number(c.plan.name), c.size, c.first, *shown))
        return mail.write_news(news)

    def hear(self, now: float, peer: int, life: int, data: bytes) -> None:
        if self.lives.setdefault(peer, life) != life:  # a new life knows nothing: all anew
            self.lives[peer] = life
            self.fresh.update({id: c for id, c in self.customers.items() if c.sent.pop(peer, None)})
        for n in mail.read_news(data):
            if n.plan in self.plans and 0 < n.size <= self.s.fleet_size:
                plan = self.plans[n.plan]
                told = Use(n.demand * plan.refill, n.spent * plan.depth)
                c = self.customer(now, n.customer, plan, n.size, n.first)
                # Lives whose use is refilled are let go of.
                c.told = {k: u for k, u in c.told.items() if u.spent or u.demand > 0.01} | {life: told}


class Fleet:
    """The servers: list, symptoms, cold budget and the least expected wait."""

    SILENCE = 8.0  # if waits are exponential, a healthy server says nothing for so long once in e^8 times
    UNHEARD = 0.5  # how far a silence speaks against the server for its class: it may be one lost answer
    FORGET_S = 5.0  # symptoms fade by 1/e in this time, so that real traffic tests the server again
    SAMPLE = 0.1  # weight of one outcome; where outcomes are few each weighs thrice, and is kept for as long
    FEW = 4  # about so many gatekeepers may send to a cold server at once
    NEAR = 12  # servers that each of a sparse fleet keeps to, so that connections stay open

    def __init__(self, settings: i.Settings, rng: random.Random, sparse: bool = False) -> None:
        self.s, self.rng, self.nodes, self.serving = settings, rng, dict[int, Node](), list[Node]()
        # How little own attempts tell of a server's load: many always find a warm one that looks idle.
        self.unseen, self.sparse = max(0.0, 1 - self.FEW / settings.fleet_size), sparse
        few = 1 + 2 * self.unseen
        self.sample, self.forget_s = few * self.SAMPLE, few * self.FORGET_S
        self.near, self.pace, self.rating = set[int](), 0.0, 0.0

    def update(self, now: float, event: i.ServerList) -> None:
        for node in self.nodes.values() if event.form in (i.ListForm.WHOLE, i.ListForm.REMEMBERED) else ():
            node.listed = False
        for entry in event.servers:
            node = self.nodes.setdefault(entry.id, Node(entry))
            if entry.came_up > node.came_up:
                for h in node.health.values():
                    h.slow, h.errors = 1.0, 0.0
                self.started(node, entry.came_up, now)
            node.entry, node.listed = entry, entry.mode != i.Mode.DELETED
        for id in [id for id, n in self.nodes.items() if not n.listed and not n.out]:
            del self.nodes[id]
        self.serving = [n for n in self.nodes.values() if n.listed and n.entry.mode == i.Mode.SERVING]
        # All know one order, and each keeps to an arc of it: each server is near to as many as any other.
        order = sorted(self.serving, key=lambda n: (n.entry.common or n.entry.id) * 2654435761 % 2**32)
        start = len(order) * self.s.me // self.s.fleet_size
        self.near = {n.entry.id for n in ((order * 2)[start : start + self.NEAR] if self.sparse else order)}
        self.rating = sum(1.0 if self.s.live_ratings else n.entry.rating for n in self.serving)

    def warmth(self, node: Node, now: float) -> float:
        rules, age = self.s.rules, now - node.came_up
        if not node.came_up or age >= rules.cold:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, age) / rules.cold

    def started(self, node: Node, came_up: float, now: float) -> None:
        # Only a few of those that keep to it may send at once, the others when their budget has grown.
        node.came_up, node.token_at = came_up, now
        part = self.NEAR / max(1, len(self.serving)) if self.sparse else 1.0
        senders = self.s.fleet_size * min(1.0, part)
        node.tokens = min(1.0, self.rng.random() + self.FEW / senders)

    def take_pace(self, now: float, flow: float) -> None:
        """What a warm server takes of this gatekeeper's flow, by rating: the measure for cold ones."""
        warm = sum(n.entry.rating * self.warmth(n, now) for n in self.serving if n.entry.id in self.near)
        self.pace = flow / warm if warm > 0 else 0.0

    def may_take(self, node: Node, now: float) -> bool:
        """A cold server gets no more than its part of what a warm one gets: far below what tips it over."""
        warmth = self.warmth(node, now)
        if warmth >= 1.0:
            return True
        rules = self.s.rules
        rate = warmth * node.entry.rating * self.pace * min(1.25 - self.unseen / 4, rules.fall_multiple / 2)
        rate = max(rate, 1 / (rules.tip_after * self.s.fleet_size))  # where all are cold there is no pace yet
        node.tokens = min(1.0 + rate * rules.tip_after / 2, node.tokens + rate * (now - node.token_at))
        node.token_at = now
        return node.tokens >= 1.0

    def symptoms(self, h: Health, now: float) -> tuple[float, float]:  # slowness, errors; faded
        fade = math.exp((h.judged - now) / self.forget_s)
        return 1.0 + (h.slow - 1.0) * fade, h.errors * fade

    def wait(self, node: Node, now: float, cls: str) -> float:
        """Expected wait: attempts out over present rating, stretched by what the class met there."""
        h = node.of(cls)
        slow, errors = self.symptoms(h, now)
        # Chance stands for what peers have out there: who has little out chooses in proportion to rating.
        # A cold one's part is dealt by its budget: dealt by chance once more it would be halved.
        warmth, chance = self.warmth(node, now), self.rng.expovariate(1.0)
        ahead = 0.0 if warmth < 1.0 and self.unseen else 1 + self.unseen * (chance - 1)
        wait = (node.out + ahead) / max(node.entry.rating * warmth, 1e-9)
        wait *= max(1.0, slow) / max(0.05, 1.0 - errors) ** 4
        if h.silent_since:
            wait *= 1000.0
        if node.entry.zone != self.s.zone:
            wait *= 1.0 + self.s.price_cross_zone * 10
        return wait

    def choose(self, now: float, among: list[Node], held: Held) -> Node | None:
        among = [n for n in among if n.entry.id in self.near] or among
        nodes = [n for n in among if self.may_take(n, now)]
        fresh = [n for n in nodes if n not in [tried for tried, _ in held.attempts]] or nodes
        return min(fresh, key=lambda n: (self.wait(n, now, held.cls.name), self.rng.random()), default=None)

    def judge(self, node: Node, mine: Health, now: float, expected: float, o: i.Outcome) -> None:
        mine.pending.pop((o.id, o.attempt), None)
        if o.code in (i.Code.OK, i.Code.INTERNAL, i.Code.RESOURCE_EXHAUSTED):
            self.answers(node, now, mine)
        # It speaks for classes too of which nothing came back lately: one may go unanswered, others served.
        for h in node.health.values():
            if h is not mine and now - h.met < self.forget_s:
                continue
            (h.slow, h.errors), h.judged = self.symptoms(h, now), now
            if o.code == i.Code.OK:
                h.slow += (min(10.0, o.took / max(expected, 1e-9)) - h.slow) * self.sample
                h.errors -= h.errors * self.sample
            elif o.code in FAULTS:
                h.errors += (FAULTS[o.code] - h.errors) * self.sample
        if o.code == i.Code.OK or o.code in FAULTS:
            mine.met = now

    def answers(self, node: Node, now: float, mine: Health | None = None) -> None:
        """Back from silence: it may have restarted, so until a list says otherwise it counts as cold."""
        for h in [mine] if mine else node.health.values():
            h.answered = now
            if h.silent_since and now - max(h.silent_since, node.answered) > self.s.rules.tip_after:
                self.started(node, now, now)
            h.silent_since = 0.0
        node.answered = now

    def look(self, now: float, expected: dict[str, float], usual: float) -> None:
        """Finds where a class has just gone unanswered; `expected` is its usual latency."""
        for node in self.nodes.values():
            for cls, h in node.health.items():
                if h.silent_since or not h.pending:
                    continue
                waits = sum(max(0.0, now - max(sent, h.answered)) for sent in h.pending.values())
                if waits > self.SILENCE * max(1.0, h.slow) * max(expected.get(cls, usual), 1e-3):
                    (h.slow, h.errors), h.judged = self.symptoms(h, now), now
                    h.errors += (1.0 - h.errors) * self.UNHEARD
                    h.silent_since = h.met = now


class Gatekeeper:
    LOST = 8.0  # usual latencies after which an attempt is taken for lost: one in 3,000 if waits are even
    IDLE = 0.5  # a share of which less than this is out is idle
    WAIT, ASKED = 0.2, 3  # of the shortest aim: how long a keeper's answer is waited for; times it is asked
    MINDS = 1 / 32  # weight of one answer, or of silence, in the echo
    FAINT = 0.75  # where fewer questions are answered, asking again overruns peers
    EXTRA, UNRUN = 0.2, 0.25  # further attempts per first attempt; what one after a proven non-run counts

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.rng = settings, random.Random(seed)
        self.ceiling = Ceiling(settings.fleet_size)
        # Sparse: so many that beats to all would cost more than they are worth, long before they overrun it.
        self.mail, others = 0.8 * settings.mail_per_s, settings.fleet_size - 1
        self.sparse = settings.limits.peers and 0.0 < SPARSE * self.mail * HEARTBEAT_PERIOD_S < others
        self.shares = Shares(settings.fleet_size, self.rng.getrandbits(32), self.sparse)
        self.fleet = Fleet(settings, self.rng, self.sparse)
        self.quota = Quota(settings, self.rng, self.sparse)
        self.held: dict[int, Held] = {}
        self.flying: dict[tuple[int, int], Held] = {}  # attempts out, also after their request's end
        self.actions: list[i.Action] = []
        self.lost, self.spare, self.tokens, self.echo = 0, 1.0, 0, 1.0  # echo: of questions answered
        self.asking: dict[int, Held] = {}  # by token: requests that wait for the keeper of their account
        self.tick_s = HEARTBEAT_PERIOD_S / 2 if self.sparse else max(NEWS_S, others / max(self.mail, 1.0))
        self.ticked, self.beaten = 0.0, dict[int, float]()
        self.look_s = min((c.aim for c in settings.classes.values()), default=1.0) / LOOKS
        self.wait_s = self.look_s * LOOKS * self.WAIT

    @property
    def out(self) -> int:
        return max(0, len(self.flying) - self.lost)

    def full(self) -> bool:
        return self.out >= min(self.shares.capacity(self.out), self.ceiling.limit)

    def usual(self) -> float:  # the latency of the slowest class; the shortest aim while none is known
        return max(self.ceiling.mean.values(), default=self.look_s * LOOKS)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.actions = []
        if isinstance(event, i.ServerList):
            self.fleet.update(now, event)
            self.ceiling.rescale(self.fleet.rating, len(self.fleet.serving))
        if self.shares.started_at == -math.inf:
            self.begin(now)
        match event:
            case i.Request():
                self.arrive(now, event)
            case i.Outcome():
                self.ended(now, event)
            case i.ServerList(i.ListForm.FAILED) if self.s.ask_discovery:
                self.actions.append(i.SetTimer(self.s.rules.ask_within * self.rng.uniform(0.1, 0.4), ASK))
            case i.TimerDue():
                self.timer(now, event.label)
            case i.PeerMail(peer, data) if peer != self.s.me and 0 <= peer < self.s.fleet_size:
                if said := mail.read_ask(data):
                    self.answer(now, peer, said)
                elif self.shares.receive(now, peer, data, self.ceiling.limit):
                    self.quota.hear(now, peer, self.shares.peers[peer].beat.incarnation, data)
            case i.ProbeResult(server, i.Code.OK) if server in self.fleet.nodes:
                self.fleet.answers(self.fleet.nodes[server], now)
            case i.StreamStarted() if event.id in self.held:
                held = self.held[event.id]
                held.streaming = True
                self.ceiling.observe(held.cls, event.took, self.shares.peers_in_flight + self.out)
                if node := self.fleet.nodes.get(event.server):
                    # However long the stream lasts, it is no evidence of silence.
                    self.fleet.answers(node, now, node.of(held.cls.name))
                    node.of(held.cls.name).pending[event.id, event.attempt] = math.inf
                self.cancel(held.r.id, held.out - {event.attempt})
            case i.Expired() if event.id in self.held:
                self.end(self.held[event.id])
        return self.actions

    def begin(self, now: float) -> None:
        self.shares.started_at = self.quota.began = self.ticked = now
        self.shares.update_share(now, self.ceiling.limit)
        self.actions += [i.SetTimer(self.tick_s * self.rng.random(), TICK), i.SetTimer(self.look_s, LOOK)]
        if self.s.ask_discovery:
            self.actions.append(i.Subscribe())

    def timer(self, now: float, label: int) -> None:
        if label == ASK:
            return self.actions.append(i.Subscribe())
        if label == WAIT:
            for token, held in [(t, h) for t, h in self.asking.items() if now >= h.until]:
                c = self.quota.customers.get(held.r.customer)
                if c and held.ask and held.asked < self.ASKED:
                    self.question(now, held, c.keeper, held.ask)
                else:
                    del self.asking[token]
                    self.echo -= self.echo * self.MINDS
                    self.proceed(now, held, None)
            return None
        self.tick(now) if label == TICK else self.look(now, self.usual())
        self.actions.append(i.SetTimer(self.tick_s if label == TICK else self.look_s, label))

    def look(self, now: float, usual: float) -> None:
        # Attempts that never end hold no slot: a few would shut an idle fleet. In a jam `usual` grows too.
        self.lost = sum(now - h.attempts[n][1] > self.LOST * usual for (_, n), h in self.flying.items())
        self.fleet.look(now, self.ceiling.mean, usual)
        for node in self.fleet.nodes.values():
            for h in [h for h in node.health.values() if h.silent_since]:
                for id, attempt in list(h.pending):
                    if (held := self.held.get(id)) and held.out == {attempt} and not held.streaming:
                        self.rescue(now, held, attempt)
            if node.silent and self.s.limits.probing and node.listed and now - node.probed > 1.0:
                node.probed = now
                self.actions.append(i.Probe(node.entry.id))

    def rescue(self, now: float, held: Held, attempt: int) -> None:
        """A second copy, or taken back and sent elsewhere; what must not run twice fails past its aim."""
        if held.cls.effect == i.Effect.SIDE_EFFECT:
            if held.cls.late_worth == 0 and now - held.attempts[attempt][1] >= held.cls.aim:
                self.cancel(held.r.id, {attempt})
        elif self.s.limits.may_duplicate:
            self.again(now, held)
        elif self.spare >= 1.0 and not self.full() and self.allowed(now, held):
            self.cancel(held.r.id, {attempt})

    def tick(self, now: float) -> None:
        past, self.ticked = max(1e-3, now - self.ticked), now
        self.shares.update_demand(now, past, self.ceiling.limit)
        self.fleet.take_pace(now, self.shares.forwarding_rate)
        self.quota.sweep(now)
        if not self.s.limits.peers or self.s.fleet_size < 2:
            return
        beat = self.shares.heartbeat(self.ceiling.limit, self.out)
        if self.sparse:  # to a peer picked by chance, apart from news: who has those is busier than the rest
            other = (self.s.me + self.rng.randrange(1, self.s.fleet_size)) % self.s.fleet_size
            return self.actions.append(i.Tell(other, beat))
        news = self.quota.news(now)
        for peer in [n for n in range(self.s.fleet_size) if n != self.s.me]:
            if peer in news or now + self.tick_s / 2 - self.beaten.get(peer, -math.inf) > HEARTBEAT_PERIOD_S:
                self.beaten[peer] = now
                self.actions.append(i.Tell(peer, beat + news.get(peer, b"")))

    def arrive(self, now: float, r: i.Request) -> None:
        # Nothing is known of a class that the settings don't name: it is held to the strictest rule.
        left = r.not_after - now
        cls = self.s.classes.get(r.cls) or i.RequestClass(r.cls, left, left, i.Effect.SIDE_EFFECT)
        plan = self.s.plans.get(r.plan, i.Plan(r.plan))
        c = self.quota.customer(now, r.customer, plan, r.set_size, r.set_from)
        held = self.held[r.id] = Held(r, cls, c.plan)
        c.own.demand += r.units / c.window
        c.unsaid += r.units
        if c.plan.refill and not self.sparse:
            self.quota.fresh[r.customer] = c
        # Who asks lets through twice the quota by the sums last heard: the keeper deals the rest.
        asks = self.quota.asks(c, r.units)
        whole = asks and self.sparse and c.keeper == self.s.me
        kept = -1 / Quota.PULL if asks and self.sparse else 1 / Quota.PULL
        if not (whole or self.quota.admits(c, r.units, kept) or self.pays(held)):
            return self.refuse(held, "quota")
        if not asks:
            return self.proceed(now, held, None)
        self.tokens = self.tokens % 65535 + 1
        account, depth = (r.customer, mail.number(c.plan.name), c.size, c.first), max(c.plan.depth, 1e-9)
        held.ask = Ask(self.tokens, *account, r.units, c.unsaid, c.spent() / depth, c.unasked / depth)
        c.unsaid = 0.0
        if c.keeper == self.s.me:
            return self.proceed(now, held, self.quota.grant(now, self.s.me, held.ask, self.usual()))
        self.asking[self.tokens] = held
        self.question(now, held, c.keeper, held.ask)

    def question(self, now: float, held: Held, keeper: int, ask: Ask) -> None:
        # A client's last try may have less left than the answer is waited for.
        wait = min(self.wait_s, (held.r.not_after - now) / 2) / self.ASKED
        held.until, held.asked = now + wait - 1e-6, held.asked + 1
        told = [i.Tell(keeper, mail.write_ask(ask))] if held.asked == 1 or self.echo > self.FAINT else []
        self.actions += [*told, i.SetTimer(wait, WAIT)]

    def answer(self, now: float, peer: int, said: Ask | Grant | Back) -> None:
        match said:
            case Ask() if said.plan in self.quota.plans and 0 < said.size <= self.s.fleet_size:
                grant = self.quota.grant(now, peer, said, self.usual())
                self.actions.append(i.Tell(peer, mail.write_ask(grant)))
            case Back():
                self.quota.back(peer, said)
            case Grant() if held := self.asking.pop(said.token, None):
                self.echo += (1.0 - self.echo) * self.MINDS
                self.proceed(now, held, said)

    def pays(self, held: Held) -> bool:
        """A plan that pays for use beyond its quota may have what else would lie idle."""
        sold = held.plan.over_worth > held.plan.over_cost and not held.plan.parallel
        return sold and self.out < self.IDLE * self.shares.share

    def proceed(self, now: float, held: Held, said: Grant | None) -> None:
        """Sends a request on where its account allows it; by its own view where no keeper said anything."""
        r, plan = held.r, held.plan
        c = self.quota.customer(now, r.customer, plan, r.set_size, r.set_from)
        held.until, pooled = 0.0, said is not None and said.pooled
        c.busy = now + Quota.SAID_S * (not said.granted) if said else c.busy
        if held.ask and not said:
            c.unsaid, c.missed = c.unsaid + held.ask.demand, min(Quota.MISSED, c.missed + 1)
        if said and self.sparse:
            allowed, held.inside = said.granted or self.pays(held), said.granted
            if c.keeper != self.s.me:
                c.stands, c.missed, c.unasked = now + (1 + c.missed) * Quota.SAID_S, c.missed / 2, 0.0
                c.own, c.told = Use(), {0: Use(said.demand * plan.refill, said.spent * plan.depth)}
        else:
            allowed = held.ask is None or not self.sparse or self.quota.admits(c, r.units) or self.pays(held)
        if not allowed or now >= r.not_after:
            return self.refuse(held, "quota")
        # The parts held here, whatever peers say: of the hard ceiling, and of the slots.
        slot = said.granted if said else now >= c.busy and c.open < max(1, plan.parallel // c.size)
        if (plan.parallel and not slot) or (plan.cap_rate and not pooled and c.cap < r.units):
            return self.refuse(held, "limit")
        self.shares.requested += 1
        if self.full():
            return self.refuse(held, "ceiling")
        if (node := self.fleet.choose(now, self.fleet.serving, held)) is None:
            return self.refuse(held, "workers")
        self.shares.forwarded += 1
        c.cap -= 0.0 if pooled or not plan.cap_rate else r.units
        if not (said and self.sparse):
            held.inside = c.take(r.units)
        self.spare = min(10.0 + self.out / 2, self.spare + self.EXTRA)
        self.send(now, held, node)

    def send(self, now: float, held: Held, node: Node) -> None:
        key = (held.r.id, len(held.attempts))
        held.out.add(key[1])
        held.attempts.append((node, now))
        self.flying[key] = held
        if customer := self.quota.customers.get(held.r.customer):
            customer.open += 1
        node.of(held.cls.name).pending[key] = now
        node.tokens -= 1.0
        self.actions.append(i.Send(held.r.id, node.entry.id))

    def ended(self, now: float, o: i.Outcome) -> None:
        if (held := self.flying.pop((o.id, o.attempt), None)) is None:
            return
        held.out.discard(o.attempt)
        held.drawn = held.drawn or o.code != i.Code.TOO_LATE  # what was never issued takes no units
        if node := self.fleet.nodes.get(o.server):
            expected = self.ceiling.mean.get(held.cls.name, o.took)
            self.fleet.judge(node, node.of(held.cls.name), now, expected, o)
        # Cancelled as its copy came first, it would have taken longer still. Left out, the usual latency
        # falls, more look silent and get copies, whose cancels make it fall: a fleet stayed so.
        late = o.code == i.Code.CANCELLED and o.took > self.ceiling.mean.get(held.cls.name, math.inf)
        if (o.code == i.Code.OK or late) and not held.streaming:
            self.ceiling.observe(held.cls, o.took, self.shares.peers_in_flight + self.out + 1)
        if customer := self.quota.customers.get(held.r.customer):
            customer.open = max(0, customer.open - 1)
        if o.actual > 0 and held.inside:
            held.extra = o.actual - held.r.units
        if held.r.id not in self.held:
            return None if held.out else self.give_back(held)
        if o.no_more:
            return self.end(held)
        if o.code not in i.NEVER_RAN:
            held.ran.append(o.attempt)
        if not held.out and not self.again(now, held):
            self.give_up(now, held)

    def allowed(self, now: float, held: Held) -> list[Node]:
        """Where a further attempt may go without a second effect."""
        nodes, cls = self.fleet.serving, held.cls
        may_have_run = [held.attempts[n] for n in sorted({*held.ran, *held.out})]
        if not may_have_run or cls.effect == i.Effect.PURE:
            return nodes
        if cls.effect == i.Effect.SIDE_EFFECT or now >= may_have_run[0][1] + cls.repeat_window:
            return []
        for first, _ in may_have_run:
            if cls.group == i.Group.ZONE:
                nodes = [n for n in nodes if n.entry.zone == first.entry.zone]
            elif cls.group == i.Group.CELL:
                nodes = [n for n in nodes if n.entry.cell == first.entry.cell]
        return nodes

    def again(self, now: float, held: Held) -> bool:
        """One more attempt, if rules, deadline and budget let it and it holds a slot of its own."""
        price = 1.0 if held.ran or held.out else self.UNRUN
        spent = len(held.attempts) >= self.s.limits.max_attempts or self.spare < price
        if spent or held.streaming or now >= held.r.not_after or self.full():
            return False
        if node := self.fleet.choose(now, self.allowed(now, held), held):
            self.spare -= price
            self.send(now, held, node)
        return node is not None

    def give_up(self, now: float, held: Held) -> None:
        everywhere = (held.cls.effect, held.cls.group) == (i.Effect.TOKEN, i.Group.ALL)
        harmless = everywhere or held.cls.effect == i.Effect.PURE or not held.ran
        if harmless and now < held.r.not_after:
            return self.refuse(held, "tries")
        self.actions.append(i.Fail(held.r.id))
        self.end(held)

    def refuse(self, held: Held, why: str) -> None:
        refill, slot = held.plan.refill, HEARTBEAT_PERIOD_S if why == "tries" else self.usual()
        after = held.r.units / refill if why == "quota" and refill else slot
        advice = min(after, self.s.limits.max_retry_after) if self.s.limits.retry_after else 0.0
        self.actions.append(i.Refuse(held.r.id, advice, why))
        self.end(held)

    def end(self, held: Held) -> None:
        del self.held[held.r.id]
        if held.until:
            self.asking = {token: h for token, h in self.asking.items() if h is not held}
        self.cancel(held.r.id, held.out)
        if not held.out:
            self.give_back(held)

    def give_back(self, held: Held) -> None:
        """Tells the account, once nothing of it is out, of the free slot and the true units."""
        extra = held.extra if held.drawn else -held.r.units * held.inside
        back = Back(held.ask.token if held.ask else 0, held.r.customer, extra)
        c = self.quota.customers.get(held.r.customer)
        away = c is not None and held.ask is not None and c.keeper != self.s.me
        if c and away and (held.plan.parallel or extra):
            # Twice where that is harmless: a slot whose end is lost stays taken for some latencies.
            times = 1 if extra or held.plan.refill else 2
            self.actions += [i.Tell(c.keeper, mail.write_ask(back))] * times
        if not (self.sparse and away):
            self.quota.back(self.s.me, back)

    def cancel(self, id: int, attempts: set[int]) -> None:
        if self.s.limits.cancel:
            self.actions += [i.Cancel(id, n) for n in sorted(attempts)]
