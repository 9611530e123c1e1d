"""Limits how often an event is logged, so that a fault that repeats does not fill the disk."""

from collections.abc import Collection
from dataclasses import dataclass

BURST_RECORDS = 5  # of one event in a period: enough to see who is concerned
PERIOD_S = 10.0  # some records of a lasting fault in each minute
MAX_EVENTS = 512  # whose counts are kept: names made of values must not fill the memory


@dataclass(slots=True)
class _Period:
    began_at: float
    written: int = 0
    suppressed: int = 0  # since the last record that was written


class EventThinner:
    """Decides which records of an event are written: the first `burst` of each period.

    Events in `unthinned` are always written. Times are seconds of one monotonic clock.
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
        """None where the record is dropped, else how many of the event were dropped before it."""
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
