"""Planned replacements read to the letter, of each kind of group, with the other losses at that instant."""

import pytest

from tests.simulation.named import STOPPED_AT_S, replaced_to_the_letter
from tests.simulation.play import play
from tests.simulation.schedule import On

SEEDS = range(1, 4)


@pytest.mark.parametrize("on", On)
@pytest.mark.parametrize("tolerated", [1, 2])
def test_as_many_disks_as_may_be_lost_go_as_the_old_machine_ends(on: On, tolerated: int) -> None:
    for seed in SEEDS:
        verdict = play(replaced_to_the_letter(seed, tolerated, on, STOPPED_AT_S))
        assert not verdict.violations, verdict
        assert sum("wipe" in line and "replaced" in line for line in verdict.log) == tolerated
        gone = next(line.split()[0] for line in verdict.log if line.endswith("is gone"))
        assert all(line.startswith(gone) for line in verdict.log if "wipe" in line), "at that instant"
