"""Queues events for one loop iteration (a turn), passes them to the policy and executes its actions."""

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
from pewterring.standalone.policy import interface
from pewterring.standalone.proxy.calls import (
    Attempt,
    AttemptEnded,
    Call,
    ClientDisconnected,
    DeadlineReached,
    DeadlineUnanswered,
    Item,
    RequestArrived,
)
from pewterring.standalone.proxy.directory import Directory
from pewterring.standalone.proxy.intake import for_worker, read_request
from pewterring.standalone.settings import Transport

T = TypeVar("T")
R = TypeVar("R")
HEALTH_PATH = b"/healthz"
CONFLICT, TOO_MANY_REQUESTS, BAD_GATEWAY, GATEWAY_TIMEOUT = 409, 429, 502, 504


class Policy(Protocol):
    """The policy: takes an event and returns the actions that the gateway executes."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]: ...


class Gateway:
    """Owns requests and timers. Each request ends exactly once, whatever the policy, peers or workers do."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: interface.Settings,
        transport: Transport,
        policy: Policy,
        pool: Pool,
        log: Log,
    ) -> None:
        self.loop, self.policy, self.pool, self.log = loop, policy, pool, log
        self.calls: dict[int, Call] = {}
        self.patience = 0.0
        self.renew(settings, transport)
        self.directory = Directory(loop.time)
        self.peers: Peers | None = None
        self.by_client: dict[Client, Call] = {}
        self.ids = itertools.count(1)
        # Recently used X-Request-Id values, in two generations that each cover the longest deadline. A
        # repeated id belongs to a request in flight or just answered, which must not reach the workers twice.
        self.recent: tuple[set[bytes], set[bytes]] = (set(), set())
        self.generations_rotated_at = loop.time()
        self.inbox: list[Item] = []
        self.ended_calls: list[Call] = []  # calls that may be removed at the end of this turn
        self.turn_scheduled = False
        self.delays: dict[int, float] = {}  # seconds, of the timers that the policy set, by label
        self.stopping = False
        self.ends_at = math.inf  # during shutdown: when all requests must be answered
        self.asked_at = loop.time()
        self.discovery_failure = ""  # reason why the last discovery call failed; empty if it succeeded
        self.taken = self.served = self.refused = self.failed = self.left = self.faults = self.unusable = 0

    def renew(self, settings: interface.Settings, transport: Transport) -> None:
        """Applies new settings. Requests in flight may have been accepted under longer deadlines."""
        self.settings = settings
        # Bounded by the settings and by the file descriptors: each call needs one on both sides.
        self.max_open = min(transport.max_open, self.pool.descriptors.calls)
        longest = max((c.deadline for c in settings.classes.values()), default=transport.connect_timeout)
        self.patience = longest if not self.calls else max(self.patience, longest)

    # Input, queued for the next turn

    def gather(self, item: Item) -> None:
        self.inbox.append(item)
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.turn)

    def requested(self, client: Client, request: Request) -> None:
        if request.target == HEALTH_PATH:
            status = 200 if self.ready else 503
            return client.answer(status, [], b"", request.method == b"HEAD")
        try:
            now = self.asked_at = self.loop.time()
            policy_request, client_request_id = read_request(
                request, self.settings, now, next(self.ids), self.ends_at
            )
        except Malformed as fault:
            self.unusable += 1
            return client.turn_away(fault.status, f"{fault}\n")
        if self.is_known(client_request_id):
            self.unusable += 1
            return client.turn_away(CONFLICT, "X-Request-Id is another request's\n")
        self.taken += 1
        if len(self.by_client) >= self.max_open:
            self.refused += 1
            return client.answer(TOO_MANY_REQUESTS, [], b"")
        call = Call(policy_request, request, client, self.settings.classes[policy_request.cls])
        self.calls[policy_request.id] = self.by_client[client] = call
        call.timer = self.loop.call_at(policy_request.deadline, self.gather, DeadlineReached(call))
        self.gather(RequestArrived(call))

    def is_known(self, client_request_id: bytes) -> bool:
        """Returns whether the id was used recently; if it was not, records it."""
        if (now := self.loop.time()) - self.generations_rotated_at > self.patience:
            self.recent, self.generations_rotated_at = (set(), self.recent[0]), now
        current, previous = self.recent
        if client_request_id in current or client_request_id in previous:
            return True
        current.add(client_request_id)
        return False

    def gone(self, client: Client) -> None:
        if call := self.by_client.pop(client, None):
            self.gather(ClientDisconnected(call))

    def listed(self, listing: Listing) -> None:
        if self.discovery_failure:
            self.discovery_failure = ""
            self.log("discovery_back", version=listing.version)
        form = interface.ListForm.WHOLE if listing.whole else interface.ListForm.CHANGES
        self.gather(self.directory.take(listing, form))
        self.pool.retain(self.directory.wanted())
        # Connections to a machine that failed and restarted show no error until they are used.
        for target, started in self.directory.restarted.items():
            self.pool.drop_idle(target, made_before=started)
        self.directory.restarted.clear()

    def remembered(self, listing: Listing) -> None:
        """Passes the last known, possibly stale list to the policy as its first event."""
        self.gather(self.directory.take(listing, interface.ListForm.REMEMBERED))
        self.pool.retain(self.directory.wanted())

    def discovery_failed(self, reason: str) -> None:
        if reason != self.discovery_failure:  # logged once per reason, not for every call
            self.log("discovery_failed", why=reason)
        self.discovery_failure = reason
        if self.settings.ask_discovery:
            self.gather(interface.ServerList(interface.ListForm.FAILED))

    def heard(self, peer: int, data: bytes) -> None:
        self.gather(interface.PeerMessage(peer, data))

    @property
    def ready(self) -> bool:
        """Whether requests can be served: some worker is serving and shutdown has not begun."""
        return bool(self.directory.serving) and not self.stopping

    # The turn

    def turn(self) -> None:
        now = self.loop.time()
        items, self.inbox, self.turn_scheduled = self.inbox, [], False
        actions: list[interface.Action] = []
        for item in items:
            if (event := self.run_step(self.event, now, item)) is not None:
                actions += self.decide(now, event)
        for action in actions:
            self.run_step(self.carry_out, now, action)
        ended_calls, self.ended_calls = self.ended_calls, []
        for call in ended_calls:
            self.forget(call)

    def run_step(self, step: Callable[[float, T], R], now: float, argument: T) -> R | None:
        """Runs one step of a turn and logs an exception, so that the steps of other requests still run."""
        try:
            return step(now, argument)
        except Exception as error:
            self.fault(repr(error), traceback.format_exc(limit=-4))
            return None

    def event(self, now: float, item: Item) -> interface.Event | None:
        """Converts a queued item to a policy event; None if the policy does not need to see it."""
        match item:
            case RequestArrived(call):
                return None if call.finished else call.request
            case AttemptEnded(attempt, ending, response):
                return self.outcome(now, attempt, ending, response)
            case ClientDisconnected(call):
                if call.finished:
                    return None
                self.left += 1
                self.finish(call)
                return interface.Expired(call.request.id)
            case DeadlineReached(call):
                for attempt in call.attempts:
                    if attempt.exchange:
                        attempt.exchange.give_up(Ending.TIMED_OUT)
                # The policy gets these outcomes in the next turn and should answer; if it does not, the
                # call is failed in the turn after that.
                if not call.finished:
                    self.loop.call_soon(self.loop.call_soon, self.gather, DeadlineUnanswered(call))
                return None
            case DeadlineUnanswered(call):
                if call.finished:
                    return None
                self.fault("a request without an answer at its deadline")
                self.fail(call, now)
                return interface.Expired(call.request.id)
        return item

    def outcome(
        self, now: float, attempt: Attempt, ending: Ending, response: Response | None
    ) -> interface.Outcome | None:
        call, code = attempt.call, CODES[ending]
        if code is None:
            return None
        if code is interface.Code.OK and response is not None and not call.finished:
            self.served += 1
            self.answer(call, 200, end_to_end(response.headers), response.body)
        call.in_flight -= 1
        # Removed only at the end of the turn: the policy may have sent another attempt earlier in this turn,
        # and it must get an outcome for each attempt.
        self.ended_calls.append(call)
        took = now - attempt.sent_at
        return interface.Outcome(
            call.request.id, attempt.number, attempt.server, code, took, no_more=call.finished
        )

    def decide(self, now: float, event: interface.Event) -> list[interface.Action]:
        try:
            return list(self.policy.handle(now, event))
        except Exception as error:  # affects only the request or timer of this event
            self.fault(repr(error), traceback.format_exc(limit=-4))
            return self.after_fault(event)

    def fault(self, description: str, trace: str = "") -> None:
        self.faults += 1
        self.log("module_fault", what=description, trace=trace)

    def after_fault(self, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.TimerDue) and event.label in self.delays:
            return [
                interface.SetTimer(self.delays[event.label], event.label)
            ]  # otherwise the periodic timer would stop for good
        call = self.calls.get(event.id) if isinstance(event, interface.Request | interface.Outcome) else None
        if call is None or call.finished or call.in_flight:
            return []
        return [interface.Fail(call.request.id)] if call.attempts else [interface.Refuse(call.request.id)]

    # Actions of the policy

    def carry_out(self, now: float, action: interface.Action) -> None:
        match action:
            case interface.Send(id, server, timeout):
                self.send(now, id, server, timeout)
            case interface.Cancel(id, number):
                call = self.calls.get(id)
                if call and number < len(call.attempts) and (exchange := call.attempts[number].exchange):
                    exchange.give_up(Ending.CANCELLED)
            case interface.Refuse(id, after):
                if (call := self.calls.get(id)) and not call.finished:
                    self.refused += 1
                    advice = [(b"retry-after", b"%.3f" % after)] if after > 0 else []
                    self.answer(call, TOO_MANY_REQUESTS, advice, b"")
            case interface.Fail(id):
                if (call := self.calls.get(id)) and not call.finished:
                    self.fail(call, now)
            case interface.SetTimer(delay, label):
                self.delays[label] = delay
                self.loop.call_later(delay, self.gather, interface.TimerDue(label))
            case interface.Probe(server):
                self.probe(now, server)
            case interface.Tell(peer, data):
                if self.peers:
                    self.peers.tell(peer, data)
            case interface.Log(text):
                self.log("module", text=text)
            case interface.Subscribe():
                pass  # discovery is followed from the start, whether or not the policy subscribes

    def send(self, now: float, id: int, server: int, timeout: float) -> None:
        call = self.calls.get(id)
        if call is None:
            return self.fault("an attempt for a request that is over")
        attempt = Attempt(call, len(call.attempts), server, now)
        call.attempts.append(attempt)
        call.in_flight += 1

        def done(ending: Ending, response: Response | None) -> None:
            attempt.exchange, attempt.ended = None, True
            attempt.never_ran = CODES[ending] in interface.NEVER_RAN
            if attempt.timer:
                attempt.timer.cancel()
            self.gather(AttemptEnded(attempt, ending, response))

        target = self.directory.targets.get(server)
        remaining_s = call.request.deadline - now
        if call.finished or remaining_s <= 0 or len(call.attempts) > self.settings.limits.max_attempts:
            return done(Ending.TOO_LATE, None)
        if target is None:
            return done(Ending.UNKNOWN, None)
        if 0 < timeout < remaining_s:
            remaining_s = timeout
        try:
            data = for_worker(call.http, remaining_s)
            head, within = call.http.method == b"HEAD", self.start_within(call, now)
            exchange = self.pool.start(target, data, done, head, within=within)
        except Exception:
            if not attempt.ended:  # the policy must get an outcome for every attempt
                done(Ending.TOO_LATE, None)
            raise
        if exchange.ending is None:
            attempt.exchange = exchange
            if timeout > 0:
                attempt.timer = self.loop.call_later(timeout, exchange.give_up, Ending.TIMED_OUT)

    def start_within(self, call: Call, now: float) -> float:
        """Seconds within which the newest attempt must start. Workers recognise a repeated request only for
        the repeat window; an attempt whose connection opens later would execute the request a second time."""
        if call.cls.effect is not interface.Effect.TOKEN:
            return math.inf
        first = next((a.sent_at for a in call.attempts[:-1] if not a.never_ran), math.inf)
        return max(0.0, first + call.cls.repeat_window - now)

    def probe(self, now: float, server: int) -> None:
        """Sends a health check to a worker on a new connection: an idle one may be dead without an error."""
        timer: asyncio.TimerHandle | None = None

        def done(ending: Ending, response: Response | None) -> None:
            if timer:
                timer.cancel()
            if (code := CODES[ending]) is not None:
                self.gather(interface.ProbeResult(server, code, self.loop.time() - now))

        target = self.directory.targets.get(server)
        if target is None:
            return done(Ending.UNKNOWN, None)
        request = write_request(b"GET", HEALTH_PATH, [(b"host", str(target.address).encode())])
        exchange = self.pool.start(target, request, done, fresh=True)
        if exchange.ending is None:
            timer = self.loop.call_later(self.patience, exchange.give_up, Ending.TIMED_OUT)

    # Ends of requests

    def answer(self, call: Call, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.finish(call)
        call.client.answer(status, headers, body, call.http.method == b"HEAD")

    def fail(self, call: Call, now: float) -> None:
        self.failed += 1
        self.answer(call, GATEWAY_TIMEOUT if now >= call.request.deadline else BAD_GATEWAY, [], b"")

    def finish(self, call: Call) -> None:
        call.finished = True
        self.by_client.pop(call.client, None)
        self.ended_calls.append(call)
        for attempt in call.attempts:
            if attempt.exchange:
                attempt.exchange.withdraw()

    def forget(self, call: Call) -> None:
        """Removes a call that is finished and has no attempt in flight."""
        if call.finished and not call.in_flight:
            self.calls.pop(call.request.id, None)
            if call.timer:
                call.timer.cancel()
