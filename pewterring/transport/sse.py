"""Incremental splitting of `text/event-stream` bytes into whole events (HTML standard, 9.2)."""

import re
from dataclasses import dataclass

# Two line ends in a row. A carriage return ends a line only if no line feed follows it.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_LINE_FEEDS = b"\n\n"
_CARRIAGE_RETURNS = b"\r\r"
_MAX_END_BYTES = 4  # of an event's end
_MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with the bytes that it came as, its end included."""

    raw: bytes
    id: int | None  # None: no id, or not a number

    @property
    def data(self) -> str:
        """The data lines, joined by line feeds."""
        return b"\n".join(_values(self.raw, b"data")).decode("utf-8", "replace")


class EventSplitter:
    """Takes the bytes of a stream as they come and gives its whole events.

    A carriage return at the end of the bytes so far may be half of a line end, so an event that ends with one
    waits for the next byte.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """The beginning of an event that has not come whole."""
        return self._pending

    @property
    def amid_event(self) -> bool:
        """Whether a stream that ended here would have ended in the middle of an event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that are whole with these bytes."""
        searched = max(0, len(self._pending) - _MAX_END_BYTES)
        data = self._pending + data if self._pending else data
        ends = _line_feed_ends(data, searched) if b"\r" not in data else _any_ends(data)
        events = []
        start = 0
        for end in ends:
            events.append(_event(data[start:end]))
            start = end
        self._pending = data[start:]
        return events

    def finish(self) -> list[StreamEvent]:
        """The event that is whole now that no byte follows: its last line end is a carriage return alone.

        Where line feeds were used too, a last carriage return is half of a line end: the stream was cut.
        """
        pending = self._pending
        if b"\n" in pending or not pending.endswith(_CARRIAGE_RETURNS):
            return []
        self._pending = b""
        return [_event(pending)]


def _line_feed_ends(data: bytes, searched: int) -> list[int]:
    ends = []
    found = data.find(_LINE_FEEDS, searched)
    while found >= 0:
        ends.append(found + len(_LINE_FEEDS))
        found = data.find(_LINE_FEEDS, ends[-1])
    return ends


def _any_ends(data: bytes) -> list[int]:
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
