"""A test double of a replicated group, and the leadership based on it."""

import asyncio
from typing import cast

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.messages import Membership
from pewterring.control.commands import Accepted
from pewterring.control.leadership import GroupLeadership

FIRST = Membership(("10.0.0.1#a", "10.0.0.2#b", "10.0.0.3#c"))


class StandInGroup:
    """A group whose calls raise `error` if it is set. With `hangs` no call is ever confirmed."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.hangs = False
        self.lease = True
        self.proposed: list[bytes] = []
        self.changes: list[Membership] = []
        self.group = "control"
        self.member = FIRST.voters[0]
        self.leader: str | None = self.member
        self.term = 1
        self.membership = FIRST
        self.commit_index = 0

    def has_lease(self, _now: float) -> bool:
        return self.lease

    def match(self, _member: str) -> int:
        return 0

    async def propose(self, command: bytes) -> object:
        self._fail()
        self.proposed.append(command)
        await self._confirmed()
        return Accepted()

    async def change_membership(self, membership: Membership) -> None:
        self._fail()
        self.changes.append(membership)
        self.membership = membership

    async def read_barrier(self) -> None:
        self._fail()
        await self._confirmed()

    async def _confirmed(self) -> None:
        if self.hangs:
            await asyncio.get_running_loop().create_future()

    def _fail(self) -> None:
        if self.error is not None:
            raise self.error


def leading_group() -> tuple[StandInGroup, GroupLeadership]:
    """Returns a group that this process leads, and its leadership."""
    group = StandInGroup()
    leadership = GroupLeadership(cast(ReplicatedGroup, group), lambda: 1.0)
    leadership.ready = True
    return group, leadership
