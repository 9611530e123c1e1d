"""The choice among healthy workers: idle connections, the order of preference, and slowness."""

import random

from pewterring.configuration.model import ClientLimits, Configuration, Engine, Service
from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.chooser import SLOW_RATIO, WorkerChooser
from pewterring.routing.prompt import NO_PROMPT, Prompt
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


PROMPT = Prompt(((1, 100), (2, 10)), prompt_tokens=110)


def configuration(kv_tokens: int | None) -> Configuration:
    """A configuration that states the memory of the service's workers; without the service for None."""
    services = {} if kv_tokens is None else {"s": Service("s", engine=Engine(12, kv_tokens))}
    return Configuration(1, (), services, ClientLimits())


def cached_after(*kv_tokens: int | None) -> bool:
    """Whether a worker is known to have a prompt cached that it got after these configurations."""
    chooser = WorkerChooser("z", random.Random(1))
    records = {"w": WorkerRecord("w", "s", "10.0.0.1:80", "z", 12, "ready")}
    chooser.update(records, None)
    for each in kv_tokens:
        chooser.update(records, configuration(each))
    chooser.workers["w"].record_cached(PROMPT)
    return chooser.workers["w"].has_cached(1)


# Guards against a memory of 0 for each worker that was known before the first configuration of its service:
# no prompt counted as cached there, so requests that share one went to any worker and were read again.
def test_the_memory_of_a_known_worker_follows_the_newest_configuration() -> None:
    assert cached_after(1000)
    assert cached_after(10, 1000)
    assert cached_after(1000, None)
    assert not cached_after(1000, 10)
