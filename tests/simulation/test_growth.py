"""How long a new control group tolerates fewer losses than it should: until its seeds are 2f + 1 voters."""

import pytest

from tests.simulation.patches import installed
from tests.simulation.schedule import Role
from tests.simulation.world import START_S, World

STEP_S = 0.01
LATEST_LEADER_S = 0.8  # the longest election time-out; nothing is known of an earlier leader
GROWN_S = 0.6  # from the first leader, or the last start, to 2f + 1 voters that hold everything


def seconds_until_grown(seed: int, tolerated: int) -> float:
    """Returns the time from the first start to 2f + 1 voters on whose disks everything is."""
    world = World(seed, tolerated)
    with installed(world):
        while not _has_grown(world):
            world.run(world.loop.time() + STEP_S)
            assert world.loop.time() < 10.0
    world.loop.close()
    assert not world.failed
    return world.loop.time()


def _has_grown(world: World) -> bool:
    leader = world.leader(Role.CONTROL)
    if leader is None or leader.group is None or not leader.group.membership_is_committed:
        return False
    group = leader.group
    holders = [voter for voter in group.membership.voters if group.match(voter) >= group.commit_index]
    return len(holders) == 2 * world.tolerated + 1


@pytest.mark.parametrize("seed", range(1, 9))
def test_three_seeds_become_five_voters_soon_after_their_first_leader(seed: int) -> None:
    assert seconds_until_grown(seed, 2) < START_S[1] + LATEST_LEADER_S + GROWN_S
