"""Records which tables and workers of the control state changed since the feed last published them."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class StateChanges:
    """Flags and worker ids that the tables of the state set when they apply commands."""

    configuration: bool = False
    worker_ids: set[str] = field(default_factory=set)  # added, changed and removed workers
    placements: bool = False
    decommissionings: bool = False

    def take(self) -> "StateChanges":
        """Returns a copy of the recorded changes and clears them."""
        taken = StateChanges(self.configuration, self.worker_ids, self.placements, self.decommissionings)
        self.configuration = self.placements = self.decommissionings = False
        self.worker_ids = set()
        return taken

    def mark_all(self, worker_ids: set[str]) -> None:
        """Records all tables and the given workers as changed, after a snapshot was restored."""
        self.configuration = self.placements = self.decommissionings = True
        self.worker_ids = worker_ids
