"""The choice among workers that are equally well: connections at rest, turns, and how slowness counts."""

import random

from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.chooser import SLOW_FROM, WorkerChooser
from pewterring.routing.prompt import NO_PROMPT
from pewterring.routing.worker_state import WorkerState

WORKERS = 12


def chooser(connected: set[str], place: float = 0.0, seed: int = 1) -> WorkerChooser:
    made = WorkerChooser("z", random.Random(seed), connected.__contains__)
    records = {
        f"w{n}": WorkerRecord(f"w{n}", "s", f"10.0.0.{n}:80", "z", 12, "ready") for n in range(WORKERS)
    }
    made.update(records, None)
    made.take_place(place)
    return made


def chosen(made: WorkerChooser) -> WorkerState:
    worker = made.choose(0.0, "s", NO_PROMPT)
    assert worker is not None
    return worker


def test_a_worker_to_which_a_connection_rests_comes_first() -> None:
    made = chooser({"10.0.0.7:80"})
    assert {chosen(made).record.id for _ in range(20)} == {"w7"}


def test_a_second_request_at_once_goes_elsewhere() -> None:
    connected = {"10.0.0.7:80"}
    made = chooser(connected)
    first = chosen(made)
    first.out += 1
    connected.clear()  # its connection is in use
    assert chosen(made) is not first


def test_processes_of_a_zone_begin_at_workers_of_their_own() -> None:
    first = [chosen(chooser(set(), place=index / 6)).record.id for index in range(6)]
    assert len(set(first)) == 6


def test_all_processes_know_the_same_order() -> None:
    assert {chosen(chooser(set(), 0.5, seed)).record.id for seed in range(8)} == {
        chosen(chooser(set(), 0.5)).record.id
    }


def test_a_little_slowness_moves_nobody_and_much_does() -> None:
    made = chooser(set())
    first = chosen(made)
    first.slowness = 0.9 * SLOW_FROM
    assert chosen(made) is first
    first.slowness = 2.5 * SLOW_FROM
    assert chosen(made) is not first
