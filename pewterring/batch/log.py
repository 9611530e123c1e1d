"""The interface of the replicated log that the batch layer uses."""

from typing import Protocol

from pewterring.batch.commands import Command, Outcome


class PartitionLog(Protocol):
    """The replicated log of one partition, as its leader uses it."""

    @property
    def is_leader(self) -> bool:
        """Whether this store leads the partition, as far as it knows."""

    @property
    def leader(self) -> str:
        """The member name of the leader, or an empty string if no leader is known."""

    def has_lease(self, now: float) -> bool:
        """Whether this store holds the leader's lease at `now`: no other store can lead then."""

    async def propose(self, command: Command) -> Outcome:
        """Commits and applies a command.

        Raises:
            NotLeadingError: Another store leads; the command is not applied.
            CommandRefusedError: Too many commands wait to be committed; the command is not applied.
            CommandOutcomeUnknownError: The command may be applied, now or later.
        """

    async def read_barrier(self) -> None:
        """Waits until all commands committed before the call are applied (Raft, section 8, read index).

        Raises:
            NotLeadingError: This store does not lead, or could not confirm that it does.
        """
