"""Incremental splitting of `text/event-stream` bytes into complete events (HTML standard, 9.2)."""

import re
from dataclasses import dataclass

# Two consecutive line ends. A carriage return ends a line by itself only if no line feed follows it.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_LINE_FEEDS = b"\n\n"
_CARRIAGE_RETURNS = b"\r\r"
_MAX_END_BYTES = 4  # longest end of an event: two CRLF pairs
_MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its original bytes, including the empty line that ends it."""

    raw: bytes
    id: int | None  # None if the event has no id or the id is not a number

    @property
    def data(self) -> str:
        """The values of the data fields, joined by line feeds."""
        return b"\n".join(_values(self.raw, b"data")).decode("utf-8", "replace")


class EventSplitter:
    """Splits the bytes of a stream into complete events as they arrive.

    A carriage return at the end of the received bytes may be half of a CRLF, so an event that ends with one
    is returned only after the next byte.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._pending

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream would be truncated within an event if it ended here."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events completed by these bytes."""
        search_start = max(0, len(self._pending) - _MAX_END_BYTES)
        data = self._pending + data if self._pending else data
        ends = _line_feed_ends(data, search_start) if b"\r" not in data else _event_ends(data)
        events = []
        start = 0
        for end in ends:
            events.append(_event(data[start:end]))
            start = end
        self._pending = data[start:]
        return events

    def finish(self) -> list[StreamEvent]:
        """Returns the last event at the end of the stream, if its last line end is a single carriage return.

        If line feeds were used too, a final carriage return is half of a CRLF: the stream was truncated.
        """
        pending = self._pending
        if b"\n" in pending or not pending.endswith(_CARRIAGE_RETURNS):
            return []
        self._pending = b""
        return [_event(pending)]


def _line_feed_ends(data: bytes, search_start: int) -> list[int]:
    ends = []
    found = data.find(_LINE_FEEDS, search_start)
    while found >= 0:
        ends.append(found + len(_LINE_FEEDS))
        found = data.find(_LINE_FEEDS, ends[-1])
    return ends


def _event_ends(data: bytes) -> list[int]:
    ends = [match.end() for match in _EVENT_END.finditer(data)]
    if ends and ends[-1] == len(data) and data.endswith(b"\r"):
        ends.pop()
    return ends


def _values(raw: bytes, field: bytes) -> list[bytes]:
    values = []
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == field:
            values.append(value.removeprefix(b" "))
    return values


def _event(raw: bytes) -> StreamEvent:
    ids = _values(raw, b"id") if b"id" in raw else []
    return StreamEvent(raw, _number(ids[-1]) if ids else None)


def _number(value: bytes) -> int | None:
    return int(value) if value.isdigit() and len(value) <= _MAX_ID_DIGITS else None
