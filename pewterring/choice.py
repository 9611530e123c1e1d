"""Every decision of a gatekeeper. The types, events and actions are in pewterring/interface.py, what is
remembered in pewterring/state.py, the bytes told to peers in pewterring/mail.py.

The ordinary path is docs/design.md's: a request passes its customer's quota (Quota), then a slot below
min(share, local limit) of the inferred ceiling (Ceiling, Shares), then goes to the server with the least
expected wait (Fleet). What cannot pass is refused at once; nothing queues here.
"""

import math
import random
from collections import deque
from collections.abc import Sequence

from pewterring import interface as i
from pewterring.mail import NEWS, NEWS_ROOM, Beat, News, read_beat, read_news, write_beat, write_news
from pewterring.state import Held, Node, Peer, Use

TICK, LOOK, ASK = 1, 2, 3  # labels of the timers
BEAT_S = 0.5  # heartbeat period (ours, DESIGN)
NEWS_S = 0.1  # news of quotas between heartbeats come no closer than this, and farther where mail is scarce
LEASE_S = 4 * BEAT_S  # a peer silent for this long is evicted: at 8% loss one in 24,000 beats misleads
GHOST_S = 15 * LEASE_S  # the demand of unheard peers fades by 1/e in this: longer than a restart takes
LOOKS = 12  # looks for silent servers within the shortest aim
# How far an outcome speaks against its server. Being turned away unseen costs a round trip and no work: taken
# for a fault it would drive all traffic to the servers that still accept, and jam them.
FAULTS = {i.Code.INTERNAL: 1.0, i.Code.ABORTED: 1.0, i.Code.UNAVAILABLE: 1.0, i.Code.RESOURCE_EXHAUSTED: 0.25}
SPARSE = 0.3  # of the mail that beats to all may take; at an intake of 100 a second up to 13 gatekeepers
HEARD = 2  # in a sparse fleet: peers told of a beat in its period


class Ceiling:
    """Gradient2: how many attempts the whole back end bears, inferred from latency."""

    TOLERANCE = 3.5  # queueing allowed over the unloaded latency; a few waits per service fit any sane aim
    AIM_SHARE = 0.33  # of the aim at most: bounds the baseline's upward drift when all servers slow together
    BATCH, WINDOW = 48, 1024  # answers of the whole fleet per update, own answers in the rolling minimum
    MEMORY, SMOOTH = 1 / 32, 0.2  # weight of one sample in the mean, of one update in the estimate
    CLIP = 4.0  # means one sample counts at most: a few costly requests are no queue
    START, FLOOR = 4.0, 1.0  # slots a server, at the start and at the least
    BUSY = 0.75  # the ceiling grows only while so much of it is out

    def __init__(self, fleet: int) -> None:
        # Each gatekeeper sees its part of the fleet's answers: large fleets adapt as fast, by longer steps.
        self.batch = max(1, self.BATCH // fleet)
        self.smooth = min(0.5, self.SMOOTH * max(1.0, fleet / self.BATCH))
        self.mean: dict[str, float] = {}
        self.count: dict[str, int] = {}
        self.lows: dict[str, deque[float]] = {}
        self.rating, self.limit, self.servers = 0.0, 0.0, 0

    def rescale(self, rating: float, servers: int) -> None:
        """Slots belong to servers: the limit follows the serving rating on the list at once."""
        if rating > 0:
            self.limit = self.limit * rating / self.rating if self.rating else self.START * servers
            self.rating, self.servers = rating, servers

    def observe(self, cls: i.RequestClass, latency: float, fleet_out: float) -> None:
        # Single latencies vary too much for a minimum: a class's running mean is the sample.
        name, mean = cls.name, self.mean.get(cls.name, latency)
        n = self.count[name] = self.count.get(name, 0) + 1
        self.mean[name] = mean = mean + (min(latency, self.CLIP * mean) - mean) * max(self.MEMORY, 1 / n)
        if n % self.batch:
            return
        lows = self.lows.setdefault(name, deque(maxlen=self.WINDOW // self.batch))
        if n * self.MEMORY >= 2:  # the first answers to come back are the fastest: no baseline
            lows.append(mean)
        tolerated = min(self.TOLERANCE * min(lows, default=math.inf), self.AIM_SHARE * cls.aim)
        gradient = min(1.0, max(0.5, tolerated / max(mean, 1e-9)))
        new = self.limit * gradient + math.sqrt(self.limit)
        if new <= self.limit or fleet_out >= self.BUSY * self.limit:  # an idle fleet tells of no room above
            self.limit = max(self.FLOOR * self.servers, self.limit + (new - self.limit) * self.smooth)


class Shares:
    """The ceiling's split: lower median of live limits, occupancy reserved, target split by demand."""

    LENT = 2.0  # of the square root of a share: what chance alone adds to attempts out, two in forty times
    IDLE = 0.5  # lent in full where half this part of the ceiling is free, nothing where so much is overdrawn

    def __init__(self, fleet: int, incarnation: int, sparse: bool = False) -> None:
        self.fleet, self.incarnation, self.sequence, self.sparse = fleet, incarnation, 0, sparse
        self.lease = 2 * LEASE_S if sparse else LEASE_S  # in a sparse fleet some 16 peers are heard in this
        self.began, self.total, self.at, self.share = -math.inf, 0.0, 0.0, math.inf
        self.whole = self.elsewhere = 0.0  # the fleet's ceiling, and what peers have out of it
        self.peers: dict[int, Peer] = {}
        self.wanted = self.passed = 0.0  # since the last tick: asked inside quotas, and sent on
        self.demand = self.flow = 0.0  # the same a second

    def live(self, now: float) -> list[Peer]:
        return [p for p in self.peers.values() if now - p.heard < self.lease]

    def room(self, out: int) -> float:
        """The share, and in a sparse fleet what lies idle: a slot or two would refuse chance meetings."""
        free = 1 - (self.elsewhere + out) / max(self.whole, 1.0) if self.sparse else -math.inf
        return self.share + self.LENT * math.sqrt(self.share) * min(1.0, max(0.0, 0.5 + free / self.IDLE))

    def divide(self, now: float, limit: float) -> None:
        others = self.live(now)
        whole = sorted([limit, *(p.beat.limit for p in others)])[len(others) // 2]
        demands = self.demand + sum(p.beat.demand for p in others)
        self.elsewhere = sum(p.beat.out for p in others)
        reserved = sum(max(p.beat.share, p.beat.out) for p in others)
        if self.sparse:
            # Those heard, chance picks, speak for the rest: too roughly to take what they reserve from the
            # whole, so only attempts past it bring the share to its floor. Unheard, the rest counts as busy.
            demands *= self.fleet / (1 + len(others))
            self.elsewhere *= (self.fleet - 1) / max(1, len(others))
            if not others and now - self.began >= self.lease:
                self.elsewhere = whole
            reserved = self.elsewhere
        # Peers unheard: the demand summed before counts on, fading: with mail cut each side else claims the
        # whole ceiling. If they are dead their callers come here, and the own demand rises instead.
        missing = 0 if self.sparse else self.fleet - 1 - len(others)
        if now - self.began < LEASE_S:
            demands += missing * self.demand
        if missing > 0:
            demands = max(demands, self.total * math.exp((self.at - now) / GHOST_S))
        self.total, self.at, self.whole = demands, now, whole
        # New here, it takes its part all the same: peers reserve as they did without it, and will make room.
        new = not self.sparse and now - self.began < LEASE_S
        part = self.demand / demands if demands > 0 and (self.demand > 0 or not new) else 1 / self.fleet
        self.share = max(1.0, whole * part if new else min(whole * part, whole - reserved))

    def settle(self, now: float, past: float, limit: float) -> None:
        weight = max(1 - math.exp(-past / self.lease), past / max(past, now - self.began))  # first a mean
        self.demand += (self.wanted / past - self.demand) * weight
        self.flow += (self.passed / past - self.flow) * weight
        self.wanted = self.passed = 0.0
        self.divide(now, limit)

    def beat(self, limit: float, out: int) -> bytes:
        self.sequence += 1
        return write_beat(Beat(self.incarnation, self.sequence, limit, out, self.share, self.demand))

    def hear(self, now: float, peer: int, data: bytes, limit: float) -> bool:
        """Takes a heartbeat; False where it is malformed, late, or of a former life of the peer."""
        beat, p = read_beat(data), self.peers.get(peer)
        known = bool(beat and p and beat.incarnation == p.beat.incarnation)
        if not beat or (p and (beat.incarnation == p.before or (known and beat.sequence <= p.beat.sequence))):
            return False
        self.peers[peer] = Peer(beat, now, -1 if not p else p.before if known else p.beat.incarnation)
        if not self.sparse:
            self.divide(now, limit)
        return True


class Customer:  # its use here, and as peers told it
    def __init__(self, now: float, plan: i.Plan, size: int, first: int) -> None:
        self.plan, self.size, self.first = plan, size, first
        self.window = max(1.0, plan.depth / plan.refill) if plan.refill else 1.0  # the store's own memory
        self.idle = 2 * max(self.window, plan.cap_depth / plan.cap_rate if plan.cap_rate else 0.0) + 10.0
        self.at, self.keeper = now, -1  # keeper: in a sparse fleet, who of the set keeps the account
        self.own, self.new = Use(), Use()  # all own use, and what of it is not told yet
        self.told: dict[int, Use] = {}  # by incarnation, so that a restart leaves its former use counted
        self.sent: dict[int, Use] = {}  # what each peer knows of the own use
        self.dealt, self.cap, self.open, self.heard = 0.0, 0.0, 0, -math.inf  # heard: when sums came

    def demand(self) -> float:
        return self.own.demand + sum(u.demand for u in self.told.values())

    def left(self) -> float:
        """What is left of the burst, all gatekeepers' spending counted."""
        return self.plan.depth - self.own.spent - sum(u.spent for u in self.told.values())

    def pass_time(self, now: float) -> None:
        if (past := now - self.at) <= 0:
            return
        # The refill goes where the burst was spent, as in one common store. The own part is reckoned as peers
        # know it: with what they have not heard of yet, all reckon theirs too large and refill too much.
        fade, refill = math.exp(-past / self.window), past * self.plan.refill
        sent = [self.own] if self.keeper >= 0 else list(self.sent.values()) or [self.own]
        known, told = max(use.spent for use in sent), sum(use.spent for use in self.told.values())
        part = min(1.0, refill / (known + told)) if known + told > 0 else 1.0
        # What the keeper said holds for a while: past the quota others spend what is refilled.
        if stays := now - self.heard < self.window:
            part = 0.0 if self.demand() > self.plan.refill else part
        own = self.own.spent - (known * part if part < 1 else refill)
        for use in (self.own, *self.told.values(), *self.sent.values()):
            use.demand *= 1.0 if stays and use is not self.own else fade
            use.spent *= 1 - part
        self.own.spent = max(0.0, own)
        self.cap = min(self.plan.cap_depth / self.size, self.cap + past * self.plan.cap_rate / self.size)
        self.at = now


class Quota:
    """Summed-demand refusal beyond a local share of the burst, and the hard limits of a plan."""

    PULL = 10.0  # the quota rises and falls by so many refills for a whole burst left or overdrawn
    KEPT = 0.4  # of the burst is kept back where another has the account, for what its news don't tell yet;
    # else as much as makes the quota nought where the store is empty: a try sent on too early only costs
    SPEAK = 0.2  # a keeper speaks when the set would misjudge demand or spending by so much in all

    def __init__(self, settings: i.Settings, rng: random.Random, sparse: bool = False) -> None:
        self.s, self.rng, self.began, self.sparse = settings, rng, 0.0, sparse
        self.customers, self.lives = dict[int, Customer](), dict[int, int]()  # lives: peers' incarnations
        self.fresh: dict[int, Customer] = {}  # those with use that is not told yet
        self.plans, self.kept = list(settings.plans.values()), self.KEPT if sparse else 1 / self.PULL

    def customer(self, now: float, id: int, plan: i.Plan, size: int, first: int) -> Customer:
        c = self.customers.get(id)
        if c is None:
            c = self.customers[id] = Customer(now, plan, max(1, size), first)
            # The hard ceiling's share grows from this gatekeeper's start: a restart grants nothing anew.
            c.cap = min(plan.cap_depth, (now - self.began) * plan.cap_rate) / c.size
            c.dealt = self.rng.random()
            if self.sparse:
                c.keeper = (first + id % c.size) % self.s.fleet_size
        c.pass_time(now)
        return c

    def admits(self, now: float, r: i.Request, plan: i.Plan, idle: bool) -> bool:
        c = self.customer(now, r.customer, plan, r.set_size, r.set_from)
        c.own.demand += r.units / c.window
        c.new.demand += r.units / c.window
        if c.plan.refill:
            self.fresh[r.customer] = c
        over = plan.cap_rate and c.cap < r.units  # the hard ceiling: the part held here, whatever peers say
        if over or (plan.parallel and c.open >= max(1, plan.parallel // c.size)):
            return False
        spare = c.left() - min(plan.depth, r.units + plan.depth * self.kept)  # a full store gives all it has
        if idle and plan.over_worth > plan.over_cost:
            return True  # a plan that pays for use beyond its quota may have what else would lie idle
        if not plan.refill or (spare >= 0 and c.own.spent + r.units <= plan.depth / c.size):
            return True
        # Past the local share the quota follows what the told spending leaves of the burst, or overdraws:
        # keeps uneven entry, late news and lost mail from adding up. It errs where a peer's mail stays away.
        quota, demand = max(0.0, plan.refill * (1 + self.PULL * spare / plan.depth)), c.demand()
        if demand > quota:
            # Dealt evenly from a random start: draws would empty and waste a small store in turn.
            c.dealt += r.units * quota / demand
            if c.dealt < r.units:
                return False
            c.dealt -= r.units
        return True

    def draw(self, r: i.Request) -> None:
        c = self.customers[r.customer]
        c.cap -= r.units
        taken = min(r.units, max(0.0, c.left()))  # a try beyond the quota takes nothing
        c.own.spent += taken
        c.new.spent += taken

    def sweep(self, now: float) -> None:
        for id in [id for id, c in self.customers.items() if now - c.at > c.idle]:
            del self.customers[id]  # its burst and ceiling are full again
            self.fresh.pop(id, None)

    def news(self, now: float, post: float, asker: int = -1, asked: Sequence[int] = ()) -> dict[int, bytes]:
        """New use, for the peers that would misjudge it without; the largest errors first.

        In a sparse fleet telling sets of dozens all use would overrun their intake: there one of the set
        keeps the account. The others tell it what is new; it tells sums, of customers past their quota only:
        to who told it of new use at once, to the set when they have changed.
        """
        due: dict[int, list[tuple[float, int, Use]]] = {}
        fresh, self.fresh = self.fresh, {}
        for id, c in fresh.items():
            c.pass_time(now)
            tell = not self.sparse
            if self.sparse and c.keeper != self.s.me:
                due.setdefault(c.keeper, []).append((1.0, id, c.new))
                c.new = Use()
            elif self.sparse and c.demand() > c.plan.refill:
                self.fresh[id] = c
                if tell := self.misjudged(c, c.keeper) > self.SPEAK and c.size <= post:
                    c.sent[c.keeper], post = Use(c.own.demand, c.own.spent), post - c.size
                elif id in asked:
                    due.setdefault(asker, []).append((2.0, id, c.own))
            for peer in (n % self.s.fleet_size for n in range(c.first, c.first + c.size * tell)):
                if (error := self.misjudged(c, peer) * c.size) > 0.04 or self.sparse:
                    due.setdefault(peer, []).append((error, id, c.own))
        due.pop(self.s.me, None)
        return {peer: self.pack(peer, entries) for peer, entries in due.items()}

    def misjudged(self, c: Customer, peer: int) -> float:
        known = c.sent.get(peer, Use())
        wrong = abs(c.own.demand - known.demand) / max(c.plan.refill, c.own.demand if self.sparse else 0.0)
        return wrong + abs(c.own.spent - known.spent) / c.plan.depth

    def pack(self, peer: int, entries: list[tuple[float, int, Use]]) -> bytes:
        entries.sort(key=lambda entry: entry[:2], reverse=True)
        self.fresh.update({id: self.customers[id] for _, id, _ in entries[NEWS_ROOM:]})
        news = []
        for _, id, use in entries[:NEWS_ROOM]:
            c = self.customers[id]
            if not self.sparse:
                c.sent[peer] = Use(use.demand, use.spent)
            shown = (use.demand / c.plan.refill, use.spent / c.plan.depth)
            news.append(News(id, self.plans.index(c.plan), c.size, c.first, *shown))
        return write_news(news)

    def hear(self, now: float, peer: int, life: int, data: bytes) -> list[int]:
        """Takes news; the customers that are in this one's keeping."""
        booked = []
        if self.lives.setdefault(peer, life) != life:  # a new life knows nothing: all anew
            self.lives[peer] = life
            self.fresh.update({id: c for id, c in self.customers.items() if c.sent.pop(peer, None)})
        for n in read_news(data):
            if n.plan < len(self.plans) and 0 < n.size <= self.s.fleet_size:
                plan = self.plans[n.plan]
                told = Use(n.demand * plan.refill, n.spent * plan.depth)
                c = self.customer(now, n.customer, plan, n.size, n.first)
                if peer == c.keeper:  # sums, the own use among them
                    told = Use(max(0.0, told.demand - c.own.demand), max(0.0, told.spent - c.own.spent))
                    c.told, c.heard = {life: told}, now
                elif c.keeper == self.s.me:  # booked as if it had come through here
                    c.own.demand += told.demand
                    c.own.spent += min(told.spent, max(0.0, c.left()))
                    self.fresh[n.customer] = c
                    booked.append(n.customer)
                elif not self.sparse:  # lives whose use is refilled are let go of
                    c.told = {k: u for k, u in c.told.items() if u.spent or u.demand > 0.01} | {life: told}
        return booked


class Fleet:
    """The servers: list, symptoms, cold budget and the least expected wait."""

    SILENCE = 8.0  # if waits are exponential, a healthy server says nothing for so long once in e^8 times
    FORGET_S = 5.0  # symptoms fade by 1/e in this time, so that real traffic tests the server again
    SAMPLE = 0.1  # weight of one outcome; where outcomes are few each weighs thrice, and is kept for as long
    FEW = 4  # about so many gatekeepers may send to a cold server at once
    NEAR = 12  # servers that each of a sparse fleet keeps to, so that connections stay open

    def __init__(self, settings: i.Settings, rng: random.Random, sparse: bool = False) -> None:
        self.s, self.rng, self.nodes, self.serving = settings, rng, dict[int, Node](), list[Node]()
        # How little own attempts tell of a server's load: nothing is unseen by a few, nearly all by many. Who
        # goes by them all the same always finds a warm server that looks idle, and never tries a cold one.
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
                node.slow, node.errors = 1.0, 0.0
                self.started(node, entry.came_up, now)
            node.entry, node.listed = entry, entry.mode != i.Mode.DELETED
        for id in [id for id, n in self.nodes.items() if not n.listed and not n.pending]:
            del self.nodes[id]
        self.serving = [n for n in self.nodes.values() if n.listed and n.entry.mode == i.Mode.SERVING]
        # All know one order, and each keeps to an arc of it from its own part of the round on: each server is
        # near to as many as any other. Picked by chance, some are near to thrice as many as others.
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

    def symptoms(self, node: Node, now: float) -> tuple[float, float]:  # slowness, errors; faded
        fade = math.exp((node.judged - now) / self.forget_s)
        return 1.0 + (node.slow - 1.0) * fade, node.errors * fade

    def wait(self, node: Node, now: float) -> float:
        """Expected wait: attempts out over present rating, stretched by what the server's symptoms say."""
        slow, errors = self.symptoms(node, now)
        # Chance stands for what peers have out there: who has little out chooses in proportion to rating.
        # A cold one's part is dealt by its budget: dealt by chance once more it would be halved.
        warmth, chance = self.warmth(node, now), self.rng.expovariate(1.0)
        ahead = 0.0 if warmth < 1.0 and self.unseen else 1 + self.unseen * (chance - 1)
        wait = (len(node.pending) + ahead) / max(node.entry.rating * warmth, 1e-9)
        wait *= max(1.0, slow) / max(0.05, 1.0 - errors) ** 4
        if node.silent_since:
            wait *= 1000.0
        if node.entry.zone != self.s.zone:
            wait *= 1.0 + self.s.price_cross_zone * 10
        return wait

    def choose(self, now: float, among: list[Node], avoid: set[int]) -> Node | None:
        among = [n for n in among if n.entry.id in self.near] or among
        nodes = [n for n in among if self.may_take(n, now)]
        fresh = [n for n in nodes if n.entry.id not in avoid] or nodes
        return min(fresh, key=lambda n: (self.wait(n, now), self.rng.random()), default=None)

    def judge(self, node: Node, now: float, expected: float, o: i.Outcome) -> None:
        node.pending.pop((o.id, o.attempt), None)
        (node.slow, node.errors), node.judged = self.symptoms(node, now), now
        if o.code in (i.Code.OK, i.Code.INTERNAL, i.Code.RESOURCE_EXHAUSTED):
            self.answers(node, now)
        if o.code == i.Code.OK:
            node.slow += (min(10.0, o.took / max(expected, 1e-9)) - node.slow) * self.sample
            node.errors -= node.errors * self.sample
        elif o.code in FAULTS:
            node.errors += (FAULTS[o.code] - node.errors) * self.sample

    def answers(self, node: Node, now: float) -> None:
        """Back from silence: it may have restarted, so until a list says otherwise it counts as cold."""
        node.answered = now
        if node.silent_since:
            if now - node.silent_since > self.s.rules.tip_after:
                self.started(node, now, now)
            node.silent_since = 0.0

    def look(self, now: float, expected: float) -> list[Node]:
        """Servers that have just fallen silent; `expected` is the usual latency."""
        found = []
        for node in [n for n in self.nodes.values() if n.pending and not n.silent_since]:
            waits = (max(0.0, now - max(sent, node.answered)) for sent in node.pending.values())
            if sum(waits) > self.SILENCE * max(1.0, node.slow) * max(expected, 1e-3):
                node.silent_since = now
                found.append(node)
        return found


class Gatekeeper:
    """One gatekeeper: events in, actions out."""

    LOST = 8.0  # usual latencies after which an attempt is taken for lost: one in 3,000 if waits are even
    IDLE = 0.5  # a share of which less than this is out is idle
    EXTRA, UNRUN = 0.2, 0.25  # further attempts per first attempt; what one after a proven non-run counts

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.rng = settings, random.Random(seed)
        self.ceiling = Ceiling(settings.fleet_size)
        # Sparse: so many that beats to all would take more than a part of the intake of mail. News of all to
        # all cost more than they are worth from there on, long before they overrun it.
        self.mail, others = 0.8 * settings.mail_per_s, settings.fleet_size - 1
        self.sparse = settings.limits.peers and 0.0 < SPARSE * self.mail * BEAT_S < others
        self.shares = Shares(settings.fleet_size, self.rng.getrandbits(32), self.sparse)
        self.fleet = Fleet(settings, self.rng, self.sparse)
        self.quota = Quota(settings, self.rng, self.sparse)
        self.held: dict[int, Held] = {}
        self.flying: dict[tuple[int, int], Held] = {}  # attempts out, also after their request's end
        self.actions: list[i.Action] = []
        self.lost, self.spare = 0, 1.0
        self.tick_s = BEAT_S / HEARD if self.sparse else max(NEWS_S, others / max(self.mail, 1.0))
        self.ticked, self.beaten, self.post = 0.0, dict[int, float](), self.mail
        self.look_s = min((c.aim for c in settings.classes.values()), default=1.0) / LOOKS

    @property
    def out(self) -> int:
        return max(0, len(self.flying) - self.lost)

    def full(self) -> bool:
        return self.out >= min(self.shares.room(self.out), self.ceiling.limit)

    def usual(self) -> float:  # the latency of the slowest class; the shortest aim while none is known
        return max(self.ceiling.mean.values(), default=self.look_s * LOOKS)

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.actions = []
        if isinstance(event, i.ServerList):
            self.fleet.update(now, event)
            self.ceiling.rescale(self.fleet.rating, len(self.fleet.serving))
        if self.shares.began == -math.inf:
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
            case i.PeerMail():
                foreign = event.peer == self.s.me or not 0 <= event.peer < self.s.fleet_size
                if not foreign and self.sparse and event.data[:1] == NEWS:
                    self.tell_news(now, event.peer, self.quota.hear(now, event.peer, 0, event.data))
                elif not foreign and self.shares.hear(now, event.peer, event.data, self.ceiling.limit):
                    life = self.shares.peers[event.peer].beat.incarnation
                    self.quota.hear(now, event.peer, life, event.data)
            case i.ProbeResult(server, i.Code.OK) if server in self.fleet.nodes:
                self.fleet.answers(self.fleet.nodes[server], now)
            case i.StreamStarted() if event.id in self.held:
                held = self.held[event.id]
                held.streaming = True
                self.ceiling.observe(held.cls, event.took, self.shares.elsewhere + self.out)
                if node := self.fleet.nodes.get(event.server):
                    # However long the stream lasts, it is no evidence of silence.
                    self.fleet.answers(node, now)
                    node.pending[event.id, event.attempt] = math.inf
                self.cancel(held.r.id, held.out - {event.attempt})
            case i.Expired() if event.id in self.held:
                self.end(self.held[event.id])
        if self.sparse and self.quota.fresh and isinstance(event, i.Request):
            self.tell_news(now)
        return self.actions

    def begin(self, now: float) -> None:
        self.shares.began = self.quota.began = self.ticked = now
        self.shares.divide(now, self.ceiling.limit)
        self.actions += [i.SetTimer(self.tick_s * self.rng.random(), TICK), i.SetTimer(self.look_s, LOOK)]
        if self.s.ask_discovery:
            self.actions.append(i.Subscribe())

    def timer(self, now: float, label: int) -> None:
        if label == ASK:
            return self.actions.append(i.Subscribe())
        self.tick(now) if label == TICK else self.look(now, self.usual())
        self.actions.append(i.SetTimer(self.tick_s if label == TICK else self.look_s, label))

    def look(self, now: float, usual: float) -> None:
        # Attempts that never end hold no slot: a few would shut an idle fleet. In a jam `usual` grows too.
        self.lost = sum(now - h.attempts[n][1] > self.LOST * usual for (_, n), h in self.flying.items())
        # What waits at a server fallen silent gets a second copy where a repeat is harmless.
        for id in [id for node in self.fleet.look(now, usual) for id, _ in node.pending]:
            held = self.held.get(id)
            if held and self.s.limits.may_duplicate and len(held.out) == 1:
                self.again(now, held)
        for node in self.fleet.nodes.values() if self.s.limits.probing else ():
            if node.silent_since and node.listed and now - node.probed > 1.0:
                node.probed = now
                self.actions.append(i.Probe(node.entry.id))

    def tick(self, now: float) -> None:
        past, self.ticked = max(1e-3, now - self.ticked), now
        self.shares.settle(now, past, self.ceiling.limit)
        self.fleet.take_pace(now, self.shares.flow)
        self.quota.sweep(now)
        if not self.s.limits.peers or self.s.fleet_size < 2:
            return
        self.post = min(self.s.fleet_size, self.post + self.mail * past)
        beat = self.shares.beat(self.ceiling.limit, self.out)
        if self.sparse:  # to a peer picked by chance, apart from news: who has those is busier than the rest
            other = (self.s.me + self.rng.randrange(1, self.s.fleet_size)) % self.s.fleet_size
            self.actions.append(i.Tell(other, beat))
            return self.tell_news(now)
        news = self.quota.news(now, 0.0)
        for peer in [n for n in range(self.s.fleet_size) if n != self.s.me]:
            if peer in news or now + self.tick_s / 2 - self.beaten.get(peer, -math.inf) > BEAT_S:
                self.beaten[peer] = now
                self.actions.append(i.Tell(peer, beat + news.get(peer, b"")))

    def tell_news(self, now: float, asker: int = -1, asked: Sequence[int] = ()) -> None:
        news = self.quota.news(now, self.post, asker, asked)
        self.post -= len(news)
        self.actions += [i.Tell(peer, NEWS + news[peer]) for peer in sorted(news)]

    def arrive(self, now: float, r: i.Request) -> None:
        # Nothing is known of a class that the settings don't name: it is held to the strictest rule.
        left = r.not_after - now
        cls = self.s.classes.get(r.cls) or i.RequestClass(r.cls, left, left, i.Effect.SIDE_EFFECT)
        held = self.held[r.id] = Held(r, cls)
        plan = self.s.plans.get(r.plan, i.Plan(r.plan))
        if not self.quota.admits(now, r, plan, self.out < self.IDLE * self.shares.share):
            return self.refuse(held, r.units / plan.refill if plan.refill else BEAT_S, "quota")
        self.shares.wanted += 1
        if self.full():
            return self.refuse(held, self.usual(), "ceiling")
        if (node := self.fleet.choose(now, self.fleet.serving, set())) is None:
            return self.refuse(held, self.usual(), "workers")
        self.shares.passed += 1
        self.quota.draw(r)
        self.spare = min(10.0 + self.out / 2, self.spare + self.EXTRA)
        self.send(now, held, node)

    def send(self, now: float, held: Held, node: Node) -> None:
        key = (held.r.id, len(held.attempts))
        held.out.add(key[1])
        held.attempts.append((node, now))
        self.flying[key] = held
        if customer := self.quota.customers.get(held.r.customer):
            customer.open += 1
        node.pending[key] = now
        node.tokens -= 1.0
        self.actions.append(i.Send(held.r.id, node.entry.id))

    def ended(self, now: float, o: i.Outcome) -> None:
        if (held := self.flying.pop((o.id, o.attempt), None)) is None:
            return
        held.out.discard(o.attempt)
        if node := self.fleet.nodes.get(o.server):
            self.fleet.judge(node, now, self.ceiling.mean.get(held.cls.name, o.took), o)
        # Cancelled as its copy came first, it would have taken longer still. Left out, the usual latency
        # falls, more attempts look silent and get copies, whose cancels make it fall: a fleet stayed so.
        late = o.code == i.Code.CANCELLED and o.took > self.ceiling.mean.get(held.cls.name, math.inf)
        if (o.code == i.Code.OK or late) and not held.streaming:
            self.ceiling.observe(held.cls, o.took, self.shares.elsewhere + self.out + 1)
        if customer := self.quota.customers.get(held.r.customer):
            customer.open = max(0, customer.open - 1)
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
        node = self.fleet.choose(now, self.allowed(now, held), {n.entry.id for n, _ in held.attempts})
        if node:
            self.spare -= price
            self.send(now, held, node)
        return node is not None

    def give_up(self, now: float, held: Held) -> None:
        everywhere = (held.cls.effect, held.cls.group) == (i.Effect.TOKEN, i.Group.ALL)
        harmless = everywhere or held.cls.effect == i.Effect.PURE or not held.ran
        if harmless and now < held.r.not_after:
            return self.refuse(held, BEAT_S, "tries")
        self.actions.append(i.Fail(held.r.id))
        self.end(held)

    def refuse(self, held: Held, after: float, why: str) -> None:
        advice = min(after, self.s.limits.max_retry_after) if self.s.limits.retry_after else 0.0
        self.actions.append(i.Refuse(held.r.id, advice, why))
        self.end(held)

    def end(self, held: Held) -> None:
        # Its final answer is given; what is still out of it is cancelled where that is allowed.
        del self.held[held.r.id]
        self.cancel(held.r.id, held.out)

    def cancel(self, id: int, attempts: set[int]) -> None:
        if self.s.limits.cancel:
            self.actions += [i.Cancel(id, n) for n in sorted(attempts)]
