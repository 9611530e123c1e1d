"""What is true of a customer's use: stores of units as one common service would keep them."""


class Store:
    """Starts full, fills at `rate` units a second, holds `depth` at most."""

    __slots__ = ("at", "depth", "level", "rate")

    def __init__(self, rate: float, depth: float, now: float) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, depth, now

    def refill(self, now: float) -> float:
        """Refills up to `now` and returns the level."""
        self.level = min(self.depth, self.level + (now - self.at) * self.rate)
        self.at = now
        return self.level

    def has(self, now: float, units: float) -> bool:
        """Whether it holds the units; always so without a rate."""
        return not self.rate or self.refill(now) >= units - 1e-9

    def take(self, now: float, units: float) -> bool:
        """Takes the units if it holds them: a try within the quota. Else it takes nothing."""
        if not self.rate:
            return True
        if self.refill(now) < units - 1e-9:
            return False
        self.level -= units
        return True
