"""Reserved shares: how the gateways of a fleet divide their common concurrency limit by heartbeats."""

import math

from pewterring.standalone import peer_messages as messages
from pewterring.standalone.policy.state import Peer

HEARTBEAT_PERIOD_S = 0.5
LEASE_S = 4 * HEARTBEAT_PERIOD_S  # silence that evicts a peer: at 8% loss, wrongly once in 24,000 heartbeats
DEMAND_DECAY_S = 15 * LEASE_S  # demand of missing peers decays by 1/e in this: longer than a restart takes


class Shares:
    """Division of the limit: lower median of live limits, reserved by occupancy, target split by demand."""

    LENT = 2.0  # times the square root of the share: chance takes attempts in flight past it 2 times in 40
    IDLE = 0.5  # of the limit: all is lent if half of this is free, nothing if half of this is overdrawn

    def __init__(self, fleet: int, incarnation: int, sparse: bool = False) -> None:
        self.fleet, self.incarnation, self.sequence, self.sparse = fleet, incarnation, 0, sparse
        self.lends = sparse  # whether idle slots of peers may be used beyond the own share
        self.lease = 2 * LEASE_S if sparse else LEASE_S  # in a sparse fleet some 16 peers are heard in this
        self.started_at, self.fleet_demand, self.summed_at, self.share = -math.inf, 0.0, 0.0, math.inf
        self.fleet_limit = self.peers_in_flight = 0.0  # median limit, and attempts in flight from peers
        self.peers: dict[int, Peer] = {}
        self.requested = self.forwarded = 0.0  # requests within quotas, and forwarded, since the last tick
        self.demand = self.forwarding_rate = 0.0  # moving averages of both, per second; plain means at first

    def capacity(self, own: int) -> float:
        """The share and a loan of idle slots: a share of one or two rejects requests that arrive together."""
        free = 1 - (self.peers_in_flight + own) / max(self.fleet_limit, 1.0) if self.lends else -math.inf
        return self.share + self.LENT * math.sqrt(self.share) * min(1.0, max(0.0, 0.5 + free / self.IDLE))

    def update_share(self, now: float, limit: float) -> None:
        live = [peer for peer in self.peers.values() if now - peer.heard < self.lease]
        median = sorted([limit, *(peer.beat.limit for peer in live)])[len(live) // 2]
        demands = self.demand + sum(peer.beat.demand for peer in live)
        self.peers_in_flight = sum(peer.beat.out for peer in live)
        reserved = sum(max(peer.beat.share, peer.beat.out) for peer in live)
        if self.sparse:
            # Live peers are a random sample, too rough to subtract shares, so only attempts in flight count.
            demands *= self.fleet / (1 + len(live))
            self.peers_in_flight *= (self.fleet - 1) / max(1, len(live))
            if not live and now - self.started_at >= self.lease:  # no peer heard: the rest counts as busy
                self.peers_in_flight = median
            reserved = self.peers_in_flight
        # Demand of missing peers decays slowly, or each side of a network partition would claim all slots.
        missing = 0 if self.sparse else self.fleet - 1 - len(live)  # if dead, their clients raise own demand
        if now - self.started_at < LEASE_S:
            demands += missing * self.demand
        if missing > 0:
            demands = max(demands, self.fleet_demand * math.exp((self.summed_at - now) / DEMAND_DECAY_S))
        self.fleet_demand, self.summed_at, self.fleet_limit = demands, now, median
        # A new gateway takes its target despite what peers still reserve: they give way once they hear it.
        new = not self.sparse and now - self.started_at < LEASE_S
        fraction = self.demand / demands if demands > 0 and (self.demand > 0 or not new) else 1 / self.fleet
        self.share = max(1.0, median * fraction if new else self._unreserved(median * fraction, reserved))

    def _unreserved(self, target: float, reserved: float) -> float:
        """The part of a target share that the slots reserved by peers leave free."""
        return min(target, self.fleet_limit - reserved)

    def update_demand(self, now: float, elapsed: float, limit: float) -> None:
        weight = max(1 - math.exp(-elapsed / self.lease), elapsed / max(elapsed, now - self.started_at))
        self.demand += (self.requested / elapsed - self.demand) * weight
        self.forwarding_rate += (self.forwarded / elapsed - self.forwarding_rate) * weight
        self.requested = self.forwarded = 0.0
        self.update_share(now, limit)

    def heartbeat(self, limit: float, in_flight: int) -> bytes:
        self.sequence += 1
        beat = messages.Heartbeat(self.incarnation, self.sequence, limit, in_flight, self.share, self.demand)
        return messages.encode_heartbeat(beat)

    def receive(self, now: float, peer: int, data: bytes, limit: float) -> bool:
        """Takes a heartbeat; False if it is malformed, out of order or of an earlier incarnation."""
        beat, old = messages.decode_heartbeat(data), self.peers.get(peer)
        same = bool(beat and old and beat.incarnation == old.beat.incarnation)
        if not beat or (
            old and (beat.incarnation == old.before or (same and beat.sequence <= old.beat.sequence))
        ):
            return False
        self.peers[peer] = Peer(beat, now, -1 if not old else old.before if same else old.beat.incarnation)
        if not self.sparse:
            self.update_share(now, limit)
        return True
