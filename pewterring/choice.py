"""Every decision of a gatekeeper. The types, events and actions are in pewterring/interface.py.

The ordinary path is docs/design.md's: a request passes its customer's quota (Quota), then a slot below
min(share, local limit) of the inferred ceiling (Ceiling, Shares), then goes to the server with the least
expected wait (Fleet). What cannot pass is refused at once; nothing queues here.
"""

import math
import random
import struct
from collections import deque
from typing import ClassVar

from pewterring import interface as i

TICK, LOOK, ASK = 1, 2, 3  # labels of the timers
BEAT_S = 0.5  # heartbeat period (ours, DESIGN)
NEWS_S = 0.1  # news of quotas between heartbeats come no closer than this, and farther where mail is scarce
LEASE_S = 4 * BEAT_S  # a peer silent for this long is evicted: at 8% loss one in 24,000 beats misleads
GHOST_S = 15 * LEASE_S  # the demand of unheard peers fades by 1/e in this: longer than a restart takes
LOOKS = 12  # looks for silent servers within the shortest aim
BEAT_FORM = struct.Struct(">cIIfIff")  # kind, incarnation, sequence, limit, out, share, demand; then news:
NEWS_FORM = struct.Struct(">QBBBHH")  # a customer, the numbers of its plan, set size and first; demand, spent
MAIL_BYTES, NEWS_SCALE = 256, 1000  # demand and spending travel in thousandths of the plan's quota and burst


class Ceiling:
    """Gradient2: how many attempts the whole back end bears, inferred from latency."""

    TOLERANCE = 3.5  # queueing allowed over the unloaded latency; a few waits per service fit any sane aim
    AIM_SHARE = 0.33  # the tolerated latency never passes this part of the aim: bounds the baseline's upward
    # drift when all servers slow together, whatever the rolling minimum says
    BATCH, WINDOW = 48, 1024  # answers of the whole fleet per update, own answers in the rolling minimum
    MEMORY, SMOOTH = 1 / 32, 0.2  # weight of one sample in the mean, of one update in the estimate
    START, FLOOR = 4.0, 1.0  # slots a server, at the start and at the least
    BUSY = 0.75  # the ceiling grows only while so much of it is out

    def __init__(self, fleet: int) -> None:
        self.batch = max(4, self.BATCH // fleet)  # each gatekeeper sees its part: large fleets adapt as fast
        self.mean: dict[str, float] = {}
        self.count: dict[str, int] = {}
        self.lows: dict[str, deque[float]] = {}
        self.rating = self.limit = 0.0
        self.servers = 0

    def rescale(self, rating: float, servers: int) -> None:
        """Slots belong to servers: the limit follows the serving rating on the list at once."""
        if rating > 0:
            self.limit = self.limit * rating / self.rating if self.rating else self.START * servers
            self.rating, self.servers = rating, servers

    def observe(self, cls: i.RequestClass, latency: float, fleet_out: float) -> None:
        """One latency; single ones vary too much for a minimum, so a class's running mean is the sample."""
        name = cls.name
        n = self.count[name] = self.count.get(name, 0) + 1
        mean = self.mean.get(name, latency)
        self.mean[name] = mean = mean + (latency - mean) * max(self.MEMORY, 1 / n)
        if n % self.batch:
            return
        lows = self.lows.setdefault(name, deque(maxlen=self.WINDOW // self.batch))
        if n * self.MEMORY >= 2:  # the first answers to come back are the fastest: no baseline
            lows.append(mean)
        tolerated = min(self.TOLERANCE * min(lows, default=math.inf), self.AIM_SHARE * cls.aim)
        gradient = min(1.0, max(0.5, tolerated / max(mean, 1e-9)))
        new = self.limit * gradient + math.sqrt(self.limit)
        if new > self.limit and fleet_out < self.BUSY * self.limit:
            return  # an idle fleet says nothing of room above
        self.limit = max(self.FLOOR * self.servers, self.limit + (new - self.limit) * self.SMOOTH)


class Peer:
    """What one peer's heartbeats said last."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.before, self.sequence = incarnation, -1, -1
        self.heard = -math.inf
        self.limit = self.out = self.share = self.demand = 0.0


class Shares:
    """The ceiling's split: lower median of live limits, occupancy reserved, target split by demand."""

    def __init__(self, fleet: int, incarnation: int) -> None:
        self.fleet, self.incarnation, self.sequence = fleet, incarnation, 0
        self.began, self.total, self.at = -math.inf, 0.0, 0.0
        self.peers: dict[int, Peer] = {}
        self.wanted = self.demand = 0.0
        self.share = math.inf

    def live(self, now: float) -> list[Peer]:
        return [p for p in self.peers.values() if now - p.heard < LEASE_S]

    def fleet_out(self, now: float, out: int) -> float:
        return out + sum(p.out for p in self.live(now))

    def divide(self, now: float, limit: float) -> None:
        others = self.live(now)
        limits = sorted([limit, *(p.limit for p in others)])
        whole = limits[(len(limits) - 1) // 2]
        demands = self.demand + sum(p.demand for p in others)
        # While peers are unheard the demand summed before counts on, fading: where mail is cut or a fleet
        # starts each side else claims the whole ceiling. If the unheard are dead, their callers come here and
        # the own demand rises instead; a gatekeeper truly alone gets the whole as the memory fades.
        missing = self.fleet - 1 - len(others)
        if now - self.began < LEASE_S:
            demands += missing * self.demand
        if missing > 0:
            demands = max(demands, self.total * math.exp((self.at - now) / GHOST_S))
        self.total, self.at = demands, now
        part = self.demand / demands if demands > 0 else 1 / self.fleet
        self.share = max(1.0, min(whole * part, whole - sum(max(p.share, p.out) for p in others)))

    def settle(self, now: float, past: float, limit: float) -> None:
        """Own demand over the last few heartbeats, and the share that follows."""
        weight = 1 - math.exp(-past / LEASE_S)
        self.demand += (self.wanted / max(past, 1e-3) - self.demand) * weight
        self.wanted = 0.0
        self.divide(now, limit)

    def beat(self, limit: float, out: int) -> bytes:
        """One atomic snapshot of what this gatekeeper holds and wants."""
        self.sequence += 1
        return BEAT_FORM.pack(b"B", self.incarnation, self.sequence, limit, out, self.share, self.demand)

    def hear(self, now: float, peer: int, data: bytes, limit: float) -> bool:
        """Takes a heartbeat; False where it is malformed, late, or of a former life of the peer."""
        if data[:1] != b"B" or len(data) < BEAT_FORM.size:
            return False
        _, incarnation, sequence, theirs, out, share, demand = BEAT_FORM.unpack_from(data)
        p = self.peers.get(peer) or Peer(incarnation)
        sane = all(math.isfinite(x) and x >= 0 for x in (theirs, share, demand))
        if not sane or incarnation == p.before or (incarnation == p.incarnation and sequence <= p.sequence):
            return False
        p.before = p.before if incarnation == p.incarnation else p.incarnation
        p.incarnation, p.sequence, p.heard = incarnation, sequence, now
        p.limit, p.out, p.share, p.demand = theirs, out, share, demand
        self.peers[peer] = p
        self.divide(now, limit)
        return True


class Use:
    """A gatekeeper's use of one customer's quota: recent demand, and what of the burst it has spent."""

    def __init__(self, demand: float = 0.0, spent: float = 0.0) -> None:
        self.demand, self.spent = demand, spent


class Customer:
    """One customer's use, here and as peers told it."""

    def __init__(self, now: float, plan: i.Plan, size: int, first: int) -> None:
        self.plan, self.size, self.first = plan, size, first
        self.window = max(1.0, plan.depth / plan.refill) if plan.refill else 1.0  # the store's own memory
        self.idle = 2 * max(self.window, plan.cap_depth / plan.cap_rate if plan.cap_rate else 0.0) + 10.0
        self.at, self.new = now, False
        self.own = Use()
        self.told: dict[int, Use] = {}  # by incarnation, so that a restart leaves its former use counted
        self.sent: dict[int, Use] = {}  # what each peer knows of the own use
        self.dealt = self.cap = 0.0
        self.open = 0

    def demand(self) -> float:
        return self.own.demand + sum(u.demand for u in self.told.values())

    def left(self) -> float:
        """What is left of the burst, all gatekeepers' spending counted."""
        return self.plan.depth - self.own.spent - sum(u.spent for u in self.told.values())

    def pass_time(self, now: float) -> None:
        plan, past = self.plan, now - self.at
        if past <= 0:
            return
        spent = plan.depth - self.left()
        fade = math.exp(-past / self.window)
        keep = max(0.0, 1 - past * plan.refill / spent) if spent > 0 else 0.0
        for use in (self.own, *self.told.values(), *self.sent.values()):
            use.demand *= fade
            use.spent *= keep  # the refill goes where the burst was spent, as in one common store
        self.cap = min(plan.cap_depth / self.size, self.cap + past * plan.cap_rate / self.size)
        self.at = now


class Quota:
    """Summed-demand refusal beyond a local share of the burst, and the hard limits of a plan."""

    PULL = 10.0  # the quota rises and falls by so many refills for a whole burst left or overdrawn

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        self.s, self.rng, self.began = settings, rng, 0.0
        self.customers: dict[int, Customer] = {}
        self.plans = list(settings.plans.values())

    def customer(self, now: float, id: int, plan: i.Plan, size: int, first: int) -> Customer:
        c = self.customers.get(id)
        if c is None:
            c = self.customers[id] = Customer(now, plan, max(1, size), first)
            # The hard ceiling's share grows from this gatekeeper's start: a restart grants nothing anew.
            c.cap = min(plan.cap_depth, (now - self.began) * plan.cap_rate) / c.size
            c.dealt = self.rng.random()
        c.pass_time(now)
        return c

    def admits(self, now: float, r: i.Request, plan: i.Plan, idle: bool) -> bool:
        c = self.customer(now, r.customer, plan, r.set_size, r.set_from)
        c.own.demand += r.units / c.window
        c.new = True
        if plan.cap_rate and c.cap < r.units:
            return False  # the hard ceiling: this gatekeeper's part of it, whatever peers say
        if plan.parallel and c.open >= max(1, plan.parallel // c.size):
            return False
        spare = c.left() - r.units
        if idle and plan.over_worth > plan.over_cost:
            return True  # a plan that pays for use beyond its quota may have what else would lie idle
        if not plan.refill or (spare >= 0 and c.own.spent + r.units <= plan.depth / c.size):
            return True
        # Past the local share the quota follows what the told spending leaves of the burst, or overdraws:
        # keeps uneven entry, late news and lost mail from adding up. It errs where a peer's mail stays away.
        quota = max(0.0, plan.refill * (1 + self.PULL * spare / plan.depth))
        demand = c.demand()
        if demand <= quota:
            return True
        # The chance is dealt evenly over the tries from a random start: independent draws would empty and
        # waste the small store of a plan in turn.
        c.dealt += r.units * quota / demand
        if c.dealt < r.units:
            return False
        c.dealt -= r.units
        return True

    def draw(self, r: i.Request) -> None:
        c = self.customers[r.customer]
        c.cap -= r.units
        c.own.spent += min(r.units, max(0.0, c.left()))  # a try beyond the quota takes nothing

    def sweep(self, now: float) -> list[tuple[int, Customer]]:
        """Customers with new use; those long idle are dropped, their burst and ceiling being full again."""
        for id in [id for id, c in self.customers.items() if now - c.at > c.idle]:
            del self.customers[id]
        fresh = [(id, c) for id, c in self.customers.items() if c.new and c.plan.refill]
        for _, c in fresh:
            c.pass_time(now)
            c.new = False
        return fresh

    def news(self, peer: int, fresh: list[tuple[int, Customer]]) -> bytes:
        """Use that this peer, where it is of the set, would misjudge; the largest errors first."""
        due = []
        for id, c in fresh:
            if (peer - c.first) % self.s.fleet_size < c.size:
                known = c.sent.get(peer, Use())
                error = abs(c.own.demand - known.demand) / c.plan.refill
                error = (error + abs(c.own.spent - known.spent) / c.plan.depth) * c.size
                if error > 0.04:  # of an even part of the quota: smaller errors move no decision
                    due.append((error, id))
        due.sort(reverse=True)
        room = (MAIL_BYTES - BEAT_FORM.size) // NEWS_FORM.size
        data = b""
        for _, id in due[:room]:
            c = self.customers[id]
            c.sent[peer] = Use(c.own.demand, c.own.spent)
            shown = (c.own.demand / c.plan.refill, c.own.spent / c.plan.depth)
            scaled = (min(65535, round(x * NEWS_SCALE)) for x in shown)
            data += NEWS_FORM.pack(id, self.plans.index(c.plan), c.size, c.first, *scaled)
        for _, id in due[room:]:
            self.customers[id].new = True
        return data

    def hear(self, now: float, incarnation: int, data: bytes) -> None:
        if len(data) % NEWS_FORM.size:
            return
        for id, number, size, first, demand, spent in NEWS_FORM.iter_unpack(data):
            if number < len(self.plans) and 0 < size <= self.s.fleet_size:
                plan = self.plans[number]
                told = Use(demand / NEWS_SCALE * plan.refill, spent / NEWS_SCALE * plan.depth)
                self.customer(now, id, plan, size, first).told[incarnation] = told


class Node:
    """One server as this gatekeeper knows it."""

    def __init__(self, entry: i.Server) -> None:
        self.entry = entry
        self.listed = False
        self.pending: dict[tuple[int, int], float] = {}  # attempts out: when sent
        self.answered = -math.inf
        self.slow, self.errors, self.judged = 1.0, 0.0, 0.0
        self.silent_since = 0.0  # 0: it answers
        self.probed = 0.0
        self.came_up = entry.came_up
        self.tokens, self.token_at = 1.0, 0.0


class Fleet:
    """The servers: list, symptoms, cold budget and the least expected wait."""

    SILENCE = 8.0  # if waits are exponential, a healthy server says nothing for so long once in e^8 times
    FORGET_S = 5.0  # symptoms fade by 1/e in this time, so that real traffic tests the server again
    SAMPLE = 0.1  # weight of one outcome
    # How far an outcome speaks against its server. Being turned away unseen costs a round trip and no work:
    # taken for a fault it would drive all traffic to the servers that still accept, and jam them.
    FAULTS: ClassVar = dict.fromkeys((i.Code.INTERNAL, i.Code.ABORTED, i.Code.UNAVAILABLE), 1.0)
    FAULTS[i.Code.RESOURCE_EXHAUSTED] = 0.25

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.nodes: dict[int, Node] = {}
        self.pace = 0.0  # own requests a second and rating

    def update(self, event: i.ServerList) -> None:
        if event.form == i.ListForm.FAILED:
            return
        if event.form != i.ListForm.CHANGES:
            for node in self.nodes.values():
                node.listed = False
        for entry in event.servers:
            node = self.nodes.setdefault(entry.id, Node(entry))
            if entry.came_up > node.entry.came_up:
                node.came_up, node.slow, node.errors, node.tokens = entry.came_up, 1.0, 0.0, 1.0
            node.entry, node.listed = entry, entry.mode != i.Mode.DELETED
        for id in [id for id, n in self.nodes.items() if not n.listed and not n.pending]:
            del self.nodes[id]

    def serving(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.listed and n.entry.mode == i.Mode.SERVING]

    def rating(self) -> float:
        nodes = self.serving()
        return float(len(nodes)) if self.s.live_ratings else sum(n.entry.rating for n in nodes)

    def warmth(self, node: Node, now: float) -> float:
        rules = self.s.rules
        if not node.came_up or now - node.came_up >= rules.cold:
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, now - node.came_up) / rules.cold

    def take_pace(self, now: float, flow: float) -> None:
        """What a warm server takes of this gatekeeper's flow, by rating: the measure for cold ones."""
        warm = sum(n.entry.rating * self.warmth(n, now) for n in self.serving())
        self.pace = flow / warm if warm > 0 else 0.0

    def may_take(self, node: Node, now: float) -> bool:
        """A cold server gets no more than its part of what a warm one gets: far below what tips it over."""
        warmth = self.warmth(node, now)
        if warmth >= 1.0:
            return True
        rules = self.s.rules
        rate = warmth * node.entry.rating * self.pace * min(1.25, rules.fall_multiple / 2)
        rate = max(rate, 1 / (rules.tip_after * self.s.fleet_size))  # where all are cold there is no pace yet
        node.tokens = min(1.0 + rate * rules.tip_after / 2, node.tokens + rate * (now - node.token_at))
        node.token_at = now
        return node.tokens >= 1.0

    def symptoms(self, node: Node, now: float) -> tuple[float, float]:
        """Slowness and share of errors, faded since the last outcome."""
        fade = math.exp((node.judged - now) / self.FORGET_S)
        return 1.0 + (node.slow - 1.0) * fade, node.errors * fade

    def wait(self, node: Node, now: float) -> float:
        """Expected wait: attempts out over present rating, stretched by what the server's symptoms say."""
        slow, errors = self.symptoms(node, now)
        wait = (len(node.pending) + 1) / max(node.entry.rating * self.warmth(node, now), 1e-9)
        wait *= max(1.0, slow) / max(0.05, 1.0 - errors) ** 4
        if node.silent_since:
            wait *= 1000.0
        if node.entry.zone != self.s.zone:
            wait *= 1.0 + self.s.price_cross_zone * 10
        return wait

    def choose(self, now: float, among: list[Node], avoid: set[int]) -> Node | None:
        nodes = [n for n in among if self.may_take(n, now)]
        fresh = [n for n in nodes if n.entry.id not in avoid] or nodes
        return min(fresh, key=lambda n: (self.wait(n, now), self.rng.random()), default=None)

    def judge(self, node: Node, now: float, expected: float, o: i.Outcome) -> None:
        node.pending.pop((o.id, o.attempt), None)
        node.slow, node.errors = self.symptoms(node, now)
        node.judged = now
        if o.code in (i.Code.OK, i.Code.INTERNAL, i.Code.RESOURCE_EXHAUSTED):
            self.answers(node, now)
        if o.code == i.Code.OK:
            node.slow += (min(10.0, o.took / max(expected, 1e-9)) - node.slow) * self.SAMPLE
            node.errors -= node.errors * self.SAMPLE
        elif o.code in self.FAULTS:
            node.errors += (self.FAULTS[o.code] - node.errors) * self.SAMPLE

    def answers(self, node: Node, now: float) -> None:
        """Back from silence: it may have restarted, so until a list says otherwise it counts as cold."""
        node.answered = now
        if node.silent_since:
            if now - node.silent_since > self.s.rules.tip_after:
                node.came_up, node.tokens, node.token_at = now, 1.0, now
            node.silent_since = 0.0

    def streams(self, event: i.StreamStarted, now: float) -> None:
        """A started stream has answered: however long it lasts, it is no evidence of silence."""
        if event.server in self.nodes:
            self.answers(self.nodes[event.server], now)
            self.nodes[event.server].pending[event.id, event.attempt] = math.inf

    def look(self, now: float, expected: float) -> list[Node]:
        """Servers that have just fallen silent; `expected` is the usual latency."""
        found = []
        for node in self.nodes.values():
            waits = (now - max(sent, node.answered) for sent in node.pending.values())
            evidence = sum(max(0.0, wait) for wait in waits) / max(expected, 1e-3)
            if not node.silent_since and evidence > self.SILENCE * max(1.0, node.slow):
                node.silent_since = now
                found.append(node)
        return found


class Held:
    """A request this gatekeeper owes an answer for."""

    def __init__(self, request: i.Request, cls: i.RequestClass) -> None:
        self.r, self.cls = request, cls
        self.attempts: list[tuple[Node, float]] = []  # where each was sent, when
        self.out: set[int] = set()
        self.ran: list[int] = []  # attempts that ended and may have run
        self.streaming = False
        everywhere = (cls.effect, cls.group) == (i.Effect.TOKEN, i.Group.ALL)
        self.repeatable = everywhere or cls.effect == i.Effect.PURE


class Gatekeeper:
    """One gatekeeper: events in, actions out."""

    LOST = 8.0  # usual latencies after which an attempt is taken for lost: one in 3,000 if waits are even
    IDLE = 0.5  # a share of which less than this is out is idle
    EXTRA, UNRUN = 0.2, 0.25  # further attempts per first attempt; what one after a proven non-run counts

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s = settings
        self.rng = random.Random(seed)
        self.ceiling = Ceiling(settings.fleet_size)
        self.shares = Shares(settings.fleet_size, self.rng.getrandbits(32))
        self.fleet = Fleet(settings, self.rng)
        self.quota = Quota(settings, self.rng)
        self.began = False
        self.held: dict[int, Held] = {}
        self.flying: dict[tuple[int, int], Held] = {}  # attempts out, also after their request's end
        self.lost, self.spare = 0, 1.0
        self.actions: list[i.Action] = []
        # A fifth of the peers' intake is left for what else may come.
        self.tick_s = max(NEWS_S, (settings.fleet_size - 1) / max(0.8 * settings.mail_per_s, 1.0))
        self.ticked, self.beaten = 0.0, dict[int, float]()
        self.look_s = min((c.aim for c in settings.classes.values()), default=1.0) / LOOKS

    @property
    def out(self) -> int:
        return max(0, len(self.flying) - self.lost)

    def full(self) -> bool:
        return self.out >= min(self.shares.share, self.ceiling.limit)

    def usual(self) -> float:
        """The usual latency of the slowest class; the shortest aim while none is known."""
        return max(self.ceiling.mean.values(), default=self.look_s * LOOKS)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.actions = []
        if isinstance(event, i.ServerList):
            self.fleet.update(event)
            self.ceiling.rescale(self.fleet.rating(), len(self.fleet.serving()))
        if not self.began:
            self.begin(now)
        match event:
            case i.Request():
                self.arrive(now, event)
            case i.Outcome():
                self.ended(now, event)
            case i.ServerList():
                if event.form == i.ListForm.FAILED and self.s.ask_discovery:
                    self.actions.append(i.SetTimer(self.s.rules.ask_within * self.rng.uniform(0.1, 0.4), ASK))
            case i.TimerDue():
                self.timer(now, event.label)
            case i.PeerMail():
                foreign = event.peer == self.s.me or not 0 <= event.peer < self.s.fleet_size
                if not foreign and self.shares.hear(now, event.peer, event.data, self.ceiling.limit):
                    news = event.data[BEAT_FORM.size :]
                    self.quota.hear(now, self.shares.peers[event.peer].incarnation, news)
            case i.ProbeResult():
                node = self.fleet.nodes.get(event.server)
                if node and event.code == i.Code.OK:
                    self.fleet.answers(node, now)
            case i.StreamStarted() if event.id in self.held:
                held = self.held[event.id]
                held.streaming = True
                self.ceiling.observe(held.cls, event.took, self.shares.fleet_out(now, self.out))
                self.fleet.streams(event, now)
                self.cancel(held.r.id, held.out - {event.attempt})
            case i.Expired() if event.id in self.held:
                self.end(self.held[event.id])
        return self.actions

    def begin(self, now: float) -> None:
        self.began = True
        self.shares.began = self.quota.began = self.ticked = now
        self.shares.divide(now, self.ceiling.limit)
        self.actions += [i.SetTimer(self.tick_s * self.rng.random(), TICK), i.SetTimer(self.look_s, LOOK)]
        if self.s.ask_discovery:
            self.actions.append(i.Subscribe())

    def timer(self, now: float, label: int) -> None:
        if label == TICK:
            self.tick(now)
            self.actions.append(i.SetTimer(self.tick_s, TICK))
        elif label == LOOK:
            expected = self.usual()
            # Attempts that never end hold no slot: a few of them would shut an idle fleet. In a jam the usual
            # latency grows too, so that what is merely slow goes on holding its slot.
            gone = now - self.LOST * expected
            self.lost = sum(held.attempts[n][1] < gone for (_, n), held in self.flying.items())
            # What waits at a server fallen silent gets a second copy where a repeat is harmless.
            for id in [id for node in self.fleet.look(now, expected) for id, _ in node.pending]:
                held = self.held.get(id)
                if held and self.s.limits.may_duplicate and len(held.out) == 1:
                    self.again(now, held)
            for node in self.fleet.nodes.values():
                if node.silent_since and node.listed and self.s.limits.probing and now - node.probed > 1.0:
                    node.probed = now
                    self.actions.append(i.Probe(node.entry.id))
            self.actions.append(i.SetTimer(self.look_s, LOOK))
        else:
            self.actions.append(i.Subscribe())

    def tick(self, now: float) -> None:
        """Heartbeats when due, and between them news of quotas where there are any."""
        past, self.ticked = now - self.ticked, now
        self.shares.settle(now, past, self.ceiling.limit)
        # What is wanted, as far as the own slots can carry it: after a restart among cold servers a measure
        # of what was sent would start from nought and hold itself down.
        self.fleet.take_pace(now, min(self.shares.demand, self.shares.share / max(self.usual(), 1e-3)))
        fresh = self.quota.sweep(now)
        for peer in range(self.s.fleet_size if self.s.limits.peers else 0):
            news = self.quota.news(peer, fresh) if peer != self.s.me else b""
            late = now + self.tick_s / 2 - self.beaten.get(peer, -math.inf) > BEAT_S
            if peer != self.s.me and (news or late):
                self.beaten[peer] = now
                self.actions.append(i.Tell(peer, self.shares.beat(self.ceiling.limit, self.out) + news))

    def arrive(self, now: float, r: i.Request) -> None:
        # Nothing is known of a class that the settings don't name: it is held to the strictest rule.
        left = r.not_after - now
        cls = self.s.classes.get(r.cls) or i.RequestClass(r.cls, left, left, i.Effect.SIDE_EFFECT)
        held = self.held[r.id] = Held(r, cls)
        self.shares.wanted += 1
        plan = self.s.plans.get(r.plan, i.Plan(r.plan))
        if not self.quota.admits(now, r, plan, self.out < self.IDLE * self.shares.share):
            self.shares.wanted -= 1
            return self.refuse(held, r.units / plan.refill if plan.refill else BEAT_S)
        if self.full():
            return self.refuse(held, BEAT_S)
        node = self.fleet.choose(now, self.fleet.serving(), set())
        if node is None:
            return self.refuse(held, BEAT_S)
        self.quota.draw(r)
        self.spare = min(10.0 + self.out / 2, self.spare + self.EXTRA)
        self.send(now, held, node)

    def send(self, now: float, held: Held, node: Node) -> None:
        key = (held.r.id, len(held.attempts))
        held.out.add(key[1])
        held.attempts.append((node, now))
        self.flying[key] = held
        self.quota.customers[held.r.customer].open += 1
        node.pending[key] = now
        node.tokens -= 1.0
        self.actions.append(i.Send(held.r.id, node.entry.id))

    def ended(self, now: float, o: i.Outcome) -> None:
        held = self.flying.pop((o.id, o.attempt), None)
        if held is None:
            return
        held.out.discard(o.attempt)
        node = self.fleet.nodes.get(o.server)
        if node:
            self.fleet.judge(node, now, self.ceiling.mean.get(held.cls.name, o.took), o)
        if o.code == i.Code.OK and not held.streaming:
            self.ceiling.observe(held.cls, o.took, self.shares.fleet_out(now, self.out + 1))
        customer = self.quota.customers.get(held.r.customer)
        if customer:
            customer.open -= 1
            extra = o.actual - held.r.units if o.actual > 0 else 0.0
            customer.own.spent += extra
            customer.own.demand += extra / customer.window
        if held.r.id not in self.held:
            return
        if o.no_more:
            return self.end(held)
        if o.code not in i.NEVER_RAN:
            held.ran.append(o.attempt)
        if not held.out and not self.again(now, held):
            self.give_up(now, held)

    def allowed(self, now: float, held: Held) -> list[Node]:
        """Where a further attempt may go without a second effect."""
        nodes, cls = self.fleet.serving(), held.cls
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
        price = 1.0 if held.ran or held.out else self.UNRUN  # what never ran has cost the servers little
        if len(held.attempts) >= self.s.limits.max_attempts or held.streaming or self.spare < price:
            return False
        if now >= held.r.not_after or self.full():
            return False
        node = self.fleet.choose(now, self.allowed(now, held), {n.entry.id for n, _ in held.attempts})
        if node:
            self.spare -= price
            self.send(now, held, node)
        return node is not None

    def give_up(self, now: float, held: Held) -> None:
        if (held.repeatable or not held.ran) and now < held.r.not_after:
            return self.refuse(held, BEAT_S)
        self.actions.append(i.Fail(held.r.id))
        self.end(held)

    def refuse(self, held: Held, after: float) -> None:
        limits = self.s.limits
        advice = min(after, limits.max_retry_after) if limits.retry_after else 0.0
        self.actions.append(i.Refuse(held.r.id, advice))
        self.end(held)

    def end(self, held: Held) -> None:
        """The request has its final answer; what is still out of it is cancelled where that is allowed."""
        del self.held[held.r.id]
        self.cancel(held.r.id, held.out)

    def cancel(self, id: int, attempts: set[int]) -> None:
        if self.s.limits.cancel:
            self.actions += [i.Cancel(id, n) for n in sorted(attempts)]
