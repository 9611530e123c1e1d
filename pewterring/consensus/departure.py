"""Departures of voters whose process is about to end: the member's side, and what a leader knows of them.

A planned stop need not cost a vote. The voter notifies the leader, which makes a voter of a learner that has
everything and takes the departing one away, one change after the other; the process waits for that a little
while. It is a voter like any other until then. Where nobody can take its place nothing changes.

The departure stands in every answer to the leader while the process lives, so each new leader hears it, and
the answers of a later incarnation, which do not have it, take it back. `DepartureNotice` says it at once,
without waiting for the next heartbeat, and asks for `DepartureAck`: a removed member hears no heartbeats.
"""

from typing import NamedTuple

from pewterring.consensus.messages import DepartureAck, DepartureNotice
from pewterring.consensus.state import MemberState

# Of the grace after SIGTERM: a process waits so long for another to take its vote, at most; the rest is for
# what it ends with.
DEPARTURE_TIMEOUT_FRACTION = 0.5


class Departure:
    """The member's side: announces the departure until it is acknowledged."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._since: tuple[int, int] | None = None  # term and round in which it was first announced
        self.is_acknowledged = False

    def announce(self) -> None:
        """Notifies all voters, since any of them may lead by now; to be repeated until it is acknowledged."""
        state = self._state
        state.departing = True
        if self._since is None:
            self._since = (state.term, state.last_leader_round)
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
        """Takes the acknowledgement. One to an earlier incarnation's departure acknowledges nothing."""
        if self._since is None or message.term < self._since[0]:
            return
        if message.term > self._since[0] or message.round >= self._since[1]:
            self.is_acknowledged = True


class _LastWord(NamedTuple):
    """What a member said last, by the round that it answered."""

    round: int
    departing: bool


_NOTHING_HEARD = _LastWord(-1, False)


class DepartingMembers:
    """What the leader of a term has heard of departures. A member's rounds rise over all its incarnations."""

    def __init__(self) -> None:
        self._heard: dict[str, _LastWord] = {}

    def on_reply(self, member: str, number: int, departing: bool) -> None:
        """Takes what an answer to round `number` says."""
        if number > self._heard.get(member, _NOTHING_HEARD).round:
            self._heard[member] = _LastWord(number, departing)

    def on_notice(self, member: str, number: int) -> None:
        """Takes a notice; one that came late, after answers of a later incarnation, changes nothing."""
        if number >= self._heard.get(member, _NOTHING_HEARD).round:
            self._heard[member] = _LastWord(number, True)

    def is_departing(self, member: str) -> bool:
        """Whether the last that was heard of `member` is its departure."""
        return self._heard.get(member, _NOTHING_HEARD).departing

    def departing(self) -> dict[str, int]:
        """Returns the members whose last word was their departure, with its round."""
        return {member: word.round for member, word in self._heard.items() if word.departing}
