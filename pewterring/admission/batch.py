"""Admission of batch items to one service, within the capacity that live requests leave free.

As in `pewterring.admission.service`, limits count slots of workers, and latencies are ratios of observed to
expected latency.
"""

import math

from pewterring.admission.digests import Totals
from pewterring.admission.service import ServiceAdmission
from pewterring.admission.shares import HEARTBEAT_PERIOD_S, LEASE_S
from pewterring.standalone.peer_messages import decode_heartbeat
from pewterring.standalone.policy.interface import RequestClass


class BatchAdmission:
    """Limits the batch items in flight at one service to what live requests leave of the common limit."""

    # Multiplied by the square root of the live attempts in flight: their possible growth between heartbeats.
    LIVE_MARGIN = 2.0
    MAX_FILL = 0.9  # fraction of the limit that live requests and batch items together may use
    # One item may always run while live requests use less than this fraction of the slots.
    SINGLE_ITEM_LIVE_FILL = 0.5
    MAX_FILL_WITHOUT_GATEWAYS = 0.5  # fraction of the limit to use while no gateway's heartbeats arrive
    # How long another store's items count after its last heartbeat. The items of a store that died have
    # ended, so their slots are freed soon.
    STORE_TIMEOUT_S = 2 * HEARTBEAT_PERIOD_S

    def __init__(self, incarnation: int) -> None:
        self._admission = ServiceAdmission(incarnation, counted=False)
        self._gateways = 0
        self._slots = 0
        # By peer number of the store: the time of its last heartbeat, and its items in flight.
        self._stores: dict[int, tuple[float, int]] = {}
        self.in_flight = 0

    def rescale(self, now: float, slots: int, gateways: int) -> None:
        """Sets the number of slots of the ready workers, and the number of gateways that share them."""
        self._gateways, self._slots = gateways, slots
        self._admission.rescale(now, slots, gateways)

    def receive(self, now: float, peer: int, data: bytes) -> None:
        """Takes a heartbeat from a gateway."""
        self._admission.receive(now, peer, data)

    def receive_batch(self, now: float, peer: int, data: bytes) -> None:
        """Takes a heartbeat from another store that runs batch items."""
        beat = decode_heartbeat(data)
        if beat is not None:
            self._stores[peer] = (now, beat.out)

    def receive_totals(self, now: float, totals: Totals) -> None:
        """Takes the totals of a fleet that is too large for all-to-all heartbeats."""
        self._admission.receive_totals(now, totals)

    def observe(self, now: float, route: RequestClass, ratio: float) -> None:
        """Takes a sample: the ratio of the observed to the expected time to the first byte."""
        self._admission.ceiling.observe(route, ratio, self._admission.shares.peers_in_flight + self.in_flight)

    def tick(self, now: float) -> None:
        """Updates demand and share. Called once per heartbeat period."""
        self._admission.tick(now)

    def free_slots(self, now: float) -> int:
        """Returns how many more items may start now."""
        live = self._admission.shares.peers_in_flight
        limit = min(self._admission.fleet_limit, self._admission.ceiling.limit, self._slots)
        usable = self._max_fill(now) * limit - live - self.LIVE_MARGIN * math.sqrt(live)
        in_flight = self.in_flight + self._in_flight_at_other_stores(now)
        if not in_flight and live < self.SINGLE_ITEM_LIVE_FILL * self._slots:
            # Otherwise a service with a single slot would never run an item.
            return max(1, math.floor(usable))
        return max(0, math.floor(usable) - in_flight)

    def heartbeat(self) -> bytes:
        """Encodes this store's heartbeat for the service: attempts in flight, without share and demand."""
        return self._admission.shares.heartbeat(self._admission.ceiling.limit, self.in_flight)

    def _max_fill(self, now: float) -> float:
        """The usable fraction of the limit; lower while no gateway is heard, as in a network partition.

        The number of attempts that those gateways have in flight is then unknown.
        """
        shares = self._admission.shares
        is_heard = shares.has_totals(now) or any(now - peer.heard < LEASE_S for peer in shares.peers.values())
        return self.MAX_FILL if is_heard or not self._gateways else self.MAX_FILL_WITHOUT_GATEWAYS

    def _in_flight_at_other_stores(self, now: float) -> int:
        reported = sum(items for heard, items in self._stores.values() if now - heard < self.STORE_TIMEOUT_S)
        shares = self._admission.shares
        if shares.totals is not None and shares.has_totals(now):
            return max(reported, int(shares.totals.batch_in_flight) - self.in_flight)
        return reported
