"""Follows the list of workers: one watch after the other, the whole list where an answer does not follow."""

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
WAIT_MS = 2000  # of one watch. What discovery has to tell counts as told 2 s after a wait, so waits are short
MARGIN_S = 1.0  # how long after its wait an answer may still come
# The first pause after a failure, and the longest. Who knows a list can wait, and has to where all ask one
# service: forty that asked an overbooked one again within two seconds kept it so, and no call went through.
# But what a broken watch misses counts as told 6 s after it fell silent, and what an outage kept back 6 s
# after its end. So a watch that nothing answered is opened anew at once, for once, calls after that wait for
# nothing, and pauses stay short enough for the next one to come in time.
BACKOFF_S, BACKOFF_NEW_S, BROKE_S = (2.0, 8.0), (0.05, 2.0), (0.2, 5.0)
# Where lists are pushed the address is an agent's on this machine: it answers at once, at no cost, and what
# it has counts as told whether or not a watch is open, from the first moment after an outage too. So a watch
# that an outage has broken must be found broken, and the agent asked anew, well within the time in which
# sending to a worker has to stop: a watch waits for so small a part of that, and as long for its answer. No
# less than these where that time is very short. After a failure the agent is asked without a wait.
AGENT_PART, AGENT_WAIT_S, AGENT_MARGIN_S = 4, 0.1, 0.2
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
    """Raises ValueError for what is not discovery's form."""
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
    """`told` gets each listing in order, `failed` a word for each failure."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        told: Callable[[Listing], None],
        failed: Callable[[str], None],
        within: float | None = None,
    ) -> None:
        """`within`: where lists are pushed, how soon what the agent has must be acted on."""
        self.loop, self.address, self.told, self.failed = loop, address, told, failed
        self.renew(within)
        # Its few descriptors are its own: without the list of workers nothing can be decided for long.
        # One call follows the other at once on one connection, as the protocol wants it.
        own = Descriptors(0, taken=0)
        self.pool = Pool(loop, own, MARGIN_S, 2 * WAIT_MS / 1000, MAX_LIST, rests=False)
        self.version: int | None = None  # None: the whole list is due
        self.failures, self.known = 0, False  # known: some list was had, or given at the start
        self.broken = False  # nothing answered the last watch, nor a call since then
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def renew(self, within: float | None) -> None:
        """From the next call on."""
        self.pushed = within is not None
        self.wait_ms, self.margin_s = WAIT_MS, MARGIN_S
        if within is not None:
            part = within / AGENT_PART
            self.wait_ms = min(WAIT_MS, round(1000 * max(AGENT_WAIT_S, part)))
            self.margin_s = min(MARGIN_S, max(AGENT_MARGIN_S, part))

    def start(self, version: int | None) -> None:
        """Follows from that version on."""
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
            # Turned away or silent: what is known still is, and the watch goes on from there. A call for the
            # whole list costs discovery more, and all gatekeepers would ask an overbooked one for it at once.
            if response is None:
                return self.broke(ending.value)
            return self.retry(f"{ending.value}, status {response.status}")
        try:
            listing = read_listing(orjson.loads(response.body))
        except ValueError as error:  # orjson's errors are such too
            return self.start_over(str(error))
        # A watch is answered with what is newer. An older whole list would bring back workers that have left.
        if listing.version < self.version if self.version is not None else not listing.whole:
            return self.start_over("a list that does not follow what is known")
        self.version, self.failures, self.known, self.broken = listing.version, 0, True, False
        self.told(listing)
        # The next call comes at once, but not on the stack of this one.
        self.loop.call_soon(self.call)

    def start_over(self, why: str) -> None:
        """A gap, or an answer that cannot be read: what was missed is unknown, so the whole list is due."""
        self.version = None
        self.retry(why)

    def broke(self, why: str) -> None:
        """Nothing came: of a watch, the first time, that is no sign of an overbooked discovery."""
        first, self.broken = not self.broken and self.version is not None, True
        if self.pushed or not first:
            return self.retry(why)
        self.call_again(BROKE_S[0], why)

    def retry(self, why: str) -> None:
        first, longest = BACKOFF_AGENT_S if self.pushed else BACKOFF_S if self.known else BACKOFF_NEW_S
        longest = min(longest, BROKE_S[1]) if self.broken else longest
        pause = min(longest, first * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.call_again(pause, why)

    def call_again(self, pause: float, why: str) -> None:
        self.loop.call_later(pause * random.uniform(0.5, 1.0), self.call)
        self.failed(why)

    def close(self) -> None:
        self.closed = True
        if self.exchange:
            self.exchange.give_up(Ending.LEFT)
        self.pool.close()
