"""Looks whether as many voters as wanted hold everything, and how long that takes after a loss."""

from typing import TYPE_CHECKING

from tests.simulation.losses import Losses
from tests.simulation.schedule import On

if TYPE_CHECKING:
    from tests.simulation.world import World

CHECK_INTERVAL_S = 0.1
GRACE_S = 1.0  # from a moment without losses on: connections that were reset are up again by then


class Redundancy:
    """One group's. `longest_s` is the longest time from the return of a machine to whole redundancy."""

    def __init__(self, world: "World", losses: Losses, on: On, group: str) -> None:
        self._world = world
        self._losses = losses
        self._on = on
        self._group = group
        self._committed = 0  # at the look before
        self._whole_at = 0.0
        self._calm_since: float | None = None
        self.longest_s = 0.0

    def begin(self) -> None:
        """Looks from now on."""
        self._check()

    def _check(self) -> None:
        world = self._world
        now = world.loop.time()
        if world.failed:
            return
        world.loop.call_outside(now + CHECK_INTERVAL_S, self._check)
        if self._is_whole():
            self._note_repair(now)
            self._whole_at = now
        self._committed = world.watch.committed(self._group)
        if self._losses.free(now) < world.tolerated:
            self._calm_since = None
            return
        if self._calm_since is None:
            self._calm_since = now
        if now - max(self._calm_since, self._whole_at) > GRACE_S:
            world.watch.violation(
                f"{self._group}: no machine is lost, and too few voters hold all since {self._whole_at:.2f}"
            )

    def _note_repair(self, now: float) -> None:
        back = self._losses.last_back
        if self._whole_at < back < now and now - self._whole_at > 2 * CHECK_INTERVAL_S:
            self.longest_s = max(self.longest_s, now - back)

    def _is_whole(self) -> bool:
        """Whether enough voters, by the names that run now, hold what was committed at the look before."""
        leader = self._world.leader(self._on)
        if leader is None or leader.group is None:
            return False
        group = leader.group
        running = {
            machine.group.member for machine in self._world.core(self._on) if machine.group is not None
        }
        holders = [
            voter
            for voter in group.membership.voters
            if voter in running and group.match(voter) >= self._committed
        ]
        return len(holders) >= 2 * self._world.tolerated + 1
