"""What of the control state changed since the feed last published: which tables, and which workers."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class StateChanges:
    """Marks that the tables of the state set as commands are applied."""

    configuration: bool = False
    worker_ids: set[str] = field(default_factory=set)  # new, changed and removed ones
    placements: bool = False
    decommissionings: bool = False

    def take(self) -> "StateChanges":
        """Returns a copy of the marks and clears them."""
        taken = StateChanges(self.configuration, self.worker_ids, self.placements, self.decommissionings)
        self.configuration = self.placements = self.decommissionings = False
        self.worker_ids = set()
        return taken

    def mark_all(self, worker_ids: set[str]) -> None:
        """Marks all tables and these workers, as after a snapshot was restored."""
        self.configuration = self.placements = self.decommissionings = True
        self.worker_ids = worker_ids
