"""The soak, short and seeded: real processes under overlapping signals, restarts and configurations."""

import pytest

from benchmarks.soak.play import Size, run_seed

SIZE = Size(events=2)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_is_broken_under_overlapping_disturbances(seed: int) -> None:
    report = run_seed(seed, SIZE)
    assert not report.judge(), report.summary()
    assert report.workers["repeated"]
    assert report.streams["complete"]
    assert report.items["succeeded"]


# Guards against stores of which none stands for election after all have lost their first disks.
def test_jobs_are_read_after_disks_were_lost_in_turn_and_all_processes_ended() -> None:
    report = run_seed(1, Size(events=1, lost_disks=3))
    assert not report.judge(), report.summary()
    assert report.events["end of all"] == 1
    assert report.items["succeeded"]


def test_no_rule_is_broken_while_configurations_are_large() -> None:
    """Guards against a configuration of 4 MiB that holds the event loop of any program."""
    report = run_seed(6, Size(events=2, routes=2900))
    assert not report.judge(), report.summary()
    assert report.streams["complete"]
