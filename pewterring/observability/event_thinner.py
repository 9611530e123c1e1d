"""Limits how often an event is logged, so that a recurring fault does not fill the disk."""

from collections.abc import Collection
from dataclasses import dataclass

BURST_RECORDS = 5  # records of one event per period; enough to see who is affected
PERIOD_S = 10.0  # short enough for several records of a lasting fault per minute
MAX_EVENTS = 512  # events with a counter; bounds memory if event names contain variable values


@dataclass(slots=True)
class _Period:
    began_at: float  # monotonic time in seconds
    written: int = 0
    suppressed: int = 0  # records dropped since the last one that was written


class EventThinner:
    """Rate limit per event: admits the first `burst` records of an event in each period.

    Events in `unthinned` are always admitted. Times are seconds of one monotonic clock.
    """

    def __init__(
        self,
        burst: int = BURST_RECORDS,
        period_s: float = PERIOD_S,
        unthinned: Collection[str] = (),
    ) -> None:
        self._burst = burst
        self._period_s = period_s
        self._unthinned = unthinned
        self._periods: dict[str, _Period] = {}

    def admit(self, event: str, now: float) -> int | None:
        """Returns None to drop the record, else how many records of the event were dropped before it."""
        if event in self._unthinned:
            return 0
        period = self._period(event, now)
        if period.written >= self._burst:
            period.suppressed += 1
            return None
        suppressed, period.suppressed = period.suppressed, 0
        period.written += 1
        return suppressed

    def _period(self, event: str, now: float) -> _Period:
        period = self._periods.get(event)
        if period is None:
            if len(self._periods) >= MAX_EVENTS:
                self._periods.clear()
            period = self._periods[event] = _Period(now)
        elif now - period.began_at >= self._period_s:
            period.began_at, period.written = now, 0
        return period
