"""Which jobs the partition forgets."""

from collections.abc import Iterable

from pewterring.batch.state import Job

MARGIN_S = 10.0  # beyond the time for which results must be readable


def jobs_to_drop(jobs: Iterable[Job], now: float, status_s: float, budget_bytes: int) -> tuple[str, ...]:
    """Jobs past the time for reading: ended ones at once, finished ones while all take over the budget.

    Jobs with items that still run are never dropped. `jobs` come in the order of acceptance.
    """
    past = [job for job in jobs if job.finished and now - job.accepted_at > status_s + MARGIN_S]
    dropped = [job.id for job in past if job.ended]
    open_jobs = [job for job in past if not job.ended]
    size = sum(job.size_bytes for job in open_jobs)
    for job in open_jobs:
        if size <= budget_bytes:
            break
        size -= job.size_bytes
        dropped.append(job.id)
    return tuple(dropped)
