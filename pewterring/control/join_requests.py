"""The requests to join the control group that its leader has received. Soft state of one leadership."""

from pewterring.consensus.membership import address_of
from pewterring.consensus.membership_view import Candidates

JOIN_REQUEST_TTL_S = 2.0  # requests are repeated every 0.5 s, so three in a row may be lost


class JoinRequests:
    """The newest join request from each IP address. Times are seconds of the leader's monotonic clock."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}  # keyed by member name

    def start(self) -> None:
        """Begins a leadership without requests."""
        self._requested_at = {}

    def record(self, now: float, member: str) -> None:
        """Records a member's request, which replaces requests of other members at the same address."""
        ip = address_of(member)
        self._requested_at = {
            other: requested_at
            for other, requested_at in self._requested_at.items()
            if address_of(other) != ip
        }
        self._requested_at[member] = now

    def candidates(self, now: float) -> Candidates:
        """Removes expired requests and returns the members that may join now."""
        self._requested_at = {
            member: requested_at
            for member, requested_at in self._requested_at.items()
            if now - requested_at < JOIN_REQUEST_TTL_S
        }
        return Candidates(
            joining=tuple(self._requested_at),
            current_names={address_of(member): member for member in self._requested_at},
        )
