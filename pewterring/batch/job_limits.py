"""Deadlines and retry limit of a queued job, as the route of the job sets them.

The limits always come from the newest configuration: an operator who raises `keep_s` wants the jobs that wait
to be kept. What may go wrong: tables that are stale or lack the route for a moment do not show the limits in
force; nothing may be given up by them.
"""

import math
import sys
from dataclasses import dataclass, replace

from pewterring.configuration.model import Route
from pewterring.durations import MILLISECONDS_PER_SECOND

UNLIMITED_ATTEMPTS = sys.maxsize


@dataclass(frozen=True, slots=True)
class JobLimits:
    """Deadlines and retry limit that a job's route sets for its items. Times are monotonic, in seconds."""

    due_at: float  # the time by which the job should be complete
    give_up_at: float  # the time at which the job's unfinished items become dead letters
    max_attempts: int  # the number of failed attempts after which an item becomes a dead letter


def limits_by_route(route: Route, accepted_at: float) -> JobLimits:
    """The limits of a job that was accepted at a monotonic time, by the configured route."""
    return JobLimits(
        due_at=accepted_at + route.completion_target_ms / MILLISECONDS_PER_SECOND,
        give_up_at=accepted_at + route.job_ttl_s if route.job_ttl_s else math.inf,
        max_attempts=max(1, route.max_attempts),
    )


def without_route(limits: JobLimits) -> JobLimits:
    """The limits while the configuration lacks the route: items are given up only if it stays missing."""
    return replace(limits, give_up_at=math.inf, max_attempts=UNLIMITED_ATTEMPTS)
