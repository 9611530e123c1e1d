"""What one instance knows of the other members, and the order in which one update overrides another."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from pewterring.membership.messages import MemberUpdate, State
from pewterring.membership.update_queue import UpdateQueue


class Change(NamedTuple):
    """A member's state or start that became known, and when."""

    at: float
    update: MemberUpdate


@dataclass(slots=True)
class Member:
    """Another instance, as it is known. `since`: when its state became known."""

    number: int
    incarnation: int
    start_id: int
    state: State
    since: float

    def update(self) -> MemberUpdate:
        """What is disseminated of it."""
        return MemberUpdate(self.number, self.incarnation, self.start_id, self.state)


class MemberList:
    """The other members of whom anything was heard. Each change is queued for dissemination."""

    def __init__(self) -> None:
        self._members: dict[int, Member] = {}
        self.queue = UpdateQueue()
        self.changes: list[Change] = []

    @property
    def by_number(self) -> Mapping[int, Member]:
        """All that are known, dead ones among them."""
        return self._members

    @property
    def scale(self) -> float:
        """How many times as long dissemination takes as between two: it grows with log2 of the fleet."""
        return max(1.0, math.log2(len(self._members) + 2))

    def present(self) -> list[int]:
        """Numbers of those that count as there: alive or suspect."""
        return [member.number for member in self._members.values() if member.state <= State.SUSPECT]

    def alive(self) -> list[int]:
        """Numbers of those that are alive and not suspect."""
        return [member.number for member in self._members.values() if member.state == State.ALIVE]

    def suspects(self) -> list[Member]:
        """Those that are suspect."""
        return [member for member in self._members.values() if member.state == State.SUSPECT]

    def state(self, number: int) -> State | None:
        """None: nothing was ever heard of it."""
        known = self._members.get(number)
        return known.state if known else None

    def apply(self, now: float, update: MemberUpdate) -> None:
        """Takes what is said of a member, if it is newer than what is known (SWIM, section 4.2)."""
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
        """A suspicion that is raised anew has its full time."""
        if update.state != known.state or update.state == State.SUSPECT:
            known.since = now
        known.incarnation, known.start_id, known.state = update.incarnation, update.start_id, update.state

    def forget_dead(self, now: float, retention_s: float) -> None:
        """Drops those that died or left longer ago than `retention_s`."""
        forgotten = [
            member.number
            for member in self._members.values()
            if member.state >= State.DEAD and now - member.since > retention_s
        ]
        for number in forgotten:
            del self._members[number]
            self.queue.discard(number)
