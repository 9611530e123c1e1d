"""Reserved shares: how the gateways of a fleet divide their common ceiling by heartbeats."""

import math

from pewterring.standalone import peer_messages as mail
from pewterring.standalone.policy.state import Peer

BEAT_S = 0.5  # heartbeat period (ours, DESIGN)
LEASE_S = 4 * BEAT_S  # a peer silent for this long is evicted: at 8% loss one in 24,000 beats misleads
GHOST_S = 15 * LEASE_S  # the demand of unheard peers fades by 1/e in this: longer than a restart takes


class Shares:
    """The ceiling's split: lower median of live limits, occupancy reserved, target split by demand."""

    LENT = 2.0  # of the square root of a share: what chance alone adds to attempts out, two in forty times
    IDLE = 0.5  # lent in full where half this part of the ceiling is free, nothing where so much is overdrawn

    def __init__(self, fleet: int, incarnation: int, sparse: bool = False) -> None:
        self.fleet, self.incarnation, self.sequence, self.sparse = fleet, incarnation, 0, sparse
        self.lends = sparse  # whether idle slots of others may be used past the own share
        self.lease = 2 * LEASE_S if sparse else LEASE_S  # in a sparse fleet some 16 peers are heard in this
        self.began, self.total, self.at, self.share = -math.inf, 0.0, 0.0, math.inf
        self.whole = self.elsewhere = 0.0  # the fleet's ceiling, and what peers have out of it
        self.peers: dict[int, Peer] = {}
        self.wanted = self.passed = 0.0  # since the last tick: asked inside quotas, and sent on
        self.demand = self.flow = 0.0  # the same a second

    def room(self, out: int) -> float:
        """The share and, where it lends, what lies idle: a slot or two would refuse chance meetings."""
        free = 1 - (self.elsewhere + out) / max(self.whole, 1.0) if self.lends else -math.inf
        return self.share + self.LENT * math.sqrt(self.share) * min(1.0, max(0.0, 0.5 + free / self.IDLE))

    def divide(self, now: float, limit: float) -> None:
        others = [p for p in self.peers.values() if now - p.heard < self.lease]
        whole = sorted([limit, *(p.beat.limit for p in others)])[len(others) // 2]
        demands = self.demand + sum(p.beat.demand for p in others)
        self.elsewhere = sum(p.beat.out for p in others)
        reserved = sum(max(p.beat.share, p.beat.out) for p in others)
        if self.sparse:
            # Those heard, chance picks, speak for the rest: too roughly to take what they reserve from the
            # whole, so only attempts past it bring the share to its floor. Unheard, the rest counts as busy.
            demands *= self.fleet / (1 + len(others))
            self.elsewhere *= (self.fleet - 1) / max(1, len(others))
            if not others and now - self.began >= self.lease:
                self.elsewhere = whole
            reserved = self.elsewhere
        # Peers unheard: the demand summed before counts on, fading: with mail cut each side else claims the
        # whole ceiling. If they are dead their callers come here, and the own demand rises instead.
        missing = 0 if self.sparse else self.fleet - 1 - len(others)
        if now - self.began < LEASE_S:
            demands += missing * self.demand
        if missing > 0:
            demands = max(demands, self.total * math.exp((self.at - now) / GHOST_S))
        self.total, self.at, self.whole = demands, now, whole
        # New here, it takes its part all the same: peers reserve as before, and will make room.
        new = not self.sparse and now - self.began < LEASE_S
        part = self.demand / demands if demands > 0 and (self.demand > 0 or not new) else 1 / self.fleet
        self.share = max(1.0, whole * part if new else self._unreserved(whole * part, reserved))

    def _unreserved(self, target: float, reserved: float) -> float:
        """What is left of a target where others reserve so much of the ceiling."""
        return min(target, self.whole - reserved)

    def settle(self, now: float, past: float, limit: float) -> None:
        weight = max(1 - math.exp(-past / self.lease), past / max(past, now - self.began))  # first a mean
        self.demand += (self.wanted / past - self.demand) * weight
        self.flow += (self.passed / past - self.flow) * weight
        self.wanted = self.passed = 0.0
        self.divide(now, limit)

    def beat(self, limit: float, out: int) -> bytes:
        self.sequence += 1
        beat = mail.Heartbeat(self.incarnation, self.sequence, limit, out, self.share, self.demand)
        return mail.encode_heartbeat(beat)

    def hear(self, now: float, peer: int, data: bytes, limit: float) -> bool:
        """Takes a heartbeat; False where it is malformed, late, or of a former life of the peer."""
        beat, p = mail.decode_heartbeat(data), self.peers.get(peer)
        known = bool(beat and p and beat.incarnation == p.beat.incarnation)
        if not beat or (p and (beat.incarnation == p.before or (known and beat.sequence <= p.beat.sequence))):
            return False
        self.peers[peer] = Peer(beat, now, -1 if not p else p.before if known else p.beat.incarnation)
        if not self.sparse:
            self.divide(now, limit)
        return True
