"""The turn: what is ready is gathered, handed to the module in one go, then its actions are carried out."""

import asyncio
import itertools
import math
import traceback
from collections.abc import Callable
from typing import Protocol, TypeVar

from pewterring.standalone.http.messages import Malformed, Request, Response, end_to_end
from pewterring.standalone.http.writer import write_request
from pewterring.standalone.log import Log
from pewterring.standalone.network.clients import Client
from pewterring.standalone.network.discovery import Listing
from pewterring.standalone.network.ending import CODES, Ending
from pewterring.standalone.network.peers import Peers
from pewterring.standalone.network.workers import Pool
from pewterring.standalone.policy import interface as i
from pewterring.standalone.proxy.calls import Arrived, Attempt, Call, Ended, Gone, Item, Overdue, Unanswered
from pewterring.standalone.proxy.directory import Directory
from pewterring.standalone.proxy.intake import for_worker, read_request
from pewterring.standalone.settings import Transport

T = TypeVar("T")
R = TypeVar("R")
HEALTH = b"/healthz"
CONFLICT, REFUSED, FAILED, OVERDUE = 409, 429, 502, 504


class Module(Protocol):
    """Who decides."""

    def handle(self, now: float, event: i.Event) -> list[i.Action]: ...


class Gateway:
    """Owns the requests and the timers. Every request ends once, whatever module, peers or workers do."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: i.Settings,
        transport: Transport,
        module: Module,
        pool: Pool,
        log: Log,
    ) -> None:
        self.loop, self.module, self.pool, self.log = loop, module, pool, log
        self.calls: dict[int, Call] = {}
        self.patience = 0.0
        self.renew(settings, transport)
        self.directory = Directory(loop.time)
        self.peers: Peers | None = None
        self.by_client: dict[Client, Call] = {}
        self.ids = itertools.count(1)
        # The ids that clients gave lately, in two generations of the longest deadline each: one that comes
        # again is another's, held or just answered, and would reach the workers a second time.
        self.recent: tuple[set[bytes], set[bytes]] = (set(), set())
        self.turned_over = loop.time()
        self.inbox: list[Item] = []
        self.over: list[Call] = []  # perhaps done with at the end of this turn
        self.turning = False
        self.delays: dict[int, float] = {}  # of the module's timers, by label
        self.stopping = False
        self.ends_at = math.inf  # when all must be answered, as a kill may follow
        self.asked_at = loop.time()
        self.discovery_why = ""  # why the last call for the list failed; empty: it did not
        self.taken = self.served = self.refused = self.failed = self.left = self.faults = self.unusable = 0

    def renew(self, settings: i.Settings, transport: Transport) -> None:
        """By these settings from now on. What is held may have been taken under longer deadlines."""
        self.settings = settings
        # As many as the settings allow, and as have a descriptor on both sides.
        self.max_open = min(transport.max_open, self.pool.descriptors.calls)
        longest = max((c.deadline for c in settings.classes.values()), default=transport.connect_timeout)
        self.patience = longest if not self.calls else max(self.patience, longest)

    # What comes in: gathered for the next turn

    def gather(self, item: Item) -> None:
        self.inbox.append(item)
        if not self.turning:
            self.turning = True
            self.loop.call_soon(self.turn)

    def requested(self, client: Client, request: Request) -> None:
        if request.target == HEALTH:
            status = 200 if self.ready else 503
            return client.answer(status, [], b"", request.method == b"HEAD")
        try:
            now = self.asked_at = self.loop.time()
            asked, their_id = read_request(request, self.settings, now, next(self.ids), self.ends_at)
        except Malformed as fault:
            self.unusable += 1
            return client.turn_away(fault.status, f"{fault}\n")
        if self.is_known(their_id):
            self.unusable += 1
            return client.turn_away(CONFLICT, "X-Request-Id is another request's\n")
        self.taken += 1
        if len(self.by_client) >= self.max_open:
            self.refused += 1
            return client.answer(REFUSED, [], b"")
        call = Call(asked, request, client, self.settings.classes[asked.cls])
        self.calls[asked.id] = self.by_client[client] = call
        call.timer = self.loop.call_at(asked.deadline, self.gather, Overdue(call))
        self.gather(Arrived(call))

    def is_known(self, their_id: bytes) -> bool:
        """Whether the id was used lately; if not, it counts as used from now on."""
        if (now := self.loop.time()) - self.turned_over > self.patience:
            self.recent, self.turned_over = (set(), self.recent[0]), now
        young, old = self.recent
        if their_id in young or their_id in old:
            return True
        young.add(their_id)
        return False

    def gone(self, client: Client) -> None:
        if call := self.by_client.pop(client, None):
            self.gather(Gone(call))

    def listed(self, listing: Listing) -> None:
        if self.discovery_why:
            self.discovery_why = ""
            self.log("discovery_back", version=listing.version)
        form = i.ListForm.WHOLE if listing.whole else i.ListForm.CHANGES
        self.gather(self.directory.take(listing, form))
        self.pool.retain(self.directory.wanted())
        # A machine that vanished and came back says nothing on its old connections until they are used.
        for target, started in self.directory.restarted.items():
            self.pool.drop_idle(target, made_before=started)
        self.directory.restarted.clear()

    def remembered(self, listing: Listing) -> None:
        """The list as it was last known, possibly old: the first thing the module hears."""
        self.gather(self.directory.take(listing, i.ListForm.REMEMBERED))
        self.pool.retain(self.directory.wanted())

    def discovery_failed(self, why: str) -> None:
        if why != self.discovery_why:  # said once, not at each call
            self.log("discovery_failed", why=why)
        self.discovery_why = why
        if self.settings.ask_discovery:
            self.gather(i.ServerList(i.ListForm.FAILED))

    def heard(self, peer: int, data: bytes) -> None:
        self.gather(i.PeerMessage(peer, data))

    @property
    def ready(self) -> bool:
        """Whether requests can be decided here: some worker is known, and no stop has begun."""
        return bool(self.directory.serving) and not self.stopping

    # The turn

    def turn(self) -> None:
        now = self.loop.time()
        items, self.inbox, self.turning = self.inbox, [], False
        actions: list[i.Action] = []
        for item in items:
            if (event := self.guarded(self.event, now, item)) is not None:
                actions += self.decide(now, event)
        for action in actions:
            self.guarded(self.carry_out, now, action)
        over, self.over = self.over, []
        for call in over:
            self.forget(call)

    def guarded(self, step: Callable[[float, T], R], now: float, what: T) -> R | None:
        """One step of a turn; should it fail, the other requests of the turn must not go without theirs."""
        try:
            return step(now, what)
        except Exception as error:
            self.fault(repr(error), traceback.format_exc(limit=-4))
            return None

    def event(self, now: float, item: Item) -> i.Event | None:
        """What the module is told; None where it is nothing to it."""
        match item:
            case Arrived(call):
                return None if call.finished else call.request
            case Ended(attempt, ending, response):
                return self.outcome(now, attempt, ending, response)
            case Gone(call):
                if call.finished:
                    return None
                self.left += 1
                self.finish(call)
                return i.Expired(call.request.id)
            case Overdue(call):
                for attempt in call.attempts:
                    if attempt.exchange:
                        attempt.exchange.give_up(Ending.TIMED_OUT)
                # The module hears of these ends in the next turn and answers. If not, the turn after does.
                if not call.finished:
                    self.loop.call_soon(self.loop.call_soon, self.gather, Unanswered(call))
                return None
            case Unanswered(call):
                if call.finished:
                    return None
                self.fault("a request without an answer at its deadline")
                self.fail(call, now)
                return i.Expired(call.request.id)
        return item

    def outcome(
        self, now: float, attempt: Attempt, ending: Ending, response: Response | None
    ) -> i.Outcome | None:
        call, code = attempt.call, CODES[ending]
        if code is None:
            return None
        if code is i.Code.OK and response is not None and not call.finished:
            self.served += 1
            self.answer(call, 200, end_to_end(response.headers), response.body)
        call.out -= 1
        # Let go of at the turn's end only: the module may have sent it again earlier in this turn, and each
        # attempt that it knows of is owed an outcome.
        self.over.append(call)
        took = now - attempt.sent_at
        return i.Outcome(call.request.id, attempt.number, attempt.server, code, took, no_more=call.finished)

    def decide(self, now: float, event: i.Event) -> list[i.Action]:
        try:
            return list(self.module.handle(now, event))
        except Exception as error:  # a fault of the module must cost no more than what it was about
            self.fault(repr(error), traceback.format_exc(limit=-4))
            return self.after_fault(event)

    def fault(self, what: str, trace: str = "") -> None:
        self.faults += 1
        self.log("module_fault", what=what, trace=trace)

    def after_fault(self, event: i.Event) -> list[i.Action]:
        if isinstance(event, i.TimerDue) and event.label in self.delays:
            return [i.SetTimer(self.delays[event.label], event.label)]  # or it would never tick again
        call = self.calls.get(event.id) if isinstance(event, i.Request | i.Outcome) else None
        if call is None or call.finished or call.out:
            return []
        return [i.Fail(call.request.id)] if call.attempts else [i.Refuse(call.request.id)]

    # What the module wants done

    def carry_out(self, now: float, action: i.Action) -> None:
        match action:
            case i.Send(id, server, timeout):
                self.send(now, id, server, timeout)
            case i.Cancel(id, number):
                call = self.calls.get(id)
                if call and number < len(call.attempts) and (exchange := call.attempts[number].exchange):
                    exchange.give_up(Ending.CANCELLED)
            case i.Refuse(id, after):
                if (call := self.calls.get(id)) and not call.finished:
                    self.refused += 1
                    advice = [(b"retry-after", b"%.3f" % after)] if after > 0 else []
                    self.answer(call, REFUSED, advice, b"")
            case i.Fail(id):
                if (call := self.calls.get(id)) and not call.finished:
                    self.fail(call, now)
            case i.SetTimer(delay, label):
                self.delays[label] = delay
                self.loop.call_later(delay, self.gather, i.TimerDue(label))
            case i.Probe(server):
                self.probe(now, server)
            case i.Tell(peer, data):
                if self.peers:
                    self.peers.tell(peer, data)
            case i.Log(text):
                self.log("module", text=text)
            case i.Subscribe():
                pass  # the list is followed from the start, asked for or not

    def send(self, now: float, id: int, server: int, timeout: float) -> None:
        call = self.calls.get(id)
        if call is None:
            return self.fault("an attempt for a request that is over")
        attempt = Attempt(call, len(call.attempts), server, now)
        call.attempts.append(attempt)
        call.out += 1

        def done(ending: Ending, response: Response | None) -> None:
            attempt.exchange, attempt.ended = None, True
            attempt.unrun = CODES[ending] in i.NEVER_RAN
            if attempt.timer:
                attempt.timer.cancel()
            self.gather(Ended(attempt, ending, response))

        target = self.directory.targets.get(server)
        left = call.request.deadline - now
        if call.finished or left <= 0 or len(call.attempts) > self.settings.limits.max_attempts:
            return done(Ending.TOO_LATE, None)
        if target is None:
            return done(Ending.UNKNOWN, None)
        if 0 < timeout < left:
            left = timeout
        try:
            data = for_worker(call.http, left)
            head, within = call.http.method == b"HEAD", self.repeat_within(call, now)
            exchange = self.pool.start(target, data, done, head, within=within)
        except Exception:
            if not attempt.ended:  # the module is owed an outcome for it all the same
                done(Ending.TOO_LATE, None)
            raise
        if exchange.ending is None:
            attempt.exchange = exchange
            if timeout > 0:
                attempt.timer = self.loop.call_later(timeout, exchange.give_up, Ending.TIMED_OUT)

    def repeat_within(self, call: Call, now: float) -> float:
        """How soon the attempt just made has to begin. The workers know a repeat again for a while only: one
        whose connection came up after that would run a second time."""
        if call.cls.effect is not i.Effect.TOKEN:
            return math.inf
        first = next((a.sent_at for a in call.attempts[:-1] if not a.unrun), math.inf)
        return max(0.0, first + call.cls.repeat_window - now)

    def probe(self, now: float, server: int) -> None:
        """Asks a worker for its health on a new connection: an idle one may be dead without a word."""
        timer: asyncio.TimerHandle | None = None

        def done(ending: Ending, response: Response | None) -> None:
            if timer:
                timer.cancel()
            if (code := CODES[ending]) is not None:
                self.gather(i.ProbeResult(server, code, self.loop.time() - now))

        target = self.directory.targets.get(server)
        if target is None:
            return done(Ending.UNKNOWN, None)
        request = write_request(b"GET", HEALTH, [(b"host", str(target.address).encode())])
        exchange = self.pool.start(target, request, done, fresh=True)
        if exchange.ending is None:
            timer = self.loop.call_later(self.patience, exchange.give_up, Ending.TIMED_OUT)

    # Ends of requests

    def answer(self, call: Call, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.finish(call)
        call.client.answer(status, headers, body, call.http.method == b"HEAD")

    def fail(self, call: Call, now: float) -> None:
        self.failed += 1
        self.answer(call, OVERDUE if now >= call.request.deadline else FAILED, [], b"")

    def finish(self, call: Call) -> None:
        call.finished = True
        self.by_client.pop(call.client, None)
        self.over.append(call)
        for attempt in call.attempts:
            if attempt.exchange:
                attempt.exchange.withdraw()

    def forget(self, call: Call) -> None:
        """Lets go of a request that is over, with all its attempts."""
        if call.finished and not call.out:
            self.calls.pop(call.request.id, None)
            if call.timer:
                call.timer.cancel()
