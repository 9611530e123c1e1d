"""Maps worker host names to the numeric ids that the policy uses and to the addresses that the pool uses."""

import hashlib
import time
from collections.abc import Callable

from pewterring.standalone.network.discovery import Entry, Listing
from pewterring.standalone.network.workers import Target
from pewterring.standalone.policy import interface

MODES = {"up": interface.Mode.SERVING, "draining": interface.Mode.DRAINING, "removed": interface.Mode.DELETED}


class Directory:
    """The known workers: their ids, addresses and start times, updated from each discovery list."""

    def __init__(self, clock: Callable[[], float], unix: Callable[[], float] = time.time) -> None:
        self.clock, self.unix = clock, unix
        self.ids: dict[str, int] = {}
        self.targets: dict[int, Target] = {}
        self.serving: set[int] = set()
        self.start_times: dict[
            int, tuple[float, float]
        ] = {}  # born_ms, and the same instant in monotonic time
        self.restarted: dict[Target, float] = {}  # workers that have restarted, with the monotonic start time
        self.last_id = 0

    def take(self, listing: Listing, form: interface.ListForm) -> interface.ServerList:
        if listing.whole:
            gone = set(self.ids) - {entry.host for entry in listing.entries}
            for host in gone:
                self.remove(host)
        servers = tuple(self.server(entry) for entry in listing.entries)
        for entry in listing.entries:
            if entry.health == "removed":
                self.remove(entry.host)
        return interface.ServerList(form, servers)

    def server(self, entry: Entry) -> interface.Server:
        id = self.ids.get(entry.host)
        if id is None:
            self.last_id += 1
            id = self.ids[entry.host] = self.last_id
        self.targets[id] = Target(id, entry.address)
        (self.serving.add if entry.health == "up" else self.serving.discard)(id)
        came_up = self.came_up(id, entry.born_ms)
        common = int.from_bytes(hashlib.blake2b(entry.host.encode(), digest_size=6).digest())
        return interface.Server(
            id, entry.zone, entry.cell, MODES[entry.health], entry.rating, came_up, common
        )

    def came_up(self, id: int, born_ms: float) -> float:
        """Converts the start time of a worker from Unix to monotonic time, once per start. Converting it
        again for every list would shift it by the drift between the clocks and look like another restart."""
        if not born_ms:
            return 0.0
        known = self.start_times.get(id)
        if known is None or known[0] != born_ms:
            known = self.start_times[id] = (born_ms, self.clock() - (self.unix() - born_ms / 1000))
            self.restarted[self.targets[id]] = known[1]
        return known[1]

    def remove(self, host: str) -> None:
        if (id := self.ids.pop(host, None)) is not None:
            self.targets.pop(id, None)
            self.serving.discard(id)
            self.start_times.pop(id, None)

    def wanted(self) -> set[Target]:
        """The targets of serving workers, to which idle connections are kept."""
        return {self.targets[id] for id in self.serving}
