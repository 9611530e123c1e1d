"""The workers by name: the module knows them by numbers of our own, the pool by their addresses."""

import hashlib
import time
from collections.abc import Callable

from pewterring.standalone.network.discovery import Entry, Listing
from pewterring.standalone.network.workers import Target
from pewterring.standalone.policy import interface as i

MODES = {"up": i.Mode.SERVING, "draining": i.Mode.DRAINING, "removed": i.Mode.DELETED}


class Directory:
    def __init__(self, clock: Callable[[], float], unix: Callable[[], float] = time.time) -> None:
        self.clock, self.unix = clock, unix
        self.ids: dict[str, int] = {}
        self.targets: dict[int, Target] = {}
        self.serving: set[int] = set()
        self.born: dict[int, tuple[float, float]] = {}  # born_ms, and the clock's time for it
        self.restarted: dict[Target, float] = {}  # those with a new start, and when
        self.last = 0

    def take(self, listing: Listing, form: i.ListForm) -> i.ServerList:
        if listing.whole:
            gone = set(self.ids) - {entry.host for entry in listing.entries}
            for host in gone:
                self.remove(host)
        servers = tuple(self.server(entry) for entry in listing.entries)
        for entry in listing.entries:
            if entry.health == "removed":
                self.remove(entry.host)
        return i.ServerList(form, servers)

    def server(self, entry: Entry) -> i.Server:
        id = self.ids.get(entry.host)
        if id is None:
            self.last += 1
            id = self.ids[entry.host] = self.last
        self.targets[id] = Target(id, entry.address)
        (self.serving.add if entry.health == "up" else self.serving.discard)(id)
        came_up = self.came_up(id, entry.born_ms)
        common = int.from_bytes(hashlib.blake2b(entry.host.encode(), digest_size=6).digest())
        return i.Server(id, entry.zone, entry.cell, MODES[entry.health], entry.rating, came_up, common)

    def came_up(self, id: int, born_ms: float) -> float:
        """Unix time to the monotonic clock, once for each start: reckoned anew with every list, a start
        would move by what the two clocks drift and look like another one."""
        if not born_ms:
            return 0.0
        known = self.born.get(id)
        if known is None or known[0] != born_ms:
            known = self.born[id] = (born_ms, self.clock() - (self.unix() - born_ms / 1000))
            self.restarted[self.targets[id]] = known[1]
        return known[1]

    def remove(self, host: str) -> None:
        if (id := self.ids.pop(host, None)) is not None:
            self.targets.pop(id, None)
            self.serving.discard(id)
            self.born.pop(id, None)

    def wanted(self) -> set[Target]:
        """Where connections are worth keeping."""
        return {self.targets[id] for id in self.serving}
