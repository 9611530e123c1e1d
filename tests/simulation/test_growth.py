"""How long a new control group tolerates fewer losses than it should: until its seeds are 2f + 1 voters."""

from tests.simulation.patches import installed
from tests.simulation.schedule import Role, Schedule
from tests.simulation.world import World

STEP_S = 0.01
GROWN_S = 0.6  # from the first leader to 2f + 1 voters that hold everything; machines start within 0.3 s
PATIENCE_S = 10.0


def seconds_from_leader_to_growth(seed: int, tolerated: int) -> float:
    """Returns the time from the first leader to 2f + 1 voters on whose disks everything is."""
    world = World(Schedule(seed, tolerated, ()))
    led_at: float | None = None
    with installed(world):
        while not _has_grown(world):
            world.run(world.loop.time() + STEP_S)
            if led_at is None and world.leader(Role.CONTROL) is not None:
                led_at = world.loop.time()
            assert world.loop.time() < PATIENCE_S
    world.loop.close()
    assert not world.failed
    assert led_at is not None
    return world.loop.time() - led_at


def _has_grown(world: World) -> bool:
    leader = world.leader(Role.CONTROL)
    if leader is None or leader.group is None or not leader.group.membership_is_committed:
        return False
    group = leader.group
    holders = [voter for voter in group.membership.voters if group.match(voter) >= group.commit_index]
    return len(holders) == 2 * world.tolerated + 1


def test_three_seeds_become_five_voters_soon_after_their_first_leader() -> None:
    times = {seed: seconds_from_leader_to_growth(seed, 2) for seed in range(1, 16)}
    assert max(times.values()) < GROWN_S, times
