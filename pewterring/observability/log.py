"""Logs as JSON lines through loguru: one object a line on standard error.

The convention of a log call in this repository:

    logger.bind(event="leadership_acquired", group=group, term=term).info("Leadership of a group is acquired")

- `event` is bound in each call: `snake_case`, in the field's terms, one name for one event. Alerts and the
  on-call pages go by it, so a module or function can be renamed without renaming an event.
- Values are bound as fields in base units, with the unit in the name where the type does not say it. The
  message is a plain sentence without values.
- Fields of every line (`time`, `level`, `event`, those given to `configure_log`) cannot be bound over.
- Events that repeat are thinned out (`event_thinner`): `suppressed` counts those that were dropped.

A record without a bound event is a library's: what comes by the standard library's logging is
`library.LOGGER`, anything else is named by the module and function of the call.
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
ROOT = "pewterring."
DEFAULT_LEVEL = "INFO"
LIBRARY_LEVELS = ("WARNING", "ERROR", "CRITICAL")  # that loguru has too; others are logged as INFO


class JsonLineSink:
    """A sink of loguru that writes one JSON object a line. loguru calls it under a lock, on any thread."""

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
        """Writes the record, unless its event is thinned out. Called by loguru."""
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
        """The object of a record, with the keys in the order in which they are written."""
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
    """The name of a record's event: the bound one, else the place of the call (libraries alone)."""
    bound = record["extra"].get(EVENT)
    if bound:
        return str(bound)
    module = (record["name"] or "").removeprefix(ROOT)
    return f"{module}.{record['function'].strip('_<>')}"


class _StandardLibraryHandler(logging.Handler):
    """Passes what libraries log by the standard library on to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        level = record.levelname if record.levelname in LIBRARY_LEVELS else "INFO"
        bound = logger.bind(**{EVENT: f"library.{record.name}"}).opt(exception=record.exc_info)
        bound.log(level, "{}", record.getMessage())


def configure_log(
    fields: Mapping[str, str], level: str = DEFAULT_LEVEL, unthinned: Collection[str] = ()
) -> None:
    """Sends all logs of this process to standard error.

    `fields` stand in every line; events named in `unthinned` are not thinned out.
    """
    logger.remove()
    sink = JsonLineSink(sys.stderr.write, fields, EventThinner(unthinned=unthinned))
    logger.add(sink, level=level, format="{message}", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_StandardLibraryHandler()], level=logging.WARNING, force=True)
