"""The limits of batch jobs that the operator has configured in a run, and which may be in force at a time."""

import math
from dataclasses import dataclass

BINDS_S = 2.0  # `config_ms`: so long after its acknowledgement a configuration binds all processes
# How long a decision may take to be listed: it is committed, perhaps only by the next leader.
LISTING_S = 3.0


@dataclass(slots=True)
class Limits:
    """What one version says about the route of batch jobs. Times are monotonic, in seconds."""

    keep_s: float
    max_attempts: int
    sent_at: float
    replaced_at: float = math.inf  # when the next version was acknowledged


class ConfiguredLimits:
    """The limits of all versions that were sent, one after the other."""

    def __init__(self) -> None:
        self._versions: list[Limits] = []

    def send(self, limits: Limits) -> None:
        """Notes a version that is about to be sent."""
        self._versions.append(limits)

    def acknowledge(self, now: float) -> None:
        """Notes that the newest version was acknowledged, which replaces the one before."""
        if len(self._versions) > 1:
            self._versions[-2].replaced_at = now

    def allow_dead_letter(self, sent_at: float, failures: int, after: float, now: float) -> bool:
        """Whether an item may have been given up between `after` and `now`, with that many answers of 500.

        Args:
            sent_at: When its job was first sent.
            failures: The number of answers with status 500 to the item.
            after: When the result was last known not to be listed.
            now: When the result was read.
        """
        return any(
            failures >= limits.max_attempts or min(now, binding_until) - sent_at >= limits.keep_s
            for limits in self._versions
            if (binding_until := limits.replaced_at + BINDS_S) >= after - LISTING_S
        )
