"""Checks that enough voters hold everything, and measures how long that takes after a loss."""

from typing import TYPE_CHECKING

from tests.simulation.losses import Losses
from tests.simulation.schedule import Role

if TYPE_CHECKING:
    from tests.simulation.world import World

CHECK_INTERVAL_S = 0.1
GRACE_S = 1.0  # after the last loss: connections that were reset are up again by then


class Redundancy:
    """Watches one group. `longest_s` is the longest time from a machine's return to full redundancy."""

    def __init__(self, world: "World", losses: Losses, role: Role, group: str) -> None:
        self._world = world
        self._losses = losses
        self._on = role
        self._group = group
        self._committed = 0  # the highest index at the previous check
        self._complete_at = 0.0
        self._calm_since: float | None = None
        self.longest_s = 0.0

    def begin(self) -> None:
        """Starts the periodic check."""
        self._check()

    def _check(self) -> None:
        world = self._world
        now = world.loop.time()
        if world.failed:
            return
        world.loop.call_outside(now + CHECK_INTERVAL_S, self._check)
        if self._is_complete():
            self._record_repair(now)
            self._complete_at = now
        self._committed = world.invariants.committed(self._group)
        if self._losses.free(now) < world.tolerated:
            self._calm_since = None
            return
        if self._calm_since is None:
            self._calm_since = now
        if now - max(self._calm_since, self._complete_at) > GRACE_S:
            world.invariants.record_violation(
                f"{self._group}: no machine is lost, and too few voters hold all "
                f"since {self._complete_at:.2f}"
            )

    def _record_repair(self, now: float) -> None:
        back = self._losses.last_back
        if self._complete_at < back < now and now - self._complete_at > 2 * CHECK_INTERVAL_S:
            self.longest_s = max(self.longest_s, now - back)

    def _is_complete(self) -> bool:
        """Whether enough voters, by the names that run now, hold what was committed at the previous check."""
        leader = self._world.leader(self._on)
        if leader is None or leader.group is None:
            return False
        group = leader.group
        running = {
            machine.group.member
            for machine in self._world.present_machines(self._on)
            if machine.group is not None
        }
        holders = [
            voter
            for voter in group.membership.voters
            if voter in running and group.match(voter) >= self._committed
        ]
        return len(holders) >= 2 * self._world.tolerated + 1
