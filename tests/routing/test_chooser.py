"""The choice among healthy workers: idle connections, the order of preference, and slowness."""

import random

from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.chooser import SLOW_RATIO, WorkerChooser
from pewterring.routing.prompt import NO_PROMPT
from pewterring.routing.worker_state import WorkerState

WORKERS = 12


def new_chooser(connected: set[str], position: float = 0.0, seed: int = 1) -> WorkerChooser:
    chooser = WorkerChooser("z", random.Random(seed), connected.__contains__)
    records = {
        f"w{index}": WorkerRecord(f"w{index}", "s", f"10.0.0.{index}:80", "z", 12, "ready")
        for index in range(WORKERS)
    }
    chooser.update(records, None)
    chooser.set_position(position)
    return chooser


def chosen_worker(chooser: WorkerChooser) -> WorkerState:
    worker = chooser.choose(0.0, "s", NO_PROMPT)
    assert worker is not None
    return worker


def test_a_worker_with_an_idle_connection_is_preferred() -> None:
    chooser = new_chooser({"10.0.0.7:80"})
    assert {chosen_worker(chooser).record.id for _ in range(20)} == {"w7"}


def test_a_concurrent_request_goes_to_another_worker() -> None:
    connected = {"10.0.0.7:80"}
    chooser = new_chooser(connected)
    first = chosen_worker(chooser)
    first.in_flight += 1
    connected.clear()  # its connection is in use
    assert chosen_worker(chooser) is not first


def test_processes_of_a_zone_prefer_different_workers() -> None:
    first = [chosen_worker(new_chooser(set(), position=index / 6)).record.id for index in range(6)]
    assert len(set(first)) == 6


def test_processes_at_the_same_position_choose_the_same_worker() -> None:
    assert {chosen_worker(new_chooser(set(), 0.5, seed)).record.id for seed in range(8)} == {
        chosen_worker(new_chooser(set(), 0.5)).record.id
    }


def test_slight_slowness_does_not_change_the_choice_and_great_slowness_does() -> None:
    chooser = new_chooser(set())
    first = chosen_worker(chooser)
    first.slowness = 0.9 * SLOW_RATIO
    assert chosen_worker(chooser) is first
    first.slowness = 2.5 * SLOW_RATIO
    assert chosen_worker(chooser) is not first
