"""Who wishes to join the control group, as its leader has heard."""

from pewterring.consensus.membership import address_of
from pewterring.consensus.membership_view import Candidates

ASKED_S = 2.0  # a wish to join is good for so long; it is repeated each half second


class JoinRequests:
    """The newest wish of each address."""

    def __init__(self) -> None:
        self._asked: dict[str, float] = {}

    def start(self) -> None:
        """Begins a leadership."""
        self._asked = {}

    def ask(self, now: float, member: str) -> None:
        """Notes that the member wishes to join; what earlier names of its address wished is over."""
        ip = address_of(member)
        self._asked = {name: asked for name, asked in self._asked.items() if address_of(name) != ip}
        self._asked[member] = now

    def candidates(self, now: float) -> Candidates:
        """Who may join now."""
        self._asked = {member: asked for member, asked in self._asked.items() if now - asked < ASKED_S}
        return Candidates(
            joining=tuple(self._asked), current_names={address_of(member): member for member in self._asked}
        )
