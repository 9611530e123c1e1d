"""The members whose updates are still being disseminated, and how often each update was sent."""


class UpdateQueue:
    """Numbers of members whose updates are piggybacked, least often sent first (SWIM, section 4.1)."""

    def __init__(self) -> None:
        self._times_sent: dict[int, int] = {}

    def add(self, member: int) -> None:
        """Adds a member whose update has changed; its count of sends starts at 0 again."""
        self._times_sent[member] = 0

    def discard(self, member: int) -> None:
        """Removes a member, if it is in the queue."""
        self._times_sent.pop(member, None)

    def members(self) -> list[int]:
        """The numbers of all members in the queue, in ascending order."""
        return sorted(self._times_sent)

    def take(self, limit: int, max_sends: int) -> list[int]:
        """Returns at most `limit` members and counts a send of each; removes those sent `max_sends` times."""
        chosen = sorted(self._times_sent, key=lambda member: (self._times_sent[member], member))[:limit]
        for member in chosen:
            self._times_sent[member] += 1
            if self._times_sent[member] >= max_sends:
                del self._times_sent[member]
        return chosen
