"""Admission to one service of the tier: its gradient ceiling, this process's share of it, attempts out.

The unit is a slot of a worker. Latencies are ratios of the time to the first byte to what was expected of
this request at this worker, so that long and short prompts, fast and slow workers compare (docs/design.md).
"""

import math

from pewterring.admission.ceiling import Ceiling
from pewterring.admission.digests import Totals
from pewterring.admission.relayed_shares import RelayedShares
from pewterring.admission.shares import LEASE_S
from pewterring.standalone.peer_messages import Heartbeat, decode_heartbeat
from pewterring.standalone.policy import interface as i

# Of the slots that no process has out, one gateway may take so much past its share; in large fleets as much
# as so many gateways could take together. Symptom answered: a burst at one gateway is refused while workers
# are idle.
IDLE_LENT, IDLE_GATEWAYS = 0.25, 4.0

# Of the room, so much is kept free of each less urgent kind of request, for the more urgent ones.
# Symptom answered: in a burst all kinds are refused alike, and the less urgent are served as often.
URGENT_SHARE, LEAST_SHARE = 0.15, 0.4


class SlotCeiling(Ceiling):
    """The ceiling in slots that workers register: it begins at all of them."""

    START, FLOOR = 1.0, 0.6  # of the slots: at the start and at the least; below, workers would stand idle
    MOST = 1.5  # of the slots: past them requests wait in the workers' own queues

    def observe(self, cls: i.RequestClass, latency: float, fleet_out: float) -> None:
        """Takes one ratio of seen to expected latency; `fleet_out` is what all processes have out."""
        super().observe(cls, latency, fleet_out)
        self.limit = min(self.limit, self.MOST * self.rating)


class ServiceAdmission:
    """Decides, for one service, whether an attempt may go out now."""

    def __init__(self, incarnation: int, processes: int = 1, counted: bool = True) -> None:
        """`counted` says whether this process is one of the gateways that share the ceiling."""
        self.ceiling = SlotCeiling(max(1, processes))
        self.shares = RelayedShares(max(1, processes), incarnation, counted)
        self.shares.lends = True
        self.out = 0
        self._batch: dict[int, tuple[float, Heartbeat]] = {}  # by peer: attempts of batch items
        self._settled_at = -math.inf

    def rescale(self, now: float, slots: int, processes: int) -> None:
        """Takes the number of slots of the ready workers, and of gateways that share them."""
        if self.shares.began == -math.inf:
            self.shares.began = self._settled_at = now
        self.ceiling.rescale(float(slots), slots)
        self.shares.fleet = max(1, processes)
        self.shares.divide(now, self.ceiling.limit)

    @property
    def room(self) -> float:
        """How many attempts this process may have out: its share, and a part of what lies idle."""
        idle = max(0.0, self.shares.whole - self.shares.elsewhere - self.out)
        lent = min(IDLE_LENT, IDLE_GATEWAYS / self.shares.fleet) * idle
        return min(self.shares.room(self.out) + lent, self.ceiling.limit)

    @property
    def whole(self) -> float:
        """The common ceiling: the lower median of live limits."""
        return self.shares.whole

    def elsewhere(self, now: float) -> float:
        """Attempts that other processes have out, batch items included."""
        return self.shares.elsewhere + self.batch_out(now)

    def batch_out(self, now: float) -> int:
        """Attempts of batch items at other processes."""
        totals = self.shares.totals
        if totals is not None and self.shares.has_totals(now):
            return int(totals.batch_out)
        return sum(beat.out for heard, beat in self._batch.values() if now - heard < LEASE_S)

    def acquire(self, rank: int = 0) -> bool:
        """Takes a slot for a live request; False where it is refused.

        `rank` is the number of kinds of request of the service that are more urgent.
        """
        self.shares.wanted += 1
        if self.out >= self.room * max(LEAST_SHARE, 1 - URGENT_SHARE * rank):
            return False
        self.shares.passed += 1
        self.out += 1
        return True

    def release(self) -> None:
        """Gives a slot back."""
        self.out -= 1

    def observe(self, now: float, route: i.RequestClass, ratio: float) -> None:
        """Takes a ratio of seen to expected time to the first byte."""
        self.ceiling.observe(route, ratio, self.elsewhere(now) + self.out)

    def tick(self, now: float) -> None:
        """Once a heartbeat period: demand, and the share from it."""
        past = max(1e-3, now - self._settled_at)
        self._settled_at = now
        self.shares.settle(now, past, self.ceiling.limit)

    def beat(self) -> bytes:
        """The heartbeat of this process for this service."""
        return self.shares.beat(self.ceiling.limit, self.out)

    def hear(self, now: float, peer: int, data: bytes) -> None:
        """Takes a gateway's heartbeat."""
        self.shares.hear(now, peer, data, self.ceiling.limit)

    def hear_totals(self, now: float, totals: Totals) -> None:
        """Takes the totals of a fleet too large for heartbeats from all to all."""
        self.shares.hear_totals(now, totals, self.ceiling.limit)

    def hear_batch(self, now: float, peer: int, data: bytes) -> None:
        """Takes the heartbeat of a process that runs batch items: they yield, so they reserve no share."""
        beat = decode_heartbeat(data)
        if beat is not None:
            self._batch[peer] = (now, beat)
