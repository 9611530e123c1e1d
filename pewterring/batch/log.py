"""What the batch layer needs of the partition's replicated group."""

from typing import Protocol

from pewterring.batch.commands import Command, Outcome


class PartitionLog(Protocol):
    """The replicated log of one partition, as its leader uses it."""

    @property
    def is_leader(self) -> bool:
        """Whether this store leads, as far as it knows."""

    @property
    def leader(self) -> str:
        """Member name of the leader, or an empty string where none is known."""

    def has_lease(self, now: float) -> bool:
        """Whether no other store can lead at `now`."""

    async def propose(self, command: Command) -> Outcome:
        """Commits and applies a command.

        Raises:
            NotLeadingError: Another store leads; the command is not applied.
            CommandRefusedError: Too much waits to be committed; the command is not applied.
            CommandOutcomeUnknownError: The command may be applied, now or later.
        """

    async def read_barrier(self) -> None:
        """Returns once all that was committed before the call is applied (Raft, section 8, read index).

        Raises:
            NotLeadingError: This store does not lead, or could not confirm that it does.
        """
