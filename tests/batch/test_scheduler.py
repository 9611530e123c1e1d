"""The scheduler of batch items: order, backoff and retries, resumption, and giving up."""

from collections.abc import Mapping
from dataclasses import replace

import pytest

from pewterring.batch.backoff import MAX_BACKOFF_S, MAX_DEFERRED_BACKOFF_S
from pewterring.batch.deferred_items import MAX_BURST, STARTS_PER_S, TURN_INTERVAL_S
from pewterring.batch.items import DEFER_AFTER_ATTEMPTS, Failure, QueuedItem
from pewterring.batch.job_limits import JobLimits
from pewterring.batch.messages import ItemSpec
from pewterring.batch.route_failures import MOSTLY_FAILING_SCORE
from pewterring.batch.scheduler import ItemScheduler
from tests.batch.stand_ins import ROUTE, item

OTHER_ROUTE = ("h.example", "/other/")
LIMITS = JobLimits(due_at=10.0, give_up_at=60.0, max_attempts=2)


def add(
    scheduler: ItemScheduler,
    job: str,
    *items: ItemSpec,
    limits: JobLimits = LIMITS,
    route: tuple[str, str] = ROUTE,
    failed_attempts: Mapping[str, int] | None = None,
) -> None:
    scheduler.add_job(
        job,
        route,
        items,
        limits,
        failed_attempts or {},
    )


def names(items: list[QueuedItem]) -> list[str]:
    return [entry.spec.id for entry in items]


def start_one(scheduler: ItemScheduler, now: float) -> QueuedItem:
    (started,) = scheduler.items_to_start(now, 1)
    return started


def test_the_earliest_due_job_starts_first_and_its_largest_items_first() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "later", item("l1"), limits=replace(LIMITS, due_at=20))
    add(
        scheduler,
        "sooner",
        item("small", 5),
        item("large", 50),
        item("middle", 20),
        limits=replace(LIMITS, due_at=10),
    )
    assert names(scheduler.items_to_start(0.0, 2)) == ["large", "middle"]
    assert names(scheduler.items_to_start(0.0, 5)) == ["small", "l1"]
    assert not scheduler.has_ready


def test_jobs_that_cannot_meet_their_due_time_start_after_the_others() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "missed", item("m1"), limits=replace(LIMITS, due_at=10))
    add(scheduler, "possible", item("p1"), limits=replace(LIMITS, due_at=30))
    assert names(scheduler.items_to_start(11.0, 2)) == ["p1", "m1"]


def test_a_route_without_capacity_does_not_block_another() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "first", item("f1"), limits=replace(LIMITS, due_at=10))
    add(scheduler, "second", item("s1"), limits=replace(LIMITS, due_at=20), route=OTHER_ROUTE)
    started = scheduler.start(0.0, lambda entry: entry.route == OTHER_ROUTE)
    assert names(started) == ["s1"]
    assert scheduler.has_ready


@pytest.mark.parametrize(
    ("failure", "max_backoff_s"),
    [(Failure.UNREACHABLE, MAX_BACKOFF_S), (Failure.DECLINED, MAX_DEFERRED_BACKOFF_S)],
)
def test_an_item_that_was_not_run_backs_off_and_never_becomes_a_dead_letter(
    failure: Failure, max_backoff_s: float
) -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"))
    now = 0.0
    for _ in range(20):
        entry = start_one(scheduler, now)
        assert not scheduler.on_failure(entry, failure, now)
        assert scheduler.items_to_start(now, 1) == []
        deadline = scheduler.next_deadline()
        assert deadline is not None
        assert now < deadline <= now + max_backoff_s
        now = deadline
    assert entry.failed_attempts == 0


def test_an_item_is_given_up_at_its_routes_limit_of_failed_attempts() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"))
    entry = start_one(scheduler, 0.0)
    assert not scheduler.on_failure(entry, Failure.FAILED, 0.0)
    entry = start_one(scheduler, 1.0)
    assert scheduler.on_failure(entry, Failure.FAILED, 1.0)
    assert "j" not in scheduler


def test_failed_attempts_of_earlier_leaders_count() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"), failed_attempts={"i": 1})
    assert scheduler.on_failure(start_one(scheduler, 0.0), Failure.FAILED, 0.0)


def test_an_impossible_item_is_given_up_at_once() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"), item("k"))
    entry = start_one(scheduler, 0.0)
    assert scheduler.on_failure(entry, Failure.IMPOSSIBLE, 0.0)
    assert "j" in scheduler


def test_a_truncated_item_keeps_its_text_and_resumes_before_other_items() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("truncated", 10), item("other", 5))
    entry = start_one(scheduler, 0.0)
    scheduler.on_progress(entry, "1", "a")
    scheduler.on_progress(entry, "2", "b")
    scheduler.on_failure(entry, Failure.TRUNCATED, 0.0)
    resumed = start_one(scheduler, 1.0)
    assert resumed is entry
    assert resumed.last_event_id == "2"
    scheduler.on_progress(resumed, "3", "c")
    assert scheduler.on_success(resumed, 2.0)
    assert resumed.text == "a\nb\nc"


def test_running_and_ready_items_are_given_up_at_the_give_up_time() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("running", 9), item("waiting", 1), limits=replace(LIMITS, give_up_at=5))
    running = start_one(scheduler, 0.0)
    assert scheduler.expire(4.9) == []
    assert set(names(scheduler.expire(5.0))) == {"running", "waiting"}
    assert not scheduler.on_success(running, 6.0)
    assert not scheduler.on_failure(running, Failure.IMPOSSIBLE, 6.0)


def test_the_outcome_of_an_item_whose_job_has_ended_changes_nothing() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"), item("k"))
    entry = start_one(scheduler, 0.0)
    scheduler.end_job("j")
    assert not scheduler.on_success(entry, 1.0)
    assert scheduler.items_to_start(1.0, 5) == []


def test_the_outcome_of_an_item_from_before_a_clear_does_not_affect_the_new_queue() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"))
    old = start_one(scheduler, 0.0)
    scheduler.clear()
    add(scheduler, "j", item("i"))
    assert not scheduler.on_success(old, 1.0)
    assert not scheduler.on_failure(old, Failure.IMPOSSIBLE, 1.0)
    assert names(scheduler.items_to_start(1.0, 1)) == ["i"]


@pytest.mark.parametrize("failure", [Failure.TRUNCATED, Failure.UNREACHABLE, Failure.DECLINED])
def test_removing_a_route_removes_items_in_backoff_too(failure: Failure) -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"), item("k"))
    scheduler.on_failure(start_one(scheduler, 0.0), failure, 0.0)
    assert set(names(scheduler.remove_route(ROUTE))) == {"i", "k"}
    assert scheduler.items_to_start(9.0, 5) == []


def fail(scheduler: ItemScheduler, entry: QueuedItem, now: float, times: int = DEFER_AFTER_ATTEMPTS) -> float:
    """Declines an item that has started, and starts it again, `times` in a row; returns when it is ready."""
    for attempt in range(1, times + 1):
        scheduler.on_failure(entry, Failure.DECLINED, now)
        deadline = scheduler.next_deadline()
        assert deadline is not None
        now = deadline
        if attempt < times:
            assert entry in scheduler.items_to_start(now, 1)
    return now


# Guards against an item that no worker can run and that stands before all others after each attempt.
def test_an_item_that_failed_repeatedly_starts_after_the_items_of_all_jobs() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("unfit", 900), item("usual", 5))
    add(scheduler, "later", item("other", 5), limits=replace(LIMITS, due_at=20))
    now = fail(scheduler, start_one(scheduler, 0.0), 0.0)
    assert names(scheduler.items_to_start(now, 3)) == ["usual", "other", "unfit"]


def test_a_deferred_item_does_not_wait_for_items_of_a_route_without_capacity() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("unfit", 900))
    now = fail(scheduler, start_one(scheduler, 0.0), 0.0)
    add(scheduler, "other", item("o", 5), route=OTHER_ROUTE)
    assert names(scheduler.start(now, lambda entry: entry.route == ROUTE)) == ["unfit"]


def test_a_deferred_item_of_a_busy_route_has_a_turn_from_time_to_time() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("unfit", 900), *(item(f"usual{number}", 5) for number in range(5)))
    now = fail(scheduler, start_one(scheduler, 0.0), 0.0)
    assert names(scheduler.items_to_start(now, 1)) != ["unfit"]
    now += TURN_INTERVAL_S
    assert names(scheduler.items_to_start(now, 1)) == ["unfit"]
    assert names(scheduler.items_to_start(now, 1)) != ["unfit"]


def test_an_item_that_progresses_is_deferred_no_more() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("unfit", 900), item("usual", 5))
    now = fail(scheduler, start_one(scheduler, 0.0), 0.0)
    usual, entry = scheduler.items_to_start(now, 2)
    scheduler.on_failure(usual, Failure.UNREACHABLE, now)
    scheduler.on_progress(entry, "1", "a")
    scheduler.on_failure(entry, Failure.TRUNCATED, now)
    assert entry.fruitless_attempts == 0
    assert set(names(scheduler.items_to_start(now + MAX_BACKOFF_S, 2))) == {"unfit", "usual"}


# Guards against a power of two that overflows after some 1,000 attempts, and the item never starts again.
@pytest.mark.parametrize("failure", [Failure.UNREACHABLE, Failure.DECLINED])
def test_an_item_starts_again_however_often_it_has_failed(failure: Failure) -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"), limits=replace(LIMITS, give_up_at=10_000.0))
    for attempt in range(2000):
        now = MAX_DEFERRED_BACKOFF_S * attempt
        scheduler.on_failure(start_one(scheduler, now), failure, now)


def test_a_decline_of_a_full_worker_defers_no_item() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("i"))
    now = 0.0
    for _ in range(5):
        entry = start_one(scheduler, now)
        scheduler.on_failure(entry, Failure.DECLINED, now, worker_was_full=True)
        now += MAX_BACKOFF_S
    assert entry.fruitless_attempts == 0


def test_a_deferred_item_of_a_job_that_ended_does_not_start() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", item("unfit"))
    now = fail(scheduler, start_one(scheduler, 0.0), 0.0)
    assert scheduler.items_to_start(now, 0) == []
    assert scheduler.has_ready
    scheduler.end_job("j")
    assert not scheduler.has_ready
    assert scheduler.items_to_start(now, 1) == []


def test_many_deferred_items_start_at_a_limited_rate() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", *(item(f"unfit{number}") for number in range(200)))
    now = 0.0
    for _ in range(DEFER_AFTER_ATTEMPTS):
        for entry in scheduler.items_to_start(now, 200):
            scheduler.on_failure(entry, Failure.DECLINED, now)
        now += MAX_BACKOFF_S
    assert len(scheduler.items_to_start(now, 200)) == MAX_BURST
    assert len(scheduler.items_to_start(now + 0.05, 200)) == round(0.05 * STARTS_PER_S)


def test_while_the_attempts_on_a_route_mostly_fail_its_items_start_in_another_order_than_by_size() -> None:
    scheduler = ItemScheduler()
    add(scheduler, "j", *(item(f"i{number:02}", 100 - number) for number in range(40)))
    by_size = [f"i{number:02}" for number in range(40)]
    started = scheduler.items_to_start(0.0, MOSTLY_FAILING_SCORE)
    assert names(started) == by_size[:MOSTLY_FAILING_SCORE]
    for entry in started:
        scheduler.on_failure(entry, Failure.DECLINED, 0.0)
    mixed = scheduler.items_to_start(0.0, 10)
    assert names(mixed) != by_size[MOSTLY_FAILING_SCORE : MOSTLY_FAILING_SCORE + 10]
    for entry in mixed:
        scheduler.on_success(entry, 0.0)
    left = sorted(set(by_size[MOSTLY_FAILING_SCORE:]) - set(names(mixed)))
    assert names(scheduler.items_to_start(0.0, 10)) == left[:10]
