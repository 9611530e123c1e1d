"""Which members a group has at each index of the log, majorities among them, and which changes are safe.

A change is in force as soon as its entry is in the log, committed or not (Raft thesis, chapter 4): one voter
at a time, so that each majority overlaps with the one before.
"""

from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

from pewterring.consensus.errors import MembershipRejectedError
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership

_decoder = msgspec.json.Decoder(Membership)
_Value = TypeVar("_Value", int, float)


def address_of(member: str) -> str:
    """Returns the IP address of a member, whose name is `IP#tag`."""
    return member.partition("#")[0]


def encode_membership(membership: Membership) -> msgspec.Raw:
    """Returns the data of an entry of kind `ENTRY_MEMBERS`."""
    return msgspec.Raw(msgspec.json.encode(membership))


def all_members(membership: Membership) -> tuple[str, ...]:
    """Returns the voters, then the learners."""
    return (*membership.voters, *membership.learners)


def without_member(membership: Membership, member: str) -> Membership:
    """Returns the membership without a voter or learner."""
    return Membership(
        voters=tuple(voter for voter in membership.voters if voter != member),
        learners=tuple(learner for learner in membership.learners if learner != member),
    )


def with_voter(membership: Membership, member: str) -> Membership:
    """Returns the membership with another voter, which may have been a learner."""
    changed = without_member(membership, member)
    return Membership((*changed.voters, member), changed.learners)


def voters_needed(tolerated_machines: int) -> int:
    """Returns how many voters outlast the loss of so many machines."""
    return 2 * tolerated_machines + 1


def majority_value(values: Sequence[_Value]) -> _Value:
    """Returns the greatest value that more than half of `values` reach."""
    return sorted(values, reverse=True)[len(values) // 2]


def check_change(old: Membership, new: Membership) -> None:
    """Rejects a change whose majorities need not overlap with those before (Raft thesis, 4.1).

    Raises:
        MembershipRejectedError: the text says why; nothing may be changed.
    """
    if not new.voters:
        raise MembershipRejectedError("a group needs a voter")
    if len(set(new.voters)) != len(new.voters) or set(new.voters) & set(new.learners):
        raise MembershipRejectedError("a member is named twice")
    changed = set(old.voters) ^ set(new.voters)
    if len(changed) > 1:
        raise MembershipRejectedError(f"more than one voter changes: {', '.join(sorted(changed))}")


class MembershipHistory:
    """The membership at the log's base, and its changes by the entries after that.

    A change is in force as soon as its entry is in the log, committed or not.
    """

    def __init__(self, base: Membership, entries: Iterable[Entry] = ()) -> None:
        self._base = base
        self._changes: list[tuple[int, Membership]] = []
        self.current = base
        self.append(entries)

    @property
    def last_change(self) -> int:
        """Index of the last change in the log; 0 where there is none."""
        return self._changes[-1][0] if self._changes else 0

    def append(self, entries: Iterable[Entry]) -> None:
        """Takes note of entries that were appended to the log."""
        for entry in entries:
            if entry.kind == ENTRY_MEMBERS:
                self.current = _decoder.decode(entry.data)
                self._changes.append((entry.index, self.current))

    def truncate(self, first_dropped: int) -> None:
        """Goes back to the membership before the entry at `first_dropped`."""
        while self._changes and self._changes[-1][0] >= first_dropped:
            self._changes.pop()
        self.current = self._changes[-1][1] if self._changes else self._base

    def at(self, index: int) -> Membership:
        """Returns the membership in force after the entry at `index`."""
        membership = self._base
        for changed_at, changed in self._changes:
            if changed_at > index:
                break
            membership = changed
        return membership

    def compact(self, index: int) -> None:
        """Forgets changes up to `index`, keeping what they led to."""
        self._base = self.at(index)
        self._changes = [change for change in self._changes if change[0] > index]

    def reset(self, membership: Membership) -> None:
        """Starts again behind a snapshot."""
        self._base = membership
        self._changes = []
        self.current = membership
