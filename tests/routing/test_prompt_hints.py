"""Hints about prompts and waits: their encoding, their budget, and their effect on the choice of a worker."""

import random

import pytest

from pewterring.configuration.model import ClientLimits, Configuration, Engine, Service
from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.prompt import read_prompt
from pewterring.routing.prompt_hints import (
    MAX_WAIT_S,
    HintBudget,
    WaitHint,
    make_hint,
    read_hint,
    read_wait_hint,
    worker_number,
    write_hint,
    write_wait_hint,
)

CONFIGURATION = Configuration(
    version=1,
    routes=(),
    services={"s": Service("s", engine=Engine(capacity=24, kv_tokens=100_000))},
    limits=ClientLimits(),
    document=b"",
)


def chooser_with(workers: int) -> WorkerChooser:
    chooser = WorkerChooser("z", random.Random(3))
    records = {
        f"w{index}": WorkerRecord(f"w{index}", "s", f"10.0.0.{index}:80", "z", 24, "ready")
        for index in range(workers)
    }
    chooser.update(records, CONFIGURATION)
    return chooser


def test_an_encoded_hint_can_be_decoded_and_omits_the_last_block() -> None:
    prompt = read_prompt("aa:13000,bb:3700", "16700,100")
    hint = make_hint("w1", 16700, prompt)
    assert read_hint(write_hint(hint)) == hint
    assert hint.blocks == prompt.blocks[:1]


def test_data_that_is_not_a_hint_is_rejected() -> None:
    data = write_hint(make_hint("w1", 5, read_prompt("aa:1,bb:2", "3,1")))
    assert read_hint(data[:-1]) is None
    assert read_hint(b"XX1" + data[3:]) is None
    assert read_hint(b"") is None


def test_a_worker_is_avoided_during_a_long_prefill_for_another_gateway() -> None:
    chooser = chooser_with(2)
    small = read_prompt("cc:500", "500,100")
    chooser.workers["w0"].record_announced_prefill(10.0, 0.2, ())
    assert all(chooser.choose(10.0, "s", small) is chooser.workers["w1"] for _ in range(10))
    assert any(chooser.choose(10.3, "s", small) is chooser.workers["w0"] for _ in range(20))


def test_a_prompt_goes_to_the_worker_that_cached_its_shared_blocks_for_another_gateway() -> None:
    chooser = chooser_with(8)
    prompt = read_prompt("aa:13000,bb:700", "13700,100")
    chooser.workers["w5"].record_announced_prefill(0.0, 0.1, prompt.blocks[:-1])
    assert chooser.choose(1.0, "s", prompt) is chooser.workers["w5"]


def test_if_no_worker_is_known_to_have_the_blocks_cached_all_gateways_choose_the_same_one() -> None:
    prompt = read_prompt("aa:13000,bb:700", "13700,100")
    chosen = set()
    for _ in range(5):
        worker = chooser_with(8).choose(0.0, "s", prompt)
        assert worker is not None
        chosen.add(worker.record.id)
    assert len(chosen) == 1


def test_prompts_with_shared_blocks_avoid_a_suspect_worker() -> None:
    prompt = read_prompt("aa:13000,bb:700", "13700,100")
    chooser = chooser_with(8)
    preferred = chooser.choose(0.0, "s", prompt)
    assert preferred is not None
    preferred.record_failure(0.0)
    assert chooser.choose(0.1, "s", prompt) is not preferred


def test_the_budget_limits_hints_and_is_refilled() -> None:
    budget = HintBudget(0.0)
    assert budget.take(0.0, 40, 10) == 10
    allowed = sum(budget.take(0.0, 40, 400) for _ in range(10))
    assert allowed < 100
    assert budget.take(0.0, 40, 10) == 0
    assert budget.take(1.0, 40, 10) == 10


def test_an_encoded_wait_hint_can_be_decoded_and_is_bounded() -> None:
    hint = WaitHint(worker_number("w1"), 0.25)
    assert read_wait_hint(write_wait_hint(hint)) == hint
    assert read_wait_hint(write_wait_hint(WaitHint(1, 1e9))) == WaitHint(1, MAX_WAIT_S)
    assert read_hint(write_wait_hint(hint)) is None
    for data in (b"", write_wait_hint(hint)[:-1], write_hint(make_hint("w1", 5, read_prompt("a:1", "1,1")))):
        assert read_wait_hint(data) is None


def test_waits_announced_by_several_gateways_do_not_add_up() -> None:
    chooser = chooser_with(2)
    worker = chooser.workers["w0"]
    for _ in range(5):
        worker.expect_wait(10.0, 0.2)
    assert worker.unexplained_wait_s(10.0) == pytest.approx(0.2)
    assert worker.announced_prefill_s(10.0) == 0.0  # the concurrency limit must treat such a wait as queueing
    small = read_prompt("cc:500", "500,100")
    assert all(chooser.choose(10.0, "s", small) is chooser.workers["w1"] for _ in range(10))
