"""Jobs are rejected before the state of a partition outgrows its store's disk or memory."""

import msgspec
import pytest

from pewterring.batch.capacity import LOG_BYTES, StoreLimits, max_state_bytes
from pewterring.batch.messages import JobAccepted, JobRejected, SubmitJob
from tests.batch.leading_store import MAX_STATE_BYTES, Store, scenario, submit
from tests.batch.stand_ins import ROUTE, item


def job_with_body(name: str, body_bytes: int) -> SubmitJob:
    return SubmitJob(name, *ROUTE, items=(msgspec.structs.replace(item(name), body="Y" * body_bytes),))


@pytest.mark.parametrize(("disk_mb", "memory_mb"), [(110, 320), (500, 340), (60, 1000), (10_000, 300)])
def test_two_snapshots_and_the_log_fit_on_disk_and_the_state_fits_in_memory(
    disk_mb: int, memory_mb: int
) -> None:
    max_bytes = max_state_bytes(StoreLimits(memory_mb, disk_mb))
    assert max_bytes > 0
    assert 2 * max_bytes + LOG_BYTES < disk_mb * 1_000_000
    assert 2 * max_bytes < memory_mb * 1_000_000


def test_a_disk_too_small_for_the_log_allows_no_job_and_a_disk_of_unknown_size_sets_no_limit() -> None:
    assert max_state_bytes(StoreLimits(300, 20)) == 0
    assert max_state_bytes(StoreLimits(300)) == max_state_bytes(StoreLimits(300, 10_000))


@pytest.mark.parametrize("catch_up_s", [4.7, 6.0])
@pytest.mark.parametrize("copy_mb_per_s", [1.0, 20.0, 35.0])
def test_a_state_can_be_copied_at_the_configured_rate_well_within_half_of_the_bound(
    catch_up_s: float, copy_mb_per_s: float
) -> None:
    max_bytes = max_state_bytes(StoreLimits(10_000, 10_000, copy_mb_per_s, catch_up_s))
    assert max_bytes > 0
    assert max_bytes / (copy_mb_per_s * 1_000_000) <= 0.75 * catch_up_s / 2


def test_a_copy_rate_does_not_lower_a_limit_that_disk_or_memory_sets_already() -> None:
    """A disk of 110 MB limits the state to 40 MB, which 25 MB/s copies in time. A rate of 0 means none."""
    assert max_state_bytes(StoreLimits(320, 110, 25.0, 4.7)) == max_state_bytes(StoreLimits(320, 110))
    assert max_state_bytes(StoreLimits(320, 110, 0.0, 4.7)) == max_state_bytes(StoreLimits(320, 110))


def test_a_job_beyond_the_stores_capacity_is_rejected_and_accepted_ones_stay() -> None:
    async def test(store: Store) -> None:
        accepted = job_with_body("kept", MAX_STATE_BYTES - 10)
        assert await store.service.handle(accepted) == JobAccepted()
        rejected = await store.service.handle(job_with_body("more", 11))
        assert isinstance(rejected, JobRejected)
        assert not rejected.over_quota
        assert store.state.job("more") is None
        assert await store.service.handle(accepted) == JobAccepted()
        assert await store.service.handle(job_with_body("fits", 10)) == JobAccepted()

    scenario(test)


def test_result_texts_count_towards_the_capacity() -> None:
    async def test(store: Store) -> None:
        assert await store.service.handle(submit("j", "a")) == JobAccepted()
        await store.exchanges(1)
        store.runner.exchanges[0].answer("x" * MAX_STATE_BYTES)
        await store.page("j", 0, 60_000)
        assert isinstance(await store.service.handle(job_with_body("more", 1)), JobRejected)

    scenario(test)
