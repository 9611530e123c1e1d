"""Logs as JSON lines through loguru: one event one name, events that repeat thinned out.

An event's name is the `event` that the caller bound, else the place of the call. Bound fields, such as
`request`, become fields of the line.
"""

import logging
import sys
import time
import traceback
from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

EVENT = "event"
ROOT = "pewterring."
BURST_LINES = 5  # lines of one event in a period
PERIOD_S = 10.0
MAX_EVENTS = 512  # whose counts are kept
DEFAULT_LEVEL = "INFO"


class EventThinner:
    """Decides which lines of an event are written: the first `BURST_LINES` of each period."""

    def __init__(
        self,
        burst: int = BURST_LINES,
        period_s: float = PERIOD_S,
        whole: Collection[str] = (),
    ) -> None:
        self._burst = burst
        self._period_s = period_s
        self._whole = whole  # events of which each line is written
        self._periods: dict[str, list[float]] = {}  # began at, written, suppressed

    def admit(self, event: str, now: float) -> int | None:
        """None where the line is dropped, else how many lines of the event were dropped before it."""
        if event in self._whole:
            return 0
        period = self._periods.get(event)
        if period is None:
            if len(self._periods) >= MAX_EVENTS:
                self._periods.clear()
            period = self._periods[event] = [now, 0, 0]
        elif now - period[0] >= self._period_s:
            period[0], period[1] = now, 0
        if period[1] >= self._burst:
            period[2] += 1
            return None
        suppressed, period[2] = int(period[2]), 0
        period[1] += 1
        return suppressed


class JsonLineSink:
    """A sink of loguru that writes one JSON object a line."""

    def __init__(
        self,
        write: Callable[[str], object],
        fields: Mapping[str, str],
        thinner: EventThinner | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._write = write
        self._fields = dict(fields)
        self._thinner = thinner or EventThinner()
        self._clock = clock

    def __call__(self, message: "Message") -> None:
        """Called by loguru."""
        record = message.record
        event = event_name(record)
        suppressed = self._thinner.admit(event, self._clock())
        if suppressed is None:
            return
        line = self._line(record, event)
        if suppressed:
            line["suppressed"] = suppressed
        self._write(orjson.dumps(line, default=str).decode() + "\n")

    def _line(self, record: "Record", event: str) -> dict[str, Any]:
        line: dict[str, Any] = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name.lower(),
            EVENT: event,
            **self._fields,
        }
        line.update((name, value) for name, value in record["extra"].items() if name not in line)
        if record["message"]:
            line["message"] = record["message"]
        error = record["exception"]
        if error is not None:
            line["exception"] = "".join(traceback.format_exception(error.type, error.value, error.traceback))
        return line


def event_name(record: "Record") -> str:
    """The name of a record's event."""
    bound = record["extra"].get(EVENT)
    if bound:
        return str(bound)
    module = (record["name"] or "").removeprefix(ROOT)
    return f"{module}.{record['function'].strip('_<>')}"


class _StandardLibraryHandler(logging.Handler):
    """Passes what libraries log by the standard library on to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        level = record.levelname if record.levelname in ("WARNING", "ERROR", "CRITICAL") else "INFO"
        bound = logger.bind(**{EVENT: f"library.{record.name}"}).opt(exception=record.exc_info)
        bound.log(level, "{}", record.getMessage())


def configure_log(fields: Mapping[str, str], level: str = DEFAULT_LEVEL, whole: Collection[str] = ()) -> None:
    """Sends all logs of this process to standard error. `fields` stand in every line; events named in `whole`
    are not thinned out.
    """
    logger.remove()
    sink = JsonLineSink(sys.stderr.write, fields, EventThinner(whole=whole))
    logger.add(sink, level=level, format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_StandardLibraryHandler()], level=logging.WARNING, force=True)
