"""The emulator: one seed, one run; its machines do as the pages say."""

import os
import subprocess
import sys
from collections import deque
from typing import Any, cast

import pytest

from pewterring.lab.calls import Attempt
from pewterring.lab.counter import CounterService
from pewterring.lab.engine import START, Engine
from pewterring.lab.faults import prepare
from pewterring.lab.policies import POLICIES
from pewterring.lab.schema import Counters, Workers
from pewterring.lab.stores import Store
from pewterring.lab.streams import Stream
from pewterring.lab.workers import Worker
from pewterring.lab.world import World
from pewterring.standalone.policy import interface as i
from tests.lab.scenarios import SMALL, play, small

PLAY = """
from tests.lab.scenarios import SMALL, play, small
faults = [{"kind": "kill", "at_s": 1.0, "for_s": 1.0}, {"kind": "message_loss", "at_s": 2.0, "share": 0.5}]
print(play(small(faults=faults), seed=5)[0].to_json().decode())
"""


def test_one_seed_gives_the_same_bytes_whatever_the_process() -> None:
    said = {
        subprocess.run(
            [sys.executable, "-c", PLAY],
            env={**os.environ, "PYTHONHASHSEED": n},
            check=True,
            capture_output=True,
        ).stdout
        for n in ("1", "2")
    }
    assert len(said) == 1
    assert len(said.pop()) > 1000
    assert play(small(), seed=5)[0].to_json() != play(small(), seed=6)[0].to_json()


def test_one_actor_more_does_not_reshuffle_the_others() -> None:
    def arrivals(scenario: Any) -> list[tuple[int, float, float]]:
        world, came = World(scenario, 3), []
        world.demand.ask = lambda intent: came.append((intent.customer.id, intent.asked, intent.work))
        world.run()
        return came

    before = arrivals(small())
    assert len(before) > 100
    assert arrivals(small(workers={"count": 7})) == before
    assert Stream(1, "worker", 4).uniform() != Stream(1, "worker", 5).uniform()
    a, b = Stream(1, "worker", 4), Stream(1, "worker", 4)
    b.normal()  # one kind of draw does not move another
    assert [a.uniform() for _ in range(50)] == [b.uniform() for _ in range(50)]


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_baselines_play_to_the_end_or_break_a_rule(policy: str) -> None:
    result, _ = play(small(), policy=policy)
    assert result.counts["served"] > 0
    assert not result.broken


def test_a_gatekeeper_that_stands_still_is_excused_and_answers_later() -> None:
    result, world = play(small(faults=[{"kind": "freeze", "at_s": 2.0, "for_s": 3.0, "part": 1.0}]))
    assert not result.broken
    assert all(not h.backlog for h in world.hosts)
    assert result.counts["never_answered"] + result.counts["late"] + result.counts["failed"] > 0


def test_a_planned_restart_loses_nothing() -> None:
    everywhere = [{"name": "basic", "refill": 1.0, "depth": 4.0, "spread": [1.0, 1.0]}]
    restart = {"kind": "restart", "at_s": 1.0, "for_s": 4.0, "part": 1.0, "batches": 4}
    # A costly request that is out for the whole of a short deadline fails, restart or not.
    patient = [{**cls, "deadline_s": 20.0} for cls in SMALL["classes"]]
    result, world = play(small(faults=[restart], plans=everywhere, classes=patient))
    assert not result.broken
    assert [h.life for h in world.hosts] == [3] * 4
    assert result.counts["unreachable"] == result.counts["failed"] == 0


class Setting:
    """A worker alone, with what it has done."""

    def __init__(self, **setup: Any) -> None:
        self.engine = Engine()
        self.ends: list[tuple[int, float, i.Code]] = []
        self.fell, self.foreseeable = 0, False
        kept = Workers(**{"cores": 1, "slots_per_core": 4.0, "queue_per_core": 2.0, "speed_cv": 0.0, **setup})
        self.worker = Worker(
            self.engine,
            0,
            "a",
            0,
            kept,
            0.1,
            Stream(1, "worker"),
            self.done,
            self.falls,
            lambda attempt: None,
        )

    def done(self, attempt: Attempt, code: i.Code) -> None:
        self.ends.append((attempt.number, round(self.engine.now - START, 6), code))

    def falls(self, worker: Worker) -> None:
        self.fell += 1
        self.foreseeable = worker.foreseeable(self.engine.now)
        worker.lose_all()

    def send(self, number: int, work: float, not_after: float = 1e9) -> Attempt:
        cls = type("R", (), {"work_s": 0.1})
        intent = type("I", (), {"begun": 0, "ran_at": [], "cls": cls})()
        call = type("C", (), {"intent": intent, "not_after": not_after})()
        attempt = Attempt(cast(Any, type("K", (), {"gatekeeper": 0})()), number, 0, self.engine.now, work)
        attempt.call, attempt.arrived, attempt.life, attempt.told_start = call, True, self.worker.life, True
        self.worker.take(attempt)
        return attempt


def test_a_worker_shares_its_cores_evenly() -> None:
    s = Setting()
    s.send(0, 0.1)
    s.send(1, 0.3)
    s.engine.run(START + 5)
    assert s.ends == [(0, 0.2, i.Code.OK), (1, 0.4, i.Code.OK)]
    assert s.worker.worked == pytest.approx(0.4)


def test_its_queue_is_bounded_and_drops_what_nobody_waits_for() -> None:
    s = Setting()
    for n in range(7):
        s.send(n, 0.1, not_after=START + (0.1 if n == 4 else 99))
    assert s.ends == [(6, 0.0, i.Code.RESOURCE_EXHAUSTED)]
    s.engine.run(START + 5)
    assert (4, 0.4, i.Code.RESOURCE_EXHAUSTED) in s.ends
    assert sorted(n for n, _, code in s.ends if code == i.Code.OK) == [0, 1, 2, 3, 5]


@pytest.mark.parametrize(("cancel", "second"), [("all", 0.25), ("queued", 0.4), ("none", 0.4)])
def test_cancelled_work_stops_where_the_scenario_says(cancel: str, second: float) -> None:
    s = Setting(cancel=cancel)
    first, _ = s.send(0, 0.3), s.send(1, 0.2)
    s.engine.run(START + 0.1)
    s.worker.stop(first)
    s.engine.run(START + 5)
    assert (1, second, i.Code.OK) in s.ends
    assert (0 in [n for n, _, _ in s.ends]) == (cancel != "all")


def test_a_cold_worker_warms_and_falls_over_under_too_much() -> None:
    s = Setting(cold_share=0.25, cold_s=8.0, fall_multiple=2.0)
    s.worker.restart(START)
    s.send(0, 0.1)
    s.engine.run(START + 7)
    assert 0.25 < s.ends[0][1] < 0.4  # a quarter of the speed, and rising
    assert s.worker.warmth(START + 4) == pytest.approx(0.625)
    s.worker.restart(START + 7)
    for n in range(40):
        s.send(n, 0.1)
        if s.fell:
            break
    # 2 x 0.25 cores x 1 s, and three mean requests for chance, are 0.8 s of work.
    assert s.fell == 1
    assert n == 8
    assert s.foreseeable
    assert s.worker.in_service == 0


def test_what_no_sender_can_know_is_nobodys_fault() -> None:
    s = Setting(cold_share=0.25, cold_s=8.0, fall_multiple=2.0)
    s.worker.restart(START)
    s.send(0, 5.0)
    assert s.fell == 1
    assert not s.foreseeable
    s.worker.restart(START)
    s.worker.slow = 20.0
    for n in range(1, 5):
        s.send(n, 0.1)
    assert s.fell == 2
    assert not s.foreseeable


def test_connections_are_kept_capped_and_lapse() -> None:
    s = Setting(connections=2, idle_s=4.0)
    w = s.worker
    assert w.connect(1, START) is False
    assert w.connect(2, START) is False
    assert w.connect(3, START) is None
    w.release(1, START, True)
    assert w.connect(1, START + 1) is True
    w.release(1, START + 1, True)
    assert w.connect(3, START + 2) is None  # an idle one is another's
    assert w.connect(3, START + 5.1) is False  # it has lapsed
    w.release(2, START + 6, False)
    assert w.open == 1
    assert w.idle[1] == deque()


def test_true_stores_fill_and_hold() -> None:
    store = Store(2.0, 4.0, 0.0)
    assert [store.take(0.0, 2.0) for _ in range(3)] == [True, True, False]
    assert store.take(0.5, 1.0)
    assert not store.has(0.5, 0.1)
    assert store.refill(100.0) == 4.0
    assert Store(0.0, 0.0, 0.0).take(1.0, 99.0)


def test_the_counter_service_counts_turns_away_forgets_and_splits() -> None:
    engine, heard = Engine(), []
    counter = CounterService(engine, Counters(parts=1, per_s=100.0, line=5, timeout_s=0.03))

    def add(side: int = 0, amount: float = 1.0) -> None:
        counter.add(side, 7, amount, 10.0, lambda code, took, total: heard.append((code, total)))

    for _ in range(8):
        add()
    engine.run(START + 1)
    assert heard.count((i.Code.RESOURCE_EXHAUSTED, 0.0)) == 3
    assert (i.Code.OK, 2.0) in heard
    assert (i.Code.DEADLINE_EXCEEDED, 0.0) in heard
    total = counter.numbers[0][7][0]
    assert total == 5.0  # also those whose answers came too late
    counter.begin_split()
    add(side=1)
    engine.run(START + 2)
    assert counter.numbers[1][7][0] == 6.0
    assert counter.numbers[0][7][0] == 5.0
    counter.end_split()
    counter.forget()
    add()
    engine.run(START + 3)
    assert heard[-1] == (i.Code.OK, 1.0)
    engine.run(START + 20)
    counter.sweep()
    assert counter.numbers[0] == {}


TWICE: dict[str, Any] = {
    "zone_cut": lambda w: (dict(w.cut), dict(w.clients_cut)),
    "keeper_silent": lambda w: bool(w.counter.silent),
    "keeper_empty": lambda w: bool(w.counter.silent),
    "keeper_split": lambda w: bool(w.counter.split),
    "retry_storm": lambda w: (w.retries, bool(w.storm)),
    "traffic_shift": lambda w: dict(w.front.damped),
    "freeze": lambda w: [bool(h.frozen) for h in w.hosts],
}


@pytest.mark.parametrize("kind", sorted(TWICE))
def test_a_fault_ends_only_what_it_began(kind: str) -> None:
    """Of two that overlap the end of the first ended the second as well, or left its mark for good."""
    active = TWICE[kind]
    fault: dict[str, Any] = {"kind": kind, "at_s": 1.0, "for_s": 2.0}
    fault |= {"zone": "b"} if kind in ("zone_cut", "traffic_shift") else {}
    fault |= {"clients": True} if kind == "zone_cut" else {"to": 0.0} if kind == "traffic_shift" else {}
    fault |= {"part": 1.0} if kind == "freeze" else {}
    second = fault | {"at_s": 2.0} | ({"retries": 9} if kind == "retry_storm" else {})
    world = prepare(small(faults=[fault, second], load={"rate": 5.0}), 1)
    seen: list[Any] = []
    for at in (0.9, 2.5, 3.5, 4.5):
        world.engine.at(START + at, lambda: seen.append(active(world)))
    assert not world.run().broken
    before, both, last, after = seen
    assert before == after
    assert before not in (both, last)
