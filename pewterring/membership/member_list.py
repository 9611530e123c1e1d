"""One instance's knowledge of the other members, and the rule by which one update overrides another."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from pewterring.membership.messages import MemberUpdate, State
from pewterring.membership.update_queue import UpdateQueue


class Change(NamedTuple):
    """A change of a member's state or start id, and when this instance learned of it (`at`)."""

    at: float
    update: MemberUpdate


@dataclass(slots=True)
class Member:
    """Another instance as known to this one. `since` is when its state became known."""

    number: int
    incarnation: int
    start_id: int
    state: State
    since: float

    def update(self) -> MemberUpdate:
        """The update that is disseminated about this member."""
        return MemberUpdate(self.number, self.incarnation, self.start_id, self.state)


class MemberList:
    """The other members from or about which anything was received. Changes are queued for dissemination."""

    def __init__(self) -> None:
        self._members: dict[int, Member] = {}
        self.queue = UpdateQueue()
        self.changes: list[Change] = []

    @property
    def by_number(self) -> Mapping[int, Member]:
        """All known members by number, including dead ones."""
        return self._members

    @property
    def scale(self) -> float:
        """The duration of dissemination relative to a fleet of two; it grows with log2 of the fleet size."""
        return max(1.0, math.log2(len(self._members) + 2))

    def present(self) -> list[int]:
        """Numbers of the members that are alive or suspect."""
        return [member.number for member in self._members.values() if member.state <= State.SUSPECT]

    def alive(self) -> list[int]:
        """Numbers of the members that are alive and not suspect."""
        return [member.number for member in self._members.values() if member.state == State.ALIVE]

    def suspects(self) -> list[Member]:
        """The members that are suspect."""
        return [member for member in self._members.values() if member.state == State.SUSPECT]

    def state(self, number: int) -> State | None:
        """The state of a member, or None if nothing is known about it."""
        known = self._members.get(number)
        return known.state if known else None

    def apply(self, now: float, update: MemberUpdate) -> None:
        """Applies an update if it overrides what is known about the member (SWIM, section 4.2)."""
        known = self._members.get(update.member)
        if known is None:
            self._members[update.member] = Member(*update, since=now)
            self.changes.append(Change(now, update))
        elif (update.incarnation, update.state) > (known.incarnation, known.state):
            if update.state != known.state or update.start_id != known.start_id:
                self.changes.append(Change(now, update))
            self._overwrite(now, known, update)
        else:
            return
        self.queue.add(update.member)

    def _overwrite(self, now: float, known: Member, update: MemberUpdate) -> None:
        """Replaces what is known about a member; a repeated suspicion restarts the suspicion timeout."""
        if update.state != known.state or update.state == State.SUSPECT:
            known.since = now
        known.incarnation, known.start_id, known.state = update.incarnation, update.start_id, update.state

    def forget_dead(self, now: float, retention_s: float) -> None:
        """Removes members that died or left more than `retention_s` seconds ago."""
        forgotten = [
            member.number
            for member in self._members.values()
            if member.state >= State.DEAD and now - member.since > retention_s
        ]
        for number in forgotten:
            del self._members[number]
            self.queue.discard(number)
