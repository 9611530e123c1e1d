"""Admission of live requests to one service: its concurrency limit, this process's share, attempts in flight.

Limits count slots of workers. A latency is the ratio of the observed time to the first byte to the time that
was expected for this request at this worker, so that long and short prompts, and fast and slow workers, are
comparable (docs/design.md).
"""

import math

from pewterring.admission.ceiling import Ceiling
from pewterring.admission.digests import Totals
from pewterring.admission.relayed_shares import RelayedShares
from pewterring.admission.shares import LEASE_S
from pewterring.standalone.peer_messages import Heartbeat, decode_heartbeat
from pewterring.standalone.policy.interface import RequestClass

# Fraction of the fleet's idle slots that one gateway may use beyond its share, so that a burst at one gateway
# is not rejected while workers are idle.
MAX_IDLE_FRACTION = 0.25
# In large fleets the fraction is smaller: this many even parts of the idle slots.
MAX_IDLE_EVEN_SHARES = 4.0

# Fraction of the capacity that each less urgent priority leaves free for the more urgent ones. Without it
# requests of all priorities would be rejected alike in a burst, and less urgent ones served as often.
URGENT_FRACTION = 0.15
MIN_CAPACITY_FRACTION = 0.4  # fraction of the capacity that requests of any priority may use


class SlotCeiling(Ceiling):
    """Concurrency limit in terms of the slots that workers register. Initially it equals their number."""

    INITIAL_SLOTS = 1.0  # times the registered slots
    MIN_SLOTS = 0.6  # times the registered slots; with a lower limit workers would be idle
    MAX_SLOTS = 1.5  # times the registered slots; requests beyond the slots wait in the workers' own queues

    def observe(self, cls: RequestClass, latency: float, fleet_in_flight: float) -> None:
        """Takes a ratio of observed to expected latency, and the attempts in flight from all processes."""
        super().observe(cls, latency, fleet_in_flight)
        self.limit = min(self.limit, self.MAX_SLOTS * self.rating)


class ServiceAdmission:
    """Decides for one service whether an attempt may be sent now."""

    def __init__(self, incarnation: int, processes: int = 1, counted: bool = True) -> None:
        """`processes` and `counted`: how many gateways share the limit, and whether this is one of them."""
        self.ceiling = SlotCeiling(max(1, processes))
        self.shares = RelayedShares(max(1, processes), incarnation, counted)
        self.shares.lends = True
        self.in_flight = 0
        # By peer number of processes that run batch items: the time of the last heartbeat, and the heartbeat.
        self._batch_peers: dict[int, tuple[float, Heartbeat]] = {}
        self._demand_updated_at = -math.inf

    def rescale(self, now: float, slots: int, processes: int) -> None:
        """Sets the number of slots of the ready workers, and the number of gateways that share them."""
        if self.shares.started_at == -math.inf:
            self.shares.started_at = self._demand_updated_at = now
        self.ceiling.rescale(float(slots), slots)
        self.shares.fleet = max(1, processes)
        self.shares.update_share(now, self.ceiling.limit)

    @property
    def capacity(self) -> float:
        """How many attempts this process may have in flight: its share, and a fraction of the idle slots."""
        idle = max(0.0, self.shares.fleet_limit - self.shares.peers_in_flight - self.in_flight)
        lent = min(MAX_IDLE_FRACTION, MAX_IDLE_EVEN_SHARES / self.shares.fleet) * idle
        return min(self.shares.capacity(self.in_flight) + lent, self.ceiling.limit)

    @property
    def fleet_limit(self) -> float:
        """The common limit of all processes: the lower median of the live gateways' limits."""
        return self.shares.fleet_limit

    def peers_in_flight(self, now: float) -> float:
        """Attempts that other processes have in flight, including batch items."""
        return self.shares.peers_in_flight + self.batch_in_flight(now)

    def batch_in_flight(self, now: float) -> int:
        """Attempts of batch items that other processes have in flight."""
        totals = self.shares.totals
        if totals is not None and self.shares.has_totals(now):
            return int(totals.batch_in_flight)
        return sum(beat.out for heard_at, beat in self._batch_peers.values() if now - heard_at < LEASE_S)

    def acquire(self, rank: int = 0) -> bool:
        """Takes a slot for a live request; False if the request is rejected.

        `rank` is the number of the service's live priorities that are more urgent.
        """
        self.shares.requested += 1
        if self.in_flight >= self.capacity * max(MIN_CAPACITY_FRACTION, 1 - URGENT_FRACTION * rank):
            return False
        self.shares.forwarded += 1
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Returns a slot that `acquire` took."""
        self.in_flight -= 1

    def observe(self, now: float, route: RequestClass, ratio: float) -> None:
        """Takes a sample: the ratio of the observed to the expected time to the first byte."""
        self.ceiling.observe(route, ratio, self.peers_in_flight(now) + self.in_flight)

    def tick(self, now: float) -> None:
        """Updates demand, and the share derived from it. Called once per heartbeat period."""
        elapsed = max(1e-3, now - self._demand_updated_at)
        self._demand_updated_at = now
        self.shares.update_demand(now, elapsed, self.ceiling.limit)

    def heartbeat(self) -> bytes:
        """Encodes the heartbeat of this process for this service."""
        return self.shares.heartbeat(self.ceiling.limit, self.in_flight)

    def receive(self, now: float, peer: int, data: bytes) -> None:
        """Takes a heartbeat from a gateway."""
        self.shares.receive(now, peer, data, self.ceiling.limit)

    def receive_totals(self, now: float, totals: Totals) -> None:
        """Takes the totals of a fleet that is too large for all-to-all heartbeats."""
        self.shares.receive_totals(now, totals, self.ceiling.limit)

    def receive_batch(self, now: float, peer: int, data: bytes) -> None:
        """Takes a heartbeat from a process that runs batch items.

        Batch items give way to live requests, so they reserve no share.
        """
        beat = decode_heartbeat(data)
        if beat is not None:
            self._batch_peers[peer] = (now, beat)
