"""Shares derived from the fleet's totals, as relays send them, instead of from each peer's heartbeats."""

import math
from typing import NamedTuple

from pewterring.admission.digests import Totals
from pewterring.admission.shares import DEMAND_DECAY_S, LEASE_S, Shares

TOTALS_EXPIRY_S = 2 * LEASE_S  # age from which totals are too old to be used


class _Announced(NamedTuple):
    """The figures of this process's last heartbeat, which the totals include."""

    in_flight: int
    demand: float


class RelayedShares(Shares):
    """Shares that follow totals from the first that arrive until a peer's heartbeat arrives directly.

    `counted` says whether the totals include this process.
    """

    def __init__(self, fleet: int, incarnation: int, counted: bool = True) -> None:
        super().__init__(fleet, incarnation)
        self.totals: Totals | None = None
        self._totals_at = -math.inf
        self._counted = counted
        self._announced = _Announced(0, 0.0)

    def receive(self, now: float, peer: int, data: bytes, limit: float) -> bool:
        """Takes a heartbeat that a peer sent directly; False if it was not accepted."""
        self.totals = None
        return super().receive(now, peer, data, limit)

    def receive_totals(self, now: float, totals: Totals, limit: float) -> None:
        """Takes the totals of the fleet."""
        self.totals, self._totals_at = totals, now
        self.update_share(now, limit)

    def has_totals(self, now: float) -> bool:
        """Whether totals are known and have not expired."""
        return self.totals is not None and now - self._totals_at < TOTALS_EXPIRY_S

    def heartbeat(self, limit: float, in_flight: int) -> bytes:
        """Encodes the heartbeat of this process."""
        if self._counted:
            self._announced = _Announced(in_flight, self.demand)
        return super().heartbeat(limit, in_flight)

    def update_share(self, now: float, limit: float) -> None:
        """Recomputes the share."""
        if self.totals is None:
            super().update_share(now, limit)
            return
        self.fleet_limit = self.totals.limit if self.totals.gateways else limit
        demands = self._demands(now, self.totals)
        self.fleet_demand, self.summed_at = demands, now
        is_new = now - self.started_at < LEASE_S
        is_demand_known = demands > 0 and (self.demand > 0 or not is_new)
        target = self.fleet_limit * (self.demand / demands if is_demand_known else 1 / self.fleet)
        if self.has_totals(now):
            self.peers_in_flight = max(0.0, self.totals.in_flight - self._announced.in_flight)
            self.share = max(1.0, target if is_new else target * self._unreserved_fraction(self.totals))
        else:
            # No relay is reachable. All peers count as busy, so no idle slots are lent, and the share follows
            # the last known demand of the fleet.
            self.peers_in_flight = self.fleet_limit
            self.share = max(1.0, target)

    def _unreserved(self, target: float, reserved: float) -> float:
        """Scales the target down in proportion to the excess, as with totals.

        Otherwise gateways that send their heartbeats at the same moment would all take the same free slots,
        and then all reject requests: attempts in flight would swing between half of the limit and twice it.
        """
        return target * min(1.0, self.fleet_limit / max(target + reserved, 1.0))

    def _demands(self, now: float, totals: Totals) -> float:
        """The demand of the fleet. As in `Shares`, that of gateways no longer heard decays slowly."""
        remembered = self.fleet_demand * math.exp((self.summed_at - now) / DEMAND_DECAY_S)
        if not self.has_totals(now):
            return max(self.demand, remembered)
        demands = max(0.0, totals.demand - self._announced.demand) + self.demand
        missing = max(0, self.fleet - totals.gateways)
        if now - self.started_at < LEASE_S:
            demands += missing * self.demand
        return max(demands, remembered) if missing > 0 else demands

    def _unreserved_fraction(self, totals: Totals) -> float:
        """The factor by which the target shrinks when gateways reserve more than the limit in total.

        `Shares` subtracts the peers' reserved slots from the limit, so the first gateway that learns of an
        excess gives it up. Totals reach all gateways at the same moment: if each gave up the whole excess,
        shares would swing between the minimum and the target. So each gives up its fraction of it.
        """
        return min(1.0, self.fleet_limit / max(totals.reserved, 1.0))
