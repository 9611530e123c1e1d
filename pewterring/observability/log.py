"""Writes logs through loguru as JSON, one object per line, to standard error.

The convention for log calls in this repository:

    logger.bind(event="leadership_acquired", group=group, term=term).info("Leadership of a group is acquired")

- Each call binds `event`, a stable name in `snake_case` and in common technical terms. Alerts and runbooks
  match on it, so renaming a module or function does not rename an event.
- Values are bound as fields in base units; the name has the unit if the type does not imply it. The message
  is a plain sentence without values.
- Fields of every line (`time`, `level`, `event`, those passed to `configure_log`) cannot be overridden.
- Recurring events are rate limited (`event_thinner`); `suppressed` counts the dropped records.

Records without a bound event come from libraries. Those of the standard library's logging have the event
`library.LOGGER`; all others are named by the module and function of the call.
"""

import logging
import sys
import time
import traceback
from collections.abc import Callable, Collection, Mapping
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

from pewterring.observability.event_thinner import EventThinner

if TYPE_CHECKING:
    from loguru import Message, Record

EVENT = "event"
PACKAGE_PREFIX = "pewterring."
DEFAULT_LEVEL = "INFO"
LIBRARY_LEVELS = ("WARNING", "ERROR", "CRITICAL")  # levels that loguru has as well; others are logged as INFO


class JsonLineSink:
    """A loguru sink that writes one JSON object per line. loguru calls it from any thread, under a lock."""

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
        """Writes the record unless the rate limit of its event drops it. Called by loguru."""
        record = message.record
        event = event_name(record)
        suppressed = self._thinner.admit(event, self._clock())
        if suppressed is None:
            return
        content = self._content(record, event)
        if suppressed:
            content["suppressed"] = suppressed
        self._write(orjson.dumps(content, default=str).decode() + "\n")

    def _content(self, record: "Record", event: str) -> dict[str, Any]:
        """Returns the JSON object of a record, with its keys in the order of output."""
        content: dict[str, Any] = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name.lower(),
            EVENT: event,
            **self._fields,
        }
        content.update((name, value) for name, value in record["extra"].items() if name not in content)
        if record["message"]:
            content["message"] = record["message"]
        error = record["exception"]
        if error is not None:
            trace = traceback.format_exception(error.type, error.value, error.traceback)
            content["exception"] = "".join(trace)
        return content


def event_name(record: "Record") -> str:
    """Returns the bound event, else module and function of the call (only for records of libraries)."""
    bound = record["extra"].get(EVENT)
    if bound:
        return str(bound)
    module = (record["name"] or "").removeprefix(PACKAGE_PREFIX)
    return f"{module}.{record['function'].strip('_<>')}"


class _StandardLibraryHandler(logging.Handler):
    """Forwards records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        level = record.levelname if record.levelname in LIBRARY_LEVELS else "INFO"
        bound = logger.bind(**{EVENT: f"library.{record.name}"}).opt(exception=record.exc_info)
        bound.log(level, "{}", record.getMessage())


def configure_log(
    fields: Mapping[str, str], level: str = DEFAULT_LEVEL, unthinned: Collection[str] = ()
) -> None:
    """Directs all logs of this process to standard error, as JSON.

    `fields` are added to every line. Events in `unthinned` are not rate limited.
    """
    logger.remove()
    sink = JsonLineSink(sys.stderr.write, fields, EventThinner(unthinned=unthinned))
    logger.add(sink, level=level, format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_StandardLibraryHandler()], level=logging.WARNING, force=True)
