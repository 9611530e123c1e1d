"""Batch calls and dispatch at the leader, with a log that is not replicated and without sockets."""

import asyncio
from typing import cast

import orjson
import pytest
from msgspec import structs

from pewterring.batch.commands import AcceptJob, AddResults, CloseJob
from pewterring.batch.errors import CommandOutcomeUnknownError, CommandRefusedError, NotLeadingError
from pewterring.batch.group_log import GroupLog
from pewterring.batch.items import Failure
from pewterring.batch.messages import (
    EndJob,
    ItemBody,
    ItemResult,
    JobAccepted,
    JobEnded,
    JobRejected,
    NotFound,
    NotLeading,
    OutcomeUnknown,
    ReadItem,
    ReadResults,
    ResultPage,
)
from pewterring.consensus.errors import (
    GroupFailedError,
    NotLeaderError,
    OutcomeUnknownError,
    TooManyUncommittedError,
)
from pewterring.consensus.group import ReplicatedGroup
from tests.batch.leading_store import LONG_MS, Store, scenario, submit
from tests.batch.stand_ins import route, tables, until, worker

MAX_PAGE_BYTES = 1_000_000  # by the page PROTOCOL


def test_a_job_runs_and_its_results_are_read() -> None:
    async def test(store: Store) -> None:
        assert await store.service.handle(submit("j", "a", "b")) == JobAccepted()
        await store.exchanges(2)
        reading = asyncio.create_task(store.page("j", 0, LONG_MS))
        first = store.runner.exchanges[0]
        first.answer("x", "y")
        page = await reading
        assert page == ResultPage(2, 1, (ItemResult(first.item.spec.id, "succeeded", "x\ny"),))
        store.runner.exchanges[1].fail(Failure.IMPOSSIBLE)
        last = await store.page("j", 1, LONG_MS)
        assert last.next_position == 2
        assert last.results[0].state == "dead_letter"

    scenario(test)


def test_a_job_is_accepted_once() -> None:
    async def test(store: Store) -> None:
        store.log.paused = True
        calls = [asyncio.create_task(store.service.handle(submit("j", "a"))) for _ in range(2)]
        await until(lambda: not store.log.commands)
        store.log.release()
        assert await asyncio.gather(*calls) == [JobAccepted(), JobAccepted()]
        assert await store.service.handle(submit("j", "a")) == JobAccepted()
        assert len(store.log.commands) == 1

    scenario(test)


def test_the_quota_counts_jobs_that_are_being_committed() -> None:
    async def test(store: Store) -> None:
        store.log.paused = True
        first = asyncio.create_task(store.service.handle(submit("j1", "a", tokens=60)))
        await asyncio.sleep(0)
        second = await store.service.handle(submit("j2", "a", tokens=60))
        assert isinstance(second, JobRejected)
        assert second.over_quota
        store.log.release()
        assert await first == JobAccepted()
        third = await store.service.handle(submit("j3", "a", tokens=60))
        assert isinstance(third, JobRejected)
        assert third.over_quota
        assert await store.service.handle(EndJob("j1")) == JobEnded()
        assert await store.service.handle(submit("j4", "a", tokens=60)) == JobAccepted()

    scenario(test, tables(routes=(route(max_queued_tokens=100),)))


@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize("new_leader", [False, True])
def test_an_accepted_job_is_accepted_again_whatever_the_quota_and_its_state(
    ended: bool, new_leader: bool
) -> None:
    async def test(store: Store) -> None:
        assert await store.service.handle(submit("j1", "a", tokens=60)) == JobAccepted()
        if ended:
            assert await store.service.handle(EndJob("j1")) == JobEnded()
            assert await store.service.handle(submit("j2", "a", tokens=60)) == JobAccepted()
        rejected = await store.service.handle(submit("j3", "a", tokens=60))
        assert isinstance(rejected, JobRejected)
        assert rejected.over_quota
        if new_leader:
            store.lose_leadership()
            await store.lead()
        store.take_tables(tables(worker("w1"), routes=()))  # the route has been removed meanwhile
        for _ in range(3):
            assert await store.service.handle(submit("j1", "a", tokens=60)) == JobAccepted()
        assert sum(isinstance(command, AcceptJob) for command in store.log.commands) == 1 + ended

    scenario(test, tables(worker("w1"), routes=(route(max_queued_tokens=100),)))


def test_a_page_can_begin_at_any_position() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b", "c"))
        await store.exchanges(3)
        for exchange in store.runner.exchanges:
            exchange.answer(exchange.item.spec.id)
        await store.page("j", 2, LONG_MS)
        complete = (await store.page("j")).results
        assert len(complete) == 3
        for after in range(6):
            page = await store.page("j", after, LONG_MS)
            assert (page.total, page.results) == (3, complete[after:])
            assert page.next_position == max(after, 3)

    scenario(test)


def test_a_body_can_be_read_from_acceptance_on_and_at_the_next_leader() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        for failure in (Failure.FAILED, Failure.TRUNCATED):
            assert await store.service.handle(ReadItem("j", "a")) == ItemBody("YQ==")
            await store.exchanges(1)
            store.runner.exchanges.pop().fail(failure)
            await until(lambda: store.execution.running == 0)
            assert await store.service.handle(ReadItem("j", "a")) == ItemBody("YQ==")
            store.lose_leadership()
            await store.lead()

    scenario(test)


def test_a_proposal_of_unknown_outcome_releases_its_quota() -> None:
    async def test(store: Store) -> None:
        store.log.loses_outcomes = True
        assert await store.service.handle(submit("j1", "a", tokens=60)) == OutcomeUnknown()
        store.log.loses_outcomes = False
        assert await store.service.handle(submit("j2", "a", tokens=60)) == JobAccepted()

    scenario(test, tables(routes=(route(max_queued_tokens=100),)))


def test_a_job_is_rejected_and_its_quota_released_if_the_log_refuses_commands() -> None:
    async def test(store: Store) -> None:
        store.log.accepts = False
        reply = await store.service.handle(submit("j1", "a", tokens=60))
        assert isinstance(reply, JobRejected)
        assert not reply.over_quota
        assert reply.retry_after_s > 0
        assert store.state.job("j1") is None
        store.log.accepts = True
        assert await store.service.handle(submit("j2", "a", tokens=60)) == JobAccepted()

    scenario(test, tables(routes=(route(max_queued_tokens=100),)))


def test_results_stay_pending_and_a_job_does_not_end_while_the_log_refuses_commands() -> None:
    async def test(store: Store) -> None:
        assert await store.service.handle(submit("j", "a", "b")) == JobAccepted()
        await store.exchanges(2)
        store.log.accepts = False
        store.runner.exchanges[0].answer("x")
        await asyncio.sleep(0)
        assert (await store.page("j", 0, 0)).results == ()
        store.log.accepts = True
        assert len((await store.page("j", 0, LONG_MS)).results) == 1
        store.log.accepts = False
        assert isinstance(await store.service.handle(EndJob("j")), NotLeading)
        job = store.state.job("j")
        assert job is not None
        assert not job.ended

    scenario(test)


def test_errors_of_the_group_become_errors_that_say_whether_the_command_may_be_applied() -> None:
    class Group:
        group = "batch-0"

        async def propose(self, _command: bytes) -> object:
            raise self.error

        error: Exception

    group = Group()
    log = GroupLog(cast(ReplicatedGroup, group))
    for error, expected in (
        (NotLeaderError("b"), NotLeadingError),
        (TooManyUncommittedError(1), CommandRefusedError),
        (OutcomeUnknownError("lost"), CommandOutcomeUnknownError),
        (GroupFailedError("disk"), CommandOutcomeUnknownError),
    ):
        group.error = error
        with pytest.raises(expected, match="group batch-0"):
            asyncio.run(log.propose(CloseJob("j")))


def test_a_job_without_a_route_is_rejected() -> None:
    async def test(store: Store) -> None:
        reply = await store.service.handle(submit("j", "a"))
        assert isinstance(reply, JobRejected)
        assert not reply.over_quota

    scenario(test, tables(routes=()))


# Guards against jobs beyond a lowered quota, or for a removed route, at a leader that control cannot reach.
def test_no_job_is_accepted_by_a_configuration_that_may_have_been_replaced() -> None:
    async def test(store: Store) -> None:
        assert await store.service.handle(submit("j", "a")) == JobAccepted()
        store.tables_bind = False
        reply = await store.service.handle(submit("k", "b"))
        assert isinstance(reply, JobRejected)
        assert not reply.over_quota
        assert reply.retry_after_s > 0
        assert await store.service.handle(submit("j", "a")) == JobAccepted()  # accepted before
        store.tables_bind = True
        assert await store.service.handle(submit("k", "b")) == JobAccepted()

    scenario(test)


def test_a_store_that_does_not_lead_answers_with_the_leader() -> None:
    async def test(store: Store) -> None:
        store.lose_leadership()
        for call in (submit("j", "a"), ReadResults("j", 0), ReadItem("j", "a"), EndJob("j")):
            assert await store.service.handle(call) == NotLeading("10.0.0.2#b")

    scenario(test)


def test_not_found_is_answered_only_after_a_read_barrier() -> None:
    async def test(store: Store) -> None:
        for call in (ReadResults("j", 0), ReadItem("j", "a"), EndJob("j")):
            before = store.log.barriers
            assert await store.service.handle(call) == NotFound()
            assert store.log.barriers == before + 1

    scenario(test)


def test_reads_wait_for_a_read_barrier_without_a_lease() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        store.log.lease = False
        before = store.log.barriers
        await store.page("j")
        assert store.log.barriers > before

    scenario(test)


def test_a_body_can_be_read_until_the_items_result_is_listed() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        assert await store.service.handle(ReadItem("j", "a")) == ItemBody("YQ==")
        await store.exchanges(1)
        store.runner.exchanges[0].answer("x")
        await store.page("j", 0, LONG_MS)
        assert await store.service.handle(ReadItem("j", "a")) == NotFound()

    scenario(test)


def test_ending_a_job_cancels_its_items_before_the_end_is_committed() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        await store.exchanges(1)
        store.log.paused = True
        ending = asyncio.create_task(store.service.handle(EndJob("j")))
        await until(lambda: store.runner.cancelled == ["a"])
        assert not any(isinstance(command, CloseJob) for command in store.log.commands)
        store.log.release()
        assert await ending == JobEnded()
        assert await store.service.handle(EndJob("j")) == JobEnded()
        assert (await store.page("j", 0, LONG_MS)).results == ()

    scenario(test)


def test_results_added_during_a_proposal_go_into_the_next_one() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b", "c"))
        await store.exchanges(3)
        store.log.paused = True
        store.runner.exchanges[0].answer("x")
        await until(lambda: store.execution.running == 2)
        await asyncio.sleep(0)
        store.runner.exchanges[1].answer("y")
        store.runner.exchanges[2].answer("z")
        await until(lambda: store.execution.running == 0)
        store.log.release()
        await store.page("j", 2, LONG_MS)
        batches = [command for command in store.log.commands if isinstance(command, AddResults)]
        assert [len(batch.results) for batch in batches] == [1, 2]

    scenario(test)


def test_losing_leadership_cancels_all_exchanges_and_regaining_it_runs_unfinished_items() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b"))
        await store.exchanges(2)
        waiting = asyncio.create_task(store.service.handle(ReadResults("j", 0, LONG_MS)))
        await asyncio.sleep(0)
        store.lose_leadership()
        assert isinstance(await waiting, NotLeading)
        await until(lambda: len(store.runner.cancelled) == 2)
        await store.lead()
        await store.exchanges(4)
        for exchange in store.runner.exchanges[2:]:
            exchange.answer("x")
        await until(lambda: store.execution.running == 0)
        assert (await store.page("j", 1, LONG_MS)).next_position == 2

    scenario(test)


def test_an_item_answered_with_422_is_a_dead_letter_at_once_and_never_runs_again() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        await store.exchanges(1)
        store.runner.exchanges[0].fail(Failure.IMPOSSIBLE)
        page = await store.page("j", 0, LONG_MS)
        assert [result.state for result in page.results] == ["dead_letter"]
        store.lose_leadership()
        await store.lead()
        store.service.tables_changed()
        for _ in range(5):
            await asyncio.sleep(0)
        assert len(store.runner.exchanges) == 1

    scenario(test)


@pytest.mark.parametrize(
    "failure",
    [Failure.UNREACHABLE, Failure.DECLINED, Failure.OTHER_VERSION, Failure.STALE, Failure.TRUNCATED],
)
def test_failures_other_than_status_500_and_422_never_make_an_item_a_dead_letter(failure: Failure) -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        for number in range(10):
            await store.exchanges(number + 1)
            store.runner.exchanges[number].fail(failure)
            await until(lambda: store.execution.running == 0)
            store.clock.now += 3
            store.service.tables_changed()
        assert (await store.page("j")).results == ()

    scenario(test)


def test_a_worker_of_another_version_stays_healthy() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        await store.exchanges(1)
        store.runner.exchanges[0].fail(Failure.OTHER_VERSION)
        await until(lambda: store.execution.running == 0)
        assert not any(state.is_suspect(store.clock.now) for state in store.chooser.workers.values())

    scenario(test)


def test_no_item_starts_while_the_tables_are_stale() -> None:
    async def test(store: Store) -> None:
        store.fresh = False
        await store.service.handle(submit("j", "a"))
        for _ in range(5):
            await asyncio.sleep(0)
        assert store.runner.exchanges == []
        store.fresh = True
        store.service.tables_changed()
        await store.exchanges(1)

    scenario(test)


def test_items_go_to_ready_workers_of_the_service_up_to_a_share_of_their_capacity() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", *(f"i{number}" for number in range(20))))
        await store.exchanges(9)
        for _ in range(5):
            await asyncio.sleep(0)
        assert len(store.runner.exchanges) == 9
        assert {exchange.worker.id for exchange in store.runner.exchanges} == {"w1"}
        store.runner.exchanges[0].answer("x")
        await store.exchanges(10)

    scenario(test, tables(worker("w1"), worker("w22", state="draining"), worker("w333", service="other")))


def test_items_of_a_removed_route_become_dead_letters_only_after_a_while() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a"))
        store.take_tables(tables(routes=()))
        store.service.tables_changed()
        await asyncio.sleep(0)
        assert (await store.page("j")).results == ()
        store.clock.now += 4
        store.service.tables_changed()
        page = await store.page("j", 0, LONG_MS)
        assert [result.state for result in page.results] == ["dead_letter"]

    scenario(test, tables())


def test_items_are_given_up_at_the_give_up_time_of_their_job() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b"))
        await store.exchanges(2)
        store.clock.now += 61
        store.service.tables_changed()
        page = await store.page("j", 1, LONG_MS)
        assert [result.state for result in page.results] == ["dead_letter"]
        await until(lambda: set(store.runner.cancelled) == {"a", "b"})

    scenario(test)


def test_finished_jobs_are_dropped_once_their_results_need_not_be_readable() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("done", "a"))
        await store.exchanges(1)
        store.runner.exchanges[0].answer("x")
        await store.page("done", 0, LONG_MS)
        await store.service.handle(submit("ended", "a"))
        await store.service.handle(EndJob("ended"))
        store.clock.now += 100
        await store.service.retention.drop_expired_jobs()
        assert await store.page("done")
        store.clock.now += 31
        await store.service.handle(submit("running", "a"))
        await store.service.retention.drop_expired_jobs()
        assert await store.service.handle(ReadResults("done", 0)) == NotFound()
        assert await store.service.handle(ReadResults("ended", 0)) == NotFound()
        assert await store.page("running")

    scenario(test)


# Guards against pages over 1 MB: texts that are JSON themselves have more bytes in a page than characters.
@pytest.mark.parametrize("text", ['{"a":"b"}', "\x01", "\u20ac", "x"])
def test_a_page_has_at_most_1_mb_as_it_is_sent(text: str) -> None:
    async def test(store: Store) -> None:
        names = [f"i{number}" for number in range(18)]
        await store.service.handle(submit("j", *names))
        await store.exchanges(18)
        for exchange in store.runner.exchanges:
            exchange.answer(text * (100_000 // len(text)))
        await store.page("j", 17, LONG_MS)
        listed = 0
        while listed < len(names):
            page = await store.page("j", listed)
            assert page.results
            if len(page.results) > 1:
                assert len(orjson.dumps([structs.asdict(result) for result in page.results])) < MAX_PAGE_BYTES
            listed = page.next_position

    scenario(test)


def test_a_page_has_a_size_limit_but_always_at_least_one_result_if_there_is_any() -> None:
    async def test(store: Store) -> None:
        await store.service.handle(submit("j", "a", "b"))
        await store.exchanges(2)
        for exchange in store.runner.exchanges:
            exchange.answer("x" * 1_000_000)
        await store.page("j", 1, LONG_MS)
        first = await store.page("j")
        assert len(first.results) == 1
        assert (await store.page("j", first.next_position)).next_position == 2

    scenario(test)
