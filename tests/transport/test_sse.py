"""Splitting of event streams into events."""

import pytest

from pewterring.transport.sse import EventSplitter, StreamEvent

STREAMS = {
    "line feeds": b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: nothing\n\n",
    "both": b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "mixed": b"id: 1\ndata: a\r\n\nid: 2\rdata: b\r\rdata: c\n\r\n",
}


def split_events(data: bytes) -> list[StreamEvent]:
    return EventSplitter().feed(data)


@pytest.mark.parametrize("name", STREAMS)
def test_every_split_gives_the_same_events(name: str) -> None:
    stream = STREAMS[name]
    expected = split_events(stream)
    assert len(expected) >= 2
    for first in range(len(stream) + 1):
        for second in range(first, len(stream) + 1):
            splitter = EventSplitter()
            events = splitter.feed(stream[:first])
            events += splitter.feed(stream[first:second])
            events += splitter.feed(stream[second:])
            assert events == expected
            assert splitter.pending == b""


def test_splitting_byte_by_byte_keeps_every_byte() -> None:
    stream = STREAMS["line feeds"]
    splitter = EventSplitter()
    events = [event for byte in stream for event in splitter.feed(bytes([byte]))]
    assert b"".join(event.raw for event in events) == stream
    assert [event.id for event in events] == [1, 2, None]
    assert [event.data for event in events] == ["a", "b\nc", ""]


def test_a_partial_event_is_kept() -> None:
    splitter = EventSplitter()
    assert [event.id for event in splitter.feed(b"id: 7\n\nid: 8\nda")] == [7]
    assert splitter.pending == b"id: 8\nda"
    assert splitter.feed(b"ta: x\n\n") == [StreamEvent(b"id: 8\ndata: x\n\n", 8)]


def test_a_final_carriage_return_is_a_line_end_unless_line_feeds_are_used_too() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\rdata: a\r\r") == []
    assert [event.id for event in splitter.finish()] == [1]
    assert not splitter.has_partial_event
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\ndata: a\r\n\r") == []
    assert splitter.finish() == []
    assert splitter.has_partial_event


def test_empty_lines_after_the_last_event_are_no_event() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n\r\n")
    assert splitter.finish() == []
    assert not splitter.has_partial_event


def test_a_line_end_split_in_two_ends_no_event() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"data: a\r") == []
    assert splitter.feed(b"\ndata: b\r\n") == []
    assert [event.data for event in splitter.feed(b"\r\n")] == ["a\nb"]


@pytest.mark.parametrize(
    ("raw", "number"),
    [
        (b"id:5\n\n", 5),
        (b"id: x\n\n", None),
        (b"data: id: 5\n\n", None),
        (b"id: 1\nid: 2\n\n", 2),
        (b"versions: 3\nid: 4\ndata: x\n\n", 4),
        (b"id: " + b"9" * 5000 + b"\n\n", None),
    ],
)
def test_the_event_id_is_the_last_numeric_id_field(raw: bytes, number: int | None) -> None:
    assert [event.id for event in split_events(raw)] == [number]


def test_invalid_utf_8_in_data_is_replaced() -> None:
    assert split_events(b"data: \xff\xc3\xa9\n\n")[0].data == "\ufffd\xe9"
