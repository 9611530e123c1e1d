"""Follows the list of workers by consecutive long polls, and fetches the complete list after a gap."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from pewterring.standalone.http.messages import Response
from pewterring.standalone.http.writer import write_request
from pewterring.standalone.network.connection import Address, read_address
from pewterring.standalone.network.descriptors import Descriptors
from pewterring.standalone.network.ending import Ending
from pewterring.standalone.network.workers import Exchange, Pool, Target

PATH = b"/v1/servers"
MAX_LIST = 8 * 1024 * 1024
WAIT_MS = 2000  # of one long poll; short, as an update counts as delivered 2 s after the end of a poll
MARGIN_S = 1.0  # for the response, after the end of the wait
# Each pair is the first and the longest backoff after a failure. A gateway that has a list can wait, and must
# where all gateways call one service: 40 gateways that retried within 2 s kept an overloaded service
# overloaded, and no call succeeded. But an update counts as delivered 6 s after the poll that missed it
# became unresponsive, and 6 s after the end of an outage that delayed it. So the first poll without a
# response is retried almost at once, later calls ask for an immediate response, and backoffs are short enough
# for the next call to be in time.
BACKOFF_S, BACKOFF_NO_LIST_S, BACKOFF_NO_RESPONSE_S = (2.0, 8.0), (0.05, 2.0), (0.2, 5.0)
# Where lists are pushed, the address is that of an agent on this machine. It responds at once at no cost, and
# an update counts as delivered as soon as the agent has it, even with no poll open and right after an outage.
# So a poll that an outage broke must be detected, and the agent called again, well within the time in which
# sending to a worker has to stop. The wait, and the margin for its response, are each that time divided by
# AGENT_DIVISOR, but at least the minimums here. After a failure the agent is called without a wait.
AGENT_DIVISOR, AGENT_WAIT_S, AGENT_MARGIN_S = 4, 0.1, 0.2
BACKOFF_AGENT_S = (0.1, 0.2)


@dataclass(frozen=True, slots=True)
class Entry:
    host: str
    address: Address
    zone: str
    cell: int
    health: str
    rating: float
    born_ms: float


@dataclass(frozen=True, slots=True)
class Listing:
    version: int
    whole: bool
    entries: tuple[Entry, ...]


def read_listing(tree: object) -> Listing:
    """Converts a decoded response. Raises ValueError if it does not have discovery's format."""
    try:
        if not isinstance(tree, dict) or not isinstance(tree["whole"], bool):
            raise ValueError("the list is not an object of its form")
        return Listing(int(tree["seq"]), tree["whole"], tuple(read_entry(e) for e in tree["hosts"]))
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"the list cannot be read: {error!r}") from error


def read_entry(tree: dict[str, object]) -> Entry:
    host, health = tree["host"], tree["health"]
    if not isinstance(host, str) or health not in ("up", "draining", "removed"):
        raise ValueError(f"an entry cannot be read: {tree!r}")
    return Entry(
        host=host,
        address=read_address(str(tree["dial"])),
        zone=str(tree.get("site", "")),
        cell=int(str(tree.get("block") or 0)),
        health=str(health),
        rating=float(str(tree.get("share", 1.0))),
        born_ms=float(str(tree.get("born_ms") or 0)),
    )


class Discovery:
    """Passes each listing in order to `on_listing` and a description of each failure to `on_failure`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        on_listing: Callable[[Listing], None],
        on_failure: Callable[[str], None],
        within: float | None = None,
    ) -> None:
        """`within`: where lists are pushed, seconds in which an update that the agent has must be applied;
        None where they are polled from the shared service.
        """
        self.loop, self.address, self.on_listing, self.on_failure = loop, address, on_listing, on_failure
        self.renew(within)
        # Discovery has a descriptor budget of its own: without the list of workers the gateway soon cannot
        # decide anything. Calls follow each other at once on one connection, as the protocol requires.
        descriptors = Descriptors(0, taken=0)
        self.pool = Pool(loop, descriptors, MARGIN_S, 2 * WAIT_MS / 1000, MAX_LIST, delay_reuse=False)
        self.version: int | None = None  # None: the complete list has to be fetched
        self.failures, self.known = 0, False  # known: a list was received, or given at the start
        self.broken = False  # the last poll got no response, nor did any call since then
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def renew(self, within: float | None) -> None:
        """Changes `within`, from the next call on."""
        self.pushed = within is not None
        self.wait_ms, self.margin_s = WAIT_MS, MARGIN_S
        if within is not None:
            fraction = within / AGENT_DIVISOR
            self.wait_ms = min(WAIT_MS, round(1000 * max(AGENT_WAIT_S, fraction)))
            self.margin_s = min(MARGIN_S, max(AGENT_MARGIN_S, fraction))

    def start(self, version: int | None) -> None:
        """Starts to follow the list from this version; None fetches the complete list first."""
        self.version, self.known = version, version is not None
        self.call()

    def call(self) -> None:
        if self.closed:
            return
        again = self.broken or (self.pushed and self.failures > 0)
        wait = 0 if again or self.version is None else self.wait_ms
        target = PATH + (b"?index=%d&wait=%d" % (self.version, wait) if self.version is not None else b"")
        request = write_request(b"GET", target, [(b"host", str(self.address).encode())])
        self.timer = self.loop.call_later(wait / 1000 + self.margin_s, self.overdue)
        self.exchange = self.pool.start(Target(0, self.address), request, self.ended)

    def overdue(self) -> None:
        if self.exchange:
            self.exchange.give_up(Ending.TIMED_OUT)

    def ended(self, ending: Ending, response: Response | None) -> None:
        if self.timer:
            self.timer.cancel()
        if self.closed:
            return
        if ending is not Ending.SERVED or response is None:
            # Rejected or without a response: polling continues from the known version. The complete list
            # costs discovery more, and all gateways would request it from an overloaded service at the same
            # time.
            if response is None:
                return self.no_response(ending.value)
            return self.retry(f"{ending.value}, status {response.status}")
        try:
            listing = read_listing(orjson.loads(response.body))
        except ValueError as error:  # orjson.JSONDecodeError is a ValueError
            return self.start_over(str(error))
        # A poll returns newer versions only. An older complete list would bring back workers that have left.
        if listing.version < self.version if self.version is not None else not listing.whole:
            return self.start_over("a list that does not follow what is known")
        self.version, self.failures, self.known, self.broken = listing.version, 0, True, False
        self.on_listing(listing)
        # The next call starts at once, but not from within this callback.
        self.loop.call_soon(self.call)

    def start_over(self, reason: str) -> None:
        """After a gap or a malformed response, which may have hidden changes: fetches the complete list."""
        self.version = None
        self.retry(reason)

    def no_response(self, reason: str) -> None:
        """Handles a call without a response. The first such poll is no sign that discovery is overloaded."""
        first, self.broken = not self.broken and self.version is not None, True
        if self.pushed or not first:
            return self.retry(reason)
        self.call_again(BACKOFF_NO_RESPONSE_S[0], reason)

    def retry(self, reason: str) -> None:
        first, longest = BACKOFF_AGENT_S if self.pushed else BACKOFF_S if self.known else BACKOFF_NO_LIST_S
        longest = min(longest, BACKOFF_NO_RESPONSE_S[1]) if self.broken else longest
        backoff = min(longest, first * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.call_again(backoff, reason)

    def call_again(self, backoff: float, reason: str) -> None:
        self.loop.call_later(backoff * random.uniform(0.5, 1.0), self.call)
        self.on_failure(reason)

    def close(self) -> None:
        self.closed = True
        if self.exchange:
            self.exchange.give_up(Ending.LEFT)
        self.pool.close()
