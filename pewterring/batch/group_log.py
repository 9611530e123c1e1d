"""The partition's log on a replicated group. Translates consensus errors into those of the batch layer."""

from pewterring.batch.commands import Command, Outcome, encode_command
from pewterring.batch.errors import CommandOutcomeUnknownError, CommandRefusedError, NotLeadingError
from pewterring.consensus.errors import ConsensusError, NotLeaderError, TooManyUncommittedError
from pewterring.consensus.group import ReplicatedGroup


class GroupLog:
    """Implements `PartitionLog` with a replicated group."""

    def __init__(self, group: ReplicatedGroup) -> None:
        self._group = group

    @property
    def is_leader(self) -> bool:
        """See `PartitionLog`."""
        return self._group.is_leader

    @property
    def leader(self) -> str:
        """See `PartitionLog`."""
        return self._group.leader or ""

    def has_lease(self, now: float) -> bool:
        """See `PartitionLog`."""
        return self._group.has_lease(now)

    async def propose(self, command: Command) -> Outcome:
        """See `PartitionLog`."""
        try:
            outcome = await self._group.propose(encode_command(command))
        except NotLeaderError as error:
            raise NotLeadingError(self._error_text(error)) from error
        except TooManyUncommittedError as error:
            raise CommandRefusedError(self._error_text(error)) from error
        except ConsensusError as error:
            raise CommandOutcomeUnknownError(self._error_text(error)) from error
        assert isinstance(outcome, Outcome)
        return outcome

    async def read_barrier(self) -> None:
        """See `PartitionLog`."""
        try:
            await self._group.read_barrier()
        except ConsensusError as error:
            raise NotLeadingError(self._error_text(error)) from error

    def _error_text(self, error: ConsensusError) -> str:
        return f"group {self._group.group}: {error}"
