"""Reports from the leaders of batch partitions about their groups, received by the leader of control."""

from pewterring.distribution.messages import GroupStatus


class PartitionReports:
    """The newest report on each batch partition that was received in the current leadership."""

    def __init__(self) -> None:
        self._statuses: dict[str, GroupStatus] = {}
        self._received_at: dict[str, float] = {}

    def clear(self) -> None:
        """Removes all reports, at the beginning of a leadership."""
        self._statuses.clear()
        self._received_at.clear()

    def record(self, now: float, status: GroupStatus) -> None:
        """Records a report, unless a later one is known."""
        known = self._statuses.get(status.group)
        if known is None or (status.term, status.commit) >= (known.term, known.commit):
            self._statuses[status.group] = status
            self._received_at[status.group] = now

    def since(self, moment: float) -> dict[str, GroupStatus]:
        """The newest report on each partition from which one was received after `moment`."""
        return {
            group: self._statuses[group]
            for group, received_at in self._received_at.items()
            if received_at > moment
        }

    def all(self) -> tuple[GroupStatus, ...]:
        """The newest report on each partition."""
        return tuple(self._statuses.values())
