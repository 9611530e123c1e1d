"""Shares where the fleet is known by totals, as relays tell them, instead of by each peer's heartbeats."""

import math
from typing import NamedTuple

from pewterring.admission.digests import Totals
from pewterring.admission.shares import GHOST_S, LEASE_S, Shares

TOTALS_S = 2 * LEASE_S  # totals older than this tell nothing of the present


class _Told(NamedTuple):
    """What the last heartbeat of this process said, which totals contain."""

    out: int
    demand: float


class RelayedShares(Shares):
    """Goes by totals from the first that come until a peer is heard directly.

    `counted` says whether the totals contain this process.
    """

    def __init__(self, fleet: int, incarnation: int, counted: bool = True) -> None:
        super().__init__(fleet, incarnation)
        self.totals: Totals | None = None
        self._totals_at = -math.inf
        self._counted = counted
        self._told = _Told(0, 0.0)

    def hear(self, now: float, peer: int, data: bytes, limit: float) -> bool:
        """Takes a heartbeat that a peer sent here itself."""
        self.totals = None
        return super().hear(now, peer, data, limit)

    def hear_totals(self, now: float, totals: Totals, limit: float) -> None:
        """Takes the totals of the fleet."""
        self.totals, self._totals_at = totals, now
        self.divide(now, limit)

    def has_totals(self, now: float) -> bool:
        """Whether totals are known that are not too old."""
        return self.totals is not None and now - self._totals_at < TOTALS_S

    def beat(self, limit: float, out: int) -> bytes:
        """The heartbeat of this process."""
        if self._counted:
            self._told = _Told(out, self.demand)
        return super().beat(limit, out)

    def divide(self, now: float, limit: float) -> None:
        """Finds the share anew."""
        if self.totals is None:
            super().divide(now, limit)
            return
        self.whole = self.totals.limit if self.totals.gateways else limit
        demands = self._demands(now, self.totals)
        self.total, self.summed_at = demands, now
        is_new = now - self.began < LEASE_S
        knows_own = demands > 0 and (self.demand > 0 or not is_new)
        target = self.whole * (self.demand / demands if knows_own else 1 / self.fleet)
        if self.has_totals(now):
            self.elsewhere = max(0.0, self.totals.out - self._told.out)
            self.share = max(1.0, target if is_new else target * self._part_unreserved(self.totals))
        else:
            # Symptom: cut off from all relays. The others count as busy, so nothing is lent, and the share
            # goes on by the demand that was known last.
            self.elsewhere = self.whole
            self.share = max(1.0, target)

    def _unreserved(self, target: float, reserved: float) -> float:
        """Gives way in proportion, as with totals.

        Symptom answered: gateways whose heartbeats go out together all take what one of them could have, then
        all refuse; what is out swings between half of the ceiling and twice.
        """
        return target * min(1.0, self.whole / max(target + reserved, 1.0))

    def _demands(self, now: float, totals: Totals) -> float:
        """The demand of the fleet. That of gateways unheard counts on for a while, as it does in `Shares`."""
        remembered = self.total * math.exp((self.summed_at - now) / GHOST_S)
        if not self.has_totals(now):
            return max(self.demand, remembered)
        demands = max(0.0, totals.demand - self._told.demand) + self.demand
        missing = max(0, self.fleet - totals.gateways)
        if now - self.began < LEASE_S:
            demands += missing * self.demand
        return max(demands, remembered) if missing > 0 else demands

    def _part_unreserved(self, totals: Totals) -> float:
        """What part of the ceiling is left where others reserve more than their parts.

        `Shares` takes what others reserve from the ceiling, and who hears it first gives way. Totals reach
        all at the same moment: if each gave way for the whole excess, shares would swing between the floor
        and the target. So each gives way for its part.
        """
        return min(1.0, self.whole / max(totals.reserved, 1.0))
