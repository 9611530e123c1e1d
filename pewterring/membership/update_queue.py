"""Which members' updates are still disseminated, and how often each was sent."""


class UpdateQueue:
    """Numbers of members whose updates ride along with messages, least sent first (SWIM, section 4.1)."""

    def __init__(self) -> None:
        self._times_sent: dict[int, int] = {}

    def add(self, member: int) -> None:
        """Begins anew with a member of whom something newer is known."""
        self._times_sent[member] = 0

    def discard(self, member: int) -> None:
        """Ends with a member, whether or not it is disseminated."""
        self._times_sent.pop(member, None)

    def members(self) -> list[int]:
        """All that are still disseminated, in ascending order."""
        return sorted(self._times_sent)

    def take(self, limit: int, max_sends: int) -> list[int]:
        """At most `limit` members, counted as sent once more; one that was sent `max_sends` times is done."""
        chosen = sorted(self._times_sent, key=lambda member: (self._times_sent[member], member))[:limit]
        for member in chosen:
            self._times_sent[member] += 1
            if self._times_sent[member] >= max_sends:
                del self._times_sent[member]
        return chosen
