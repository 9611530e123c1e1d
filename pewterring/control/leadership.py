"""The replicated group as the control layer uses it: typed commands, and this layer's own errors.

Owns the question whether this process leads and may answer. What may go wrong: the lease runs out between a
check and what follows it (docs/safety.md says for each caller why that is harmless), or the outcome of a
command stays unknown, which is an error of its own.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from pewterring.consensus.errors import ConsensusError, NotLeaderError, TooManyUncommittedError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership import address_of
from pewterring.control.commands import Command, Result, encode_command
from pewterring.control.errors import CommandOutcomeUnknownError, NotLeadingError, StaleCallError

READ_BARRIER_TIMEOUT_S = 0.8  # below the 0.9 s of a call, so that another leader can be tried


class Leadership(Protocol):
    """What answering calls needs of the group.

    All raise `NotLeadingError` or `CommandOutcomeUnknownError`.
    """

    async def propose(self, command: Command) -> Result:
        """Commits a command and gives the result of applying it."""

    async def read_barrier(self) -> None:
        """Returns once all that was committed before the call has been applied here."""

    def check_lease(self) -> None:
        """Raises `NotLeadingError` unless no other member can lead now."""


class GroupLeadership:
    """Commits commands and confirms reads. `ready` says that this leader has applied all that came before."""

    def __init__(self, group: ReplicatedGroup, clock: Callable[[], float]) -> None:
        self.ready = False
        self._group = group
        self._clock = clock

    @property
    def has_lease(self) -> bool:
        """Whether this process leads and no other can."""
        return self.ready and self._group.has_lease(self._clock())

    def check_lease(self) -> None:
        """Raises `NotLeadingError` without a lease."""
        if not self.has_lease:
            raise NotLeadingError

    @property
    def leader_ip(self) -> str:
        """The IP of the leader that this member follows or is; empty where none is known."""
        return address_of(self._group.leader or "")

    @property
    def newest_round(self) -> tuple[int, int]:
        """Term and number of the leader's newest heartbeat round that is known here."""
        return self._group.newest_round

    def check_round(self, term: int, number: int) -> None:
        """Checks that this leader sent that round a moment ago.

        Raises:
            NotLeadingError: This member does not lead.
            StaleCallError: The round is of another term, or too long ago.
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
        """Waits until all that was committed before is applied; raises `NotLeadingError`."""
        if not self.ready:
            raise NotLeadingError
        try:
            async with asyncio.timeout(READ_BARRIER_TIMEOUT_S):
                await self._group.read_barrier()
        except (ConsensusError, TimeoutError) as error:
            raise NotLeadingError from error
