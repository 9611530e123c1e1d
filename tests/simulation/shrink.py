"""Shrinks a failing schedule: removes faults for as long as it still fails."""

from collections.abc import Callable
from dataclasses import replace

from tests.simulation.schedule import Schedule


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Returns the shortest schedule found: none of its faults can be removed alone."""
    step = len(schedule.faults) // 2
    while step >= 1:
        start = 0
        while start < len(schedule.faults):
            shorter = replace(schedule, faults=schedule.faults[:start] + schedule.faults[start + step :])
            if fails(shorter):
                schedule = shorter
            else:
                start += step
        step //= 2
    return schedule
