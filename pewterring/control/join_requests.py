"""Who requests to join the control group, as its leader has heard. Soft state of one leadership."""

from pewterring.consensus.membership import address_of
from pewterring.consensus.membership_view import Candidates

JOIN_REQUEST_TTL_S = 2.0  # a request is repeated each half second, so that three may be lost


class JoinRequests:
    """The newest request of each IP address; times are those of the leader's monotonic clock, in seconds."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}  # by member

    def start(self) -> None:
        """Begins a leadership."""
        self._requested_at = {}

    def record(self, now: float, member: str) -> None:
        """Notes a member's request, which replaces those of earlier members at its address."""
        ip = address_of(member)
        self._requested_at = {
            other: requested_at
            for other, requested_at in self._requested_at.items()
            if address_of(other) != ip
        }
        self._requested_at[member] = now

    def candidates(self, now: float) -> Candidates:
        """Who may join now."""
        self._requested_at = {
            member: requested_at
            for member, requested_at in self._requested_at.items()
            if now - requested_at < JOIN_REQUEST_TTL_S
        }
        return Candidates(
            joining=tuple(self._requested_at),
            current_names={address_of(member): member for member in self._requested_at},
        )
