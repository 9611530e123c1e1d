"""Admission of batch items to one service: the room that live requests leave.

The unit is a slot of a worker, and latencies are ratios, as in `pewterring.admission.service`.
"""

import math

from pewterring.admission.digests import Totals
from pewterring.admission.service import ServiceAdmission
from pewterring.admission.shares import BEAT_S, LEASE_S
from pewterring.standalone.peer_messages import decode_heartbeat
from pewterring.standalone.policy import interface as i


class BatchAdmission:
    """What batch items may use of one service: the room that live requests leave below the common ceiling."""

    LIVE_MARGIN = 2.0  # of the square root of live attempts out: what they may grow by between heartbeats
    FILL = 0.9  # of the ceiling at most, live requests included
    LONE_FILL = 0.5  # of the slots: while live requests take less, one item may run whatever the ceiling
    UNHEARD_FILL = 0.5  # of the ceiling while no gateway is heard
    # Another store's items count for so long. With a dead store its items are gone: its room is soon free.
    PEER_LIFE_S = 2 * BEAT_S

    def __init__(self, incarnation: int) -> None:
        self._view = ServiceAdmission(incarnation, counted=False)
        self._gateways = 0
        self._slots = 0
        self._peers: dict[int, tuple[float, int]] = {}  # by store: when heard, its items out
        self.out = 0

    def rescale(self, now: float, slots: int, gateways: int) -> None:
        """Takes the number of slots of the ready workers, and of gateways that share them."""
        self._gateways, self._slots = gateways, slots
        self._view.rescale(now, slots, gateways)

    def hear(self, now: float, peer: int, data: bytes) -> None:
        """Takes a gateway's heartbeat."""
        self._view.hear(now, peer, data)

    def hear_batch(self, now: float, peer: int, data: bytes) -> None:
        """Takes the heartbeat of another store that runs items."""
        beat = decode_heartbeat(data)
        if beat is not None:
            self._peers[peer] = (now, beat.out)

    def hear_totals(self, now: float, totals: Totals) -> None:
        """Takes the totals of a fleet too large for heartbeats from all to all."""
        self._view.hear_totals(now, totals)

    def observe(self, now: float, route: i.RequestClass, ratio: float) -> None:
        """Takes a ratio of seen to expected time to the first byte."""
        self._view.ceiling.observe(route, ratio, self._view.shares.elsewhere + self.out)

    def tick(self, now: float) -> None:
        """Once a heartbeat period."""
        self._view.tick(now)

    def room(self, now: float) -> int:
        """How many more items may start now."""
        live = self._view.shares.elsewhere
        limit = min(self._view.whole, self._view.ceiling.limit, self._slots)
        usable = self._fill(now) * limit - live - self.LIVE_MARGIN * math.sqrt(live)
        out = self.out + self._elsewhere(now)
        if not out and live < self.LONE_FILL * self._slots:
            # Symptom answered: a service of one slot left no room for any item, ever.
            return max(1, math.floor(usable))
        return max(0, math.floor(usable) - out)

    def beat(self) -> bytes:
        """The heartbeat for this service: attempts out, no share and no demand."""
        return self._view.shares.beat(self._view.ceiling.limit, self.out)

    def _fill(self, now: float) -> float:
        """Answers gateways that cannot be heard, such as behind a cut: what they have out is not known."""
        shares = self._view.shares
        heard = shares.has_totals(now) or any(now - peer.heard < LEASE_S for peer in shares.peers.values())
        return self.FILL if heard or not self._gateways else self.UNHEARD_FILL

    def _elsewhere(self, now: float) -> int:
        """Items that other stores have out."""
        told = sum(out for heard, out in self._peers.values() if now - heard < self.PEER_LIFE_S)
        shares = self._view.shares
        if shares.totals is not None and shares.has_totals(now):
            return max(told, int(shares.totals.batch_out) - self.out)
        return told
