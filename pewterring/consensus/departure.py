"""Departures of voters whose process is about to end: the departing member's side and the leader's side.

A departure lets a planned stop happen without losing a vote. The voter notifies the leader, which promotes a
learner that has caught up and then removes the departing voter, in two changes. The process waits for that
for a limited time and remains an ordinary voter meanwhile. If no learner can replace it, nothing changes.

Every reply to the leader carries the departure while the process runs, so each new leader learns of it;
replies of a later incarnation do not carry it, which cancels the departure. `DepartureNotice` announces the
departure without waiting for the next heartbeat. The leader answers it by `DepartureAck`, because a removed
member receives no more heartbeats.
"""

from typing import NamedTuple

from pewterring.consensus.messages import DepartureAck, DepartureNotice
from pewterring.consensus.state import MemberState

# Fraction of the grace period after SIGTERM that a process waits at most until another voter replaces it. The
# rest is for its shutdown.
DEPARTURE_TIMEOUT_FRACTION = 0.5


class Departure:
    """The departing member's side: announces the departure until the leader acknowledges it."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._announced_in: tuple[int, int] | None = None  # term, round of the first announcement
        self.is_acknowledged = False

    def announce(self) -> None:
        """Sends a notice to every other voter, any of which may lead by now.

        The caller repeats it until `is_acknowledged`.
        """
        state = self._state
        state.departing = True
        if self._announced_in is None:
            self._announced_in = (state.term, state.last_leader_round)
        state.outbox += [self._notice(voter) for voter in state.voters if voter != state.member]

    def _notice(self, voter: str) -> DepartureNotice:
        state = self._state
        return DepartureNotice(
            group=state.group,
            sender=state.member,
            target=voter,
            term=state.term,
            round=state.last_leader_round,
        )

    def on_ack(self, message: DepartureAck) -> None:
        """Handles an acknowledgement; ignores one for the departure of an earlier incarnation."""
        if self._announced_in is None or message.term < self._announced_in[0]:
            return
        if message.term > self._announced_in[0] or message.round >= self._announced_in[1]:
            self.is_acknowledged = True


class _LastReport(NamedTuple):
    """The last report of a member: the heartbeat round that it answered, and whether it is departing."""

    round: int
    departing: bool


_NO_REPORT = _LastReport(-1, False)


class DepartingMembers:
    """The departures that the leader of a term knows of.

    The rounds that a member answers within the term only increase, also from one incarnation to the next.
    """

    def __init__(self) -> None:
        self._last_reports: dict[str, _LastReport] = {}

    def on_reply(self, member: str, round_number: int, departing: bool) -> None:
        """Records whether the reply to heartbeat round `round_number` reports a departure."""
        if round_number > self._last_reports.get(member, _NO_REPORT).round:
            self._last_reports[member] = _LastReport(round_number, departing)

    def on_notice(self, member: str, round_number: int) -> None:
        """Records a notice; ignores a delayed one that is older than the member's last reply."""
        if round_number >= self._last_reports.get(member, _NO_REPORT).round:
            self._last_reports[member] = _LastReport(round_number, True)

    def is_departing(self, member: str) -> bool:
        """Whether the last report of `member` announced its departure."""
        return self._last_reports.get(member, _NO_REPORT).departing

    def departing(self) -> dict[str, int]:
        """Returns the departing members, each with the round of its last report."""
        return {member: report.round for member, report in self._last_reports.items() if report.departing}
