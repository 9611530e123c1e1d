"""Each deliberate breakage is caught by the schedule that is named after it, which the real code stands."""

from dataclasses import replace

import pytest

from tests.simulation.named import NAMED
from tests.simulation.play import play

ATTEMPTS = 6  # seeds of one schedule, its own first: not each creates what the breakage needs


@pytest.mark.parametrize("name", NAMED)
def test_a_breakage_is_caught_and_the_real_code_is_not(name: str) -> None:
    breakage, schedule = NAMED[name]
    for seed in range(schedule.seed, schedule.seed + ATTEMPTS):
        variant = replace(schedule, seed=seed)
        with breakage():
            caught = play(variant).failed
        assert play(variant).violations == []
        if caught:
            return
    pytest.fail(f"{name} was not caught")
