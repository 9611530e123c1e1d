"""The replicated group as the control layer uses it: typed commands, and this layer's own errors.

Decides whether this process leads and may answer calls. The lease may expire between a check and the action
that depends on it; docs/safety.md explains for each caller why that is harmless. If the outcome of a command
is not known, `CommandOutcomeUnknownError` is raised.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from pewterring.consensus.errors import ConsensusError, NotLeaderError, TooManyUncommittedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership import address_of
from pewterring.control.commands import Command, Result, encode_command
from pewterring.control.errors import CommandOutcomeUnknownError, NotLeadingError, StaleCallError

READ_BARRIER_TIMEOUT_S = 0.8  # less than the 0.9 s of a call, so that there is time to try another leader


class Leadership(Protocol):
    """The operations of the group that are needed to answer calls.

    All raise `NotLeadingError`; `propose` may also raise `CommandOutcomeUnknownError`.
    """

    async def propose(self, command: Command) -> Result:
        """Commits a command and returns the result of applying it."""

    async def read_barrier(self) -> None:
        """Returns once every entry committed before this call has been applied here."""

    def check_lease(self) -> None:
        """Raises `NotLeadingError` unless this member holds the lease, so that no other member can lead."""


class GroupLeadership:
    """Commits commands and confirms reads through the replicated group.

    `ready` is set while this member leads and has applied all entries committed before its term.
    """

    def __init__(self, group: ReplicatedGroup, clock: Callable[[], float]) -> None:
        self.ready = False
        self._group = group
        self._clock = clock

    @property
    def has_lease(self) -> bool:
        """Whether this process leads and no other process can lead."""
        return self.ready and self._group.has_lease(self._clock())

    def check_lease(self) -> None:
        """Raises `NotLeadingError` without a lease."""
        if not self.has_lease:
            raise NotLeadingError

    @property
    def leader_ip(self) -> str:
        """The IP of the leader, which may be this member; empty if no leader is known."""
        return address_of(self._group.leader or "")

    @property
    def newest_round(self) -> tuple[int, int]:
        """Term and number of the leader's newest heartbeat round that this member knows."""
        return self._group.newest_round

    def check_round(self, term: int, number: int) -> None:
        """Checks that this member, as the leader, sent the given round recently.

        Raises:
            NotLeadingError: This member does not lead.
            StaleCallError: The round belongs to another term or was sent too long ago.
        """
        if not self.ready:
            raise NotLeadingError
        if not self._group.is_recent_round(term, number, self._clock()):
            raise StaleCallError

    async def propose(self, command: Command) -> Result:
        """Commits a command; raises `NotLeadingError` or `CommandOutcomeUnknownError`."""
        if not self.ready:
            raise NotLeadingError
        try:
            result = await self._group.propose(encode_command(command))
        except (NotLeaderError, TooManyUncommittedError) as error:
            raise NotLeadingError from error
        except ConsensusError as error:
            raise CommandOutcomeUnknownError from error
        return cast(Result, result)

    async def read_barrier(self) -> None:
        """Waits until every entry committed before this call is applied; raises `NotLeadingError`."""
        if not self.ready:
            raise NotLeadingError
        try:
            async with asyncio.timeout(READ_BARRIER_TIMEOUT_S):
                await self._group.read_barrier()
        except (ConsensusError, TimeoutError) as error:
            raise NotLeadingError from error
