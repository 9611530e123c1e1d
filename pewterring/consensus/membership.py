"""The membership of a group at each log index, majorities among its voters, and which changes are safe.

A membership change takes effect as soon as its entry is in the log, committed or not (Raft thesis, chapter
4). A change adds or removes at most one voter, so each old majority overlaps with each new one.
"""

from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

from pewterring.consensus.errors import MembershipRejectedError
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership

_decoder = msgspec.json.Decoder(Membership)
_Value = TypeVar("_Value", int, float)


def address_of(member: str) -> str:
    """Returns the IP address of a member; member names have the form `IP#tag`."""
    return member.partition("#")[0]


def encode_membership(membership: Membership) -> msgspec.Raw:
    """Returns the data of an entry of kind `ENTRY_MEMBERS`."""
    return msgspec.Raw(msgspec.json.encode(membership))


def all_members(membership: Membership) -> tuple[str, ...]:
    """Returns the names of all members: the voters, then the learners."""
    return (*membership.voters, *membership.learners)


def without_member(membership: Membership, member: str) -> Membership:
    """Returns the membership without `member`, whether that is a voter or a learner."""
    return Membership(
        voters=tuple(voter for voter in membership.voters if voter != member),
        learners=tuple(learner for learner in membership.learners if learner != member),
    )


def with_voter(membership: Membership, member: str) -> Membership:
    """Returns the membership with `member` as the last voter; it is no learner any longer."""
    changed = without_member(membership, member)
    return Membership((*changed.voters, member), changed.learners)


def voters_needed(tolerated_machines: int) -> int:
    """Returns how many voters a group needs to tolerate the loss of `tolerated_machines` machines: 2f + 1."""
    return 2 * tolerated_machines + 1


def majority_value(values: Sequence[_Value]) -> _Value:
    """Returns the greatest value that more than half of `values` reach or exceed."""
    return sorted(values, reverse=True)[len(values) // 2]


def check_change(old: Membership, new: Membership) -> None:
    """Checks that every majority of `new` overlaps with every majority of `old` (Raft thesis, 4.1).

    Raises:
        MembershipRejectedError: the change is not safe; the text says why.
    """
    if not new.voters:
        raise MembershipRejectedError("a group needs at least one voter")
    if len(set(new.voters)) != len(new.voters) or set(new.voters) & set(new.learners):
        raise MembershipRejectedError("a member appears twice in the membership")
    changed = set(old.voters) ^ set(new.voters)
    if len(changed) > 1:
        raise MembershipRejectedError(f"only one voter may change at a time: {', '.join(sorted(changed))}")


class MembershipHistory:
    """The membership at the start of the log, and each change that a later log entry makes to it.

    A change takes effect as soon as its entry is in the log, committed or not.
    """

    def __init__(self, base: Membership, entries: Iterable[Entry] = ()) -> None:
        self._base = base
        self._changes: list[tuple[int, Membership]] = []
        self.current = base
        self.append(entries)

    @property
    def last_change(self) -> int:
        """Index of the last membership entry in the log; 0 if there is none."""
        return self._changes[-1][0] if self._changes else 0

    def append(self, entries: Iterable[Entry]) -> None:
        """Records the membership changes among entries that were appended to the log."""
        for entry in entries:
            if entry.kind == ENTRY_MEMBERS:
                self.current = _decoder.decode(entry.data)
                self._changes.append((entry.index, self.current))

    def truncate(self, first_dropped: int) -> None:
        """Reverts the changes of the entries from index `first_dropped` on, which were truncated."""
        while self._changes and self._changes[-1][0] >= first_dropped:
            self._changes.pop()
        self.current = self._changes[-1][1] if self._changes else self._base

    def at(self, index: int) -> Membership:
        """Returns the membership in effect after the entry at `index`."""
        membership = self._base
        for changed_at, changed in self._changes:
            if changed_at > index:
                break
            membership = changed
        return membership

    def compact(self, index: int) -> None:
        """Replaces all changes up to `index` by the membership that they led to."""
        self._base = self.at(index)
        self._changes = [change for change in self._changes if change[0] > index]

    def reset(self, membership: Membership) -> None:
        """Replaces the whole history by the membership of an installed snapshot."""
        self._base = membership
        self._changes = []
        self.current = membership
