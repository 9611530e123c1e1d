"""Counts which control machines are lost, as the operators' pages define it."""

from math import inf

CATCH_UP_S = 4.8  # `catch_up_s`, which a machine that is back stays lost for


class Losses:
    """A machine is lost while it is in trouble, and for `CATCH_UP_S` after it is back.

    One that is removed for good is lost until its successor has had that time: not at all, where the
    successor has had it before the machine ends.
    """

    def __init__(self, tolerated: int) -> None:
        self._tolerated = tolerated
        self._until: dict[str, float] = {}
        self.last_back = 0.0  # when a machine came back last

    def begin(self, ip: str) -> None:
        """The machine is in trouble."""
        self._until[ip] = inf

    def back(self, ip: str, now: float) -> None:
        """It is back, or its successor is up."""
        self._until[ip] = now + CATCH_UP_S
        self.last_back = now

    def in_trouble(self, ip: str) -> bool:
        """Whether something is wrong with it now."""
        return self._until.get(ip, 0.0) == inf

    @property
    def any_in_trouble(self) -> bool:
        """Whether something is wrong with any."""
        return inf in self._until.values()

    def allows(self, ip: str, now: float) -> bool:
        """Whether that machine may be lost now, too. One that is lost already may be again."""
        others = sum(until > now for other, until in self._until.items() if other != ip)
        return others < self._tolerated and not self.in_trouble(ip)

    def counts(self, ip: str, now: float) -> bool:
        """Whether the machine is lost."""
        return self._until.get(ip, 0.0) > now

    def is_catching_up(self, ip: str, now: float) -> bool:
        """Whether the machine is back, and still counts as lost."""
        return now < self._until.get(ip, 0.0) < inf

    def free(self, now: float) -> int:
        """How many more may be lost now."""
        return self._tolerated - sum(until > now for until in self._until.values())
