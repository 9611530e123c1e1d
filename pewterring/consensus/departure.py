"""Farewells of voters whose process is about to end: the member's side, and what a leader knows of them.

A planned stop need not cost a vote. The voter tells the leader, which makes a voter of a learner that holds
everything and takes the leaving one away, one change after the other; the process waits for that a little
while. It is a voter like any other until then. Where nobody can take its place nothing changes.

A farewell stands in every answer to the leader while the process lives, so each new leader hears it, and the
answers of a later life, which do not have it, take it back. `DepartureNotice` says it at once, without
waiting for the next heartbeat, and asks for `DepartureAck`: a member that was removed hears no heartbeats.
"""

from pewterring.consensus.messages import DepartureAck, DepartureNotice
from pewterring.consensus.state import MemberState

DEPARTURE_TIMEOUT_FRACTION = (
    0.5  # of the grace after SIGTERM: a process waits so long for another to take its vote, at most
)


class Departure:
    """The member's side."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._since: tuple[int, int] | None = None  # term and round in which it was first said
        self.is_answered = False

    def announce(self) -> None:
        """Tells all voters, since any of them may lead by now; to be said again until it is answered."""
        state = self._state
        state.departing = True
        if self._since is None:
            self._since = (state.term, state.last_leader_round)
        state.outbox += [
            DepartureNotice(
                group=state.group,
                sender=state.member,
                target=voter,
                term=state.term,
                round=state.last_leader_round,
            )
            for voter in state.voters
            if voter != state.member
        ]

    def on_left(self, message: DepartureAck) -> None:
        """Takes the answer. One to an earlier life's farewell answers nothing."""
        if self._since is None or message.term < self._since[0]:
            return
        if message.term > self._since[0] or message.round >= self._since[1]:
            self.is_answered = True


class DepartingMembers:
    """What the leader of a term has heard of farewells. Rounds of a member rise over all its lives."""

    def __init__(self) -> None:
        self._heard: dict[str, tuple[int, bool]] = {}  # member -> round, and whether it was leaving then

    def on_reply(self, member: str, number: int, departing: bool) -> None:
        """Takes what an answer to round `number` says."""
        if number > self._heard.get(member, (-1, False))[0]:
            self._heard[member] = (number, departing)

    def on_leave(self, member: str, number: int) -> None:
        """Takes a farewell; one that came late, after answers of a later life, changes nothing."""
        if number >= self._heard.get(member, (-1, False))[0]:
            self._heard[member] = (number, True)

    def is_departing(self, member: str) -> bool:
        """Whether the last that was heard of `member` is its farewell."""
        return self._heard.get(member, (-1, False))[1]

    def departing(self) -> dict[str, int]:
        """Members whose last word was a farewell, with its round."""
        return {member: number for member, (number, departing) in self._heard.items() if departing}
