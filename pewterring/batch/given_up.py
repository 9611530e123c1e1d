"""Why items are given up, and the log event that says which configured limits applied at that time."""

from collections import Counter
from collections.abc import Sequence
from enum import Enum

from loguru import logger

from pewterring.batch.dispatch import batch_route
from pewterring.batch.items import QueuedItem
from pewterring.batch.state import BatchState
from pewterring.distribution.tables import Tables


class GiveUpReason(Enum):
    """Why an item becomes a dead letter; the value stands in the log."""

    EXPIRED = "expired"  # its job is older than the route's `keep_s`
    FAILED_ATTEMPTS = "failed_attempts"  # as many answers with status 500 as the route's `max_attempts`
    IMPOSSIBLE = "impossible"  # an answer with status 422
    ROUTE_REMOVED = "route_removed"


def log_given_up(
    items: Sequence[QueuedItem], reason: GiveUpReason, now: float, state: BatchState, tables: Tables
) -> None:
    """Logs the items that are given up, one event for each job."""
    for job_id, count in Counter(item.job for item in items).items():
        job = state.job(job_id)
        route = None if job is None else batch_route(tables, job.route)
        logger.bind(
            event="items_given_up",
            job=job_id,
            items=count,
            reason=reason.value,
            age_s=None if job is None else round(now - job.accepted_at, 2),
            keep_s=None if route is None else route.job_ttl_s,
            max_attempts=None if route is None else route.max_attempts,
            configuration=tables.versions.configuration,
        ).info("Items of a job are given up; they are listed as dead letters.")
