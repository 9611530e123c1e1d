"""Jobs that wait follow the newest configuration: `keep_s`, `max_attempts` and `run_aim_ms` of their route.

A store that kept the limits of the time at which a job was queued gave items up although the operator had
raised `keep_s` long before.
"""

import asyncio
from dataclasses import replace

import pytest
from msgspec import structs

from pewterring.batch.items import Failure
from pewterring.batch.messages import ReadResults
from pewterring.configuration.model import Route
from tests.batch.leading_store import LONG_MS, Store, scenario, submit
from tests.batch.stand_ins import route, tables, until, worker

KEEP_S = route().job_ttl_s
SHORTER_S, LONGER_S = KEEP_S / 2, 2 * KEEP_S
AGE_S = KEEP_S + 1  # between the usual time and the longer one, and beyond the shorter one
MAX_ATTEMPTS = route().max_attempts
SETTLE_ROUNDS = 20  # of the event loop, in which all decisions that are due are made and committed


def configure(store: Store, *routes: Route) -> None:
    store.take_tables(tables(worker("w1"), worker("w22"), routes=routes))
    store.service.tables_changed()


async def states(store: Store) -> list[str]:
    """Lets the store decide, and returns the states of the results that it lists then."""
    store.service.tables_changed()
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)
    return [result.state for result in (await store.page("j")).results]


async def fail_once(store: Store, exchange: int, failure: Failure = Failure.FAILED) -> None:
    """Waits for an exchange, fails it, and lets the backoff of its item end."""
    await store.exchanges(exchange + 1)
    store.runner.exchanges[exchange].fail(failure)
    await until(lambda: store.execution.running == 0)
    store.clock.now += 1
    store.service.tables_changed()


# Guards against dead letters by a `keep_s` that has been raised meanwhile (MIXED).
def test_waiting_and_running_items_are_kept_for_a_longer_time_once_it_is_configured() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", *(f"i{number}" for number in range(40))))
        await store.exchanges(10)
        configure(store, replace(route(), job_ttl_s=LONGER_S))
        store.clock.now += AGE_S
        assert await states(store) == []
        store.clock.now += KEEP_S
        assert await states(store) == ["dead_letter"] * 40

    scenario(test)


# Guards against jobs that block a quota for long after the operator has shortened `keep_s`.
def test_items_are_given_up_by_a_shorter_time_once_it_is_configured() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        store.clock.now += SHORTER_S + 1
        assert await states(store) == []
        configure(store, replace(route(), job_ttl_s=SHORTER_S))
        assert await states(store) == ["dead_letter"]

    scenario(test)


# Guards against a configuration without `keep_s`, which made dead letters of all items at once.
def test_without_a_configured_time_items_are_kept() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        configure(store, replace(route(), job_ttl_s=0))
        store.clock.now += 10 * LONGER_S
        assert await states(store) == []

    scenario(test)


# Guards against a copy that survives a rise and a fall: the last configuration decides.
def test_the_last_of_several_changes_decides() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        for keep_s in (LONGER_S, SHORTER_S, LONGER_S):
            configure(store, replace(route(), job_ttl_s=keep_s))
        store.clock.now += AGE_S
        assert await states(store) == []
        configure(store, route())
        assert await states(store) == ["dead_letter"]

    scenario(test)


# Guards against dead letters after fewer answers of 500 than the raised `max_attempts` (MIXED).
def test_an_item_is_attempted_as_often_as_a_raised_limit_allows() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        configure(store, replace(route(), max_attempts=MAX_ATTEMPTS + 2))
        for attempt in range(MAX_ATTEMPTS + 1):
            await fail_once(store, attempt)
        assert await states(store) == []
        await fail_once(store, MAX_ATTEMPTS + 1)
        assert await states(store) == ["dead_letter"]

    scenario(test)


# Guards against further runs of an item after three times the lowered `max_attempts` answers of 500 (BUDGET).
def test_an_item_that_failed_more_often_than_a_lowered_limit_allows_never_runs_again() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        for attempt in range(4):
            await fail_once(store, attempt)
        await store.exchanges(5)
        configure(store, replace(route(), max_attempts=1))
        await fail_once(store, 4, Failure.TRUNCATED)
        assert await states(store) == ["dead_letter"]
        assert len(store.runner.exchanges) == 5

    scenario(test, tables(worker("w1"), worker("w22"), routes=(replace(route(), max_attempts=20),)))


def test_an_item_in_backoff_is_given_up_at_once_by_a_lowered_limit() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b"))
        await store.exchanges(2)
        for exchange in store.runner.exchanges[:]:
            exchange.fail(Failure.FAILED)
        await until(lambda: store.execution.running == 0)
        configure(store, replace(route(), max_attempts=1))
        assert await states(store) == ["dead_letter"] * 2
        store.clock.now += 1
        assert await states(store) == ["dead_letter"] * 2
        assert len(store.runner.exchanges) == 2

    scenario(test)


# Guards against decisions of a store that has not heard of a newer configuration.
def test_no_limit_decides_while_the_tables_are_stale() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b"))
        await store.exchanges(2)
        store.fresh = False
        store.clock.now += AGE_S
        assert await states(store) == []
        store.fresh = True
        configure(store, replace(route(), job_ttl_s=LONGER_S))
        assert await states(store) == []
        store.clock.now += KEEP_S
        assert await states(store) == ["dead_letter"] * 2

    scenario(test)


@pytest.mark.parametrize("raised", [True, False])
def test_an_answer_of_500_that_arrives_while_the_tables_are_stale_decides_nothing(raised: bool) -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        for attempt in range(MAX_ATTEMPTS - 1):
            await fail_once(store, attempt)
        await store.exchanges(MAX_ATTEMPTS)
        store.fresh = False
        await fail_once(store, MAX_ATTEMPTS - 1)
        assert await states(store) == []
        store.fresh = True
        configure(store, replace(route(), max_attempts=MAX_ATTEMPTS + raised))
        store.clock.now += 1
        assert await states(store) == ([] if raised else ["dead_letter"])
        assert len(store.runner.exchanges) == MAX_ATTEMPTS + raised

    scenario(test)


# Guards against dead letters by the former limits of a route that is missing for a moment.
def test_a_route_that_comes_back_with_a_longer_time_gives_nothing_up() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        store.clock.now += KEEP_S - 1
        configure(store)
        assert await states(store) == []
        store.clock.now += 2
        assert await states(store) == []
        configure(store, replace(route(), job_ttl_s=LONGER_S))
        assert await states(store) == []
        configure(store, route())
        assert await states(store) == ["dead_letter"]

    scenario(test)


# Guards against a decision that waits to be committed while a newer configuration raises the limit.
def test_no_limit_decides_while_the_log_refuses_commands() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b"))
        await store.exchanges(2)
        store.log.accepts = False
        store.runner.exchanges[0].answer("x")
        await until(lambda: store.execution.running == 1)
        store.clock.now += AGE_S
        assert await states(store) == []
        configure(store, replace(route(), job_ttl_s=LONGER_S))
        store.log.accepts = True
        page = await store.service.handle(ReadResults("j", 0, LONG_MS))
        assert page == await store.page("j")
        assert await states(store) == ["succeeded"]

    scenario(test)


def test_a_new_leader_follows_the_newest_limits() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        await store.exchanges(1)
        store.lose_leadership()
        configure(store, replace(route(), job_ttl_s=LONGER_S))
        store.clock.now += AGE_S
        await store.lead()
        assert await states(store) == []

    scenario(test)


# Guards against an order of jobs by due times that have changed.
def test_the_job_that_is_due_first_by_the_newest_configuration_starts_first() -> None:
    other = replace(route(), name="o", path_prefix="/other/", completion_target_ms=30_000)
    sooner = replace(other, completion_target_ms=5_000)

    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        await store.service.handle(structs.replace(submit("other", "b"), path_prefix=other.path_prefix))
        configure(store, route(), sooner)
        await store.exchanges(2)
        assert [exchange.item.job for exchange in store.runner.exchanges] == ["other", "j"]

    scenario(test, tables(routes=(route(), other)))
