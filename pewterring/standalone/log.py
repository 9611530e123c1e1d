"""Writes one JSON line per event to standard error. Single requests are not logged."""

import sys
import time
from collections.abc import Callable
from typing import BinaryIO

import orjson


class Log:
    """Called as `log(event, name=value, ...)`. Writes at most `per_s` lines per second, so that a fault
    cannot flood the log; the number of skipped lines is logged afterwards."""

    def __init__(
        self, out: BinaryIO | None = None, clock: Callable[[], float] = time.time, per_s: int = 20
    ) -> None:
        self.out, self.clock, self.per_s = out or sys.stderr.buffer, clock, per_s
        self.second, self.written, self.skipped = 0, 0, 0

    def __call__(self, event: str, **fields: object) -> None:
        now = self.clock()
        if int(now) != self.second:
            skipped, self.second, self.written, self.skipped = self.skipped, int(now), 0, 0
            if skipped:
                self.write({"time": round(now, 3), "event": "lines_skipped", "count": skipped})
        if self.written >= self.per_s:
            self.skipped += 1
            return
        self.written += 1
        self.write({"time": round(now, 3), "event": event, **fields})

    def write(self, line: dict[str, object]) -> None:
        try:
            self.out.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            self.out.flush()
        except (OSError, ValueError, TypeError):
            pass  # the log has no reader any more; serving continues
