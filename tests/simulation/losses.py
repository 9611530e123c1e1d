"""Counts which control machines are lost, as the operators' pages define it (docs/safety.md, section 8)."""

from math import inf

CATCH_UP_S = 4.8  # `catch_up_s`, for which a machine that is back still counts as lost


class Losses:
    """A machine is lost while it has a fault, and for `CATCH_UP_S` after it is back.

    One that is removed for good is lost until its successor has had that time: not at all, where the
    successor has had it before the machine ends.
    """

    def __init__(self, tolerated: int) -> None:
        self._tolerated = tolerated
        self._until: dict[str, float] = {}
        self.last_back = 0.0  # virtual time of the latest return of a machine

    def begin(self, ip: str) -> None:
        """Records that the machine has a fault from now on."""
        self._until[ip] = inf

    def back(self, ip: str, now: float) -> None:
        """Records that it is back, or that its successor is up."""
        self._until[ip] = now + CATCH_UP_S
        self.last_back = now

    def is_faulty(self, ip: str) -> bool:
        """Whether the machine has a fault now."""
        return self._until.get(ip, 0.0) == inf

    @property
    def any_faulty(self) -> bool:
        """Whether any machine has a fault now."""
        return inf in self._until.values()

    def allows(self, ip: str, now: float) -> bool:
        """Whether that machine may be lost now. One that is catching up may be lost again."""
        others = sum(until > now for other, until in self._until.items() if other != ip)
        return others < self._tolerated and not self.is_faulty(ip)

    def counts(self, ip: str, now: float) -> bool:
        """Whether the machine counts as lost."""
        return self._until.get(ip, 0.0) > now

    def is_catching_up(self, ip: str, now: float) -> bool:
        """Whether the machine is back, and still counts as lost."""
        return now < self._until.get(ip, 0.0) < inf

    def free(self, now: float) -> int:
        """Returns how many more machines may be lost now."""
        return self._tolerated - sum(until > now for until in self._until.values())
