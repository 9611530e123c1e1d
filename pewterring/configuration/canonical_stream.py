"""Rewrites a JSON text to its canonical text in one pass, for texts of many small values.

The text is scanned for brackets and for the commas between entries. Whenever a step is full, the complete
entries of each open container are parsed and rewritten as one group; containers that close within a step are
part of a group of a container around them.
"""

import heapq
import re

import msgspec
import orjson

from pewterring.configuration.canonical_text import (
    MAX_NESTING,
    canonical_text,
    duplicate_key,
    nested_too_deeply,
    not_json,
)
from pewterring.configuration.json_parts import DECODE_ERRORS
from pewterring.configuration.steps import STEP_BYTES, StepMeter, Steps

STREAM_STEP_BYTES = STEP_BYTES // 4  # of a text of brackets and commas, which take the most time
MERGE_ENTRY_BYTES = 64  # of work that one entry of an object counts as when its groups are merged

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_OTHER = rb'[^"\[\]{},]++'  # numbers, literals, colons and spaces
_SHORT_CONTAINER = rb'\[[^"\[\]{}]{0,64}+\]|\{[^"\[\]{}]{0,64}+\}'
# Complete entries with their commas.
_ENTRIES = b"(?:(?:%b|%b|%b)*+,){1,64}+" % (_STRING, _OTHER, _SHORT_CONTAINER)
_TOKEN = re.compile(rb"%b|[\[\]{}]|%b|%b" % (_ENTRIES, _STRING, _OTHER), re.DOTALL)
_COMMA, _OPEN_LIST, _OPEN_OBJECT, _CLOSE_LIST, _CLOSE_OBJECT = b",[{]}"
_CLOSING = {_OPEN_LIST: _CLOSE_LIST, _OPEN_OBJECT: _CLOSE_OBJECT}
_SPACES = b" \t\r\n"

Pieces = list[bytes]


def canonical_stream_steps(text: bytes, depth: int, meter: StepMeter) -> Steps[Pieces]:
    """Returns the canonical text in pieces.

    Args:
        text: A JSON value.
        depth: The number of containers around the text.
        meter: Counts the work of the current step.

    Raises:
        ConfigurationError: The text is not JSON, is nested too deeply, or has a key twice in one object.
    """
    stripped = text.strip(_SPACES)
    if stripped[:1] not in (b"[", b"{"):
        return [canonical_text(stripped, depth)]
    _check_syntax(stripped)  # the scan needs it, and takes time that grows with the square of a wrong text
    yield
    return (yield from _Stream(stripped, depth, meter).steps())


class _Level:
    """An open container of the scan: its bracket, and where its current entry begins."""

    __slots__ = ("bracket", "container", "entry_start", "start")

    def __init__(self, bracket: int, start: int) -> None:
        self.bracket = bracket
        self.start = start
        self.entry_start = start + 1
        self.container: _Container | None = None  # None while all of it fits into a group


class _Stream:
    """One pass over a text."""

    def __init__(self, text: bytes, depth: int, meter: StepMeter) -> None:
        self._text = text
        self._depth = depth  # of the outermost container
        self._meter = meter  # counts the merging of objects; the scan has steps of its own
        self._levels: list[_Level] = []

    def steps(self) -> Steps[Pieces]:
        """Scans the text, and returns the canonical text in pieces."""
        step_end = STREAM_STEP_BYTES
        for token in _TOKEN.finditer(self._text):
            position = token.end() - 1
            character = self._text[position]
            if character == _COMMA:
                self._levels[-1].entry_start = position + 1
            elif character in _CLOSING:
                self._open(character, position)
            elif character in (_CLOSE_LIST, _CLOSE_OBJECT):
                pieces = yield from self._close(position)
                if not self._levels:
                    return pieces
            if position >= step_end:
                self._take_complete_entries()
                step_end = position + STREAM_STEP_BYTES
                yield
        raise AssertionError("the text is JSON, so its container is closed")

    def _open(self, bracket: int, position: int) -> None:
        if self._depth + len(self._levels) >= MAX_NESTING:
            raise nested_too_deeply()
        self._levels.append(_Level(bracket, position))

    def _close(self, position: int) -> Steps[Pieces]:
        """Closes the innermost container; returns its pieces if it is rewritten on its own."""
        level = self._levels.pop()
        if level.container is None and self._levels:
            return []
        container = self._container(level, len(self._levels))
        container.pass_comma(self._text, level.entry_start)
        container.take(self._text, position)
        pieces = yield from container.finish(self._meter)
        if self._levels:
            around = self._levels[-1].container
            assert around is not None, "a container that is rewritten on its own stands in such a container"
            around.add_value(pieces, position + 1)
        return pieces

    def _take_complete_entries(self) -> None:
        """Rewrites the complete entries of all open containers, outermost first."""
        for index, level in enumerate(self._levels):
            container = self._container(level, index)
            if container.is_value_open:
                continue
            container.pass_comma(self._text, level.entry_start)
            if level.entry_start > container.position:
                container.take(self._text, level.entry_start - 1)
            if index + 1 < len(self._levels):
                container.open_value(self._text, level.entry_start, self._levels[index + 1].start)

    def _container(self, level: _Level, index: int) -> "_Container":
        if level.container is None:
            kind = _List if level.bracket == _OPEN_LIST else _Object
            level.container = kind(level.start + 1, self._depth + index)
        return level.container


class _Container:
    """A container that is rewritten group by group.

    Attributes:
        position: Where the text begins that is not rewritten yet.
        follows_value: Whether `position` is the end of an entry that was added as a value of its own.
        is_value_open: Whether an entry that is rewritten on its own has begun and not ended.
    """

    def __init__(self, position: int, depth: int) -> None:
        self.position = position
        self.depth = depth
        self.follows_value = False
        self.is_value_open = False

    def pass_comma(self, text: bytes, entry_start: int) -> None:
        """Moves past the comma behind an entry that was added as a value of its own, if there is one."""
        if self.follows_value and entry_start > self.position:
            self.position = text.index(b",", self.position) + 1
            self.follows_value = False

    def take(self, text: bytes, end: int) -> None:
        """Takes the entries between `position` and `end` as one group."""
        group = text[self.position : end].strip(_SPACES)
        if group:
            self._take_group(group)
        self.position = end + 1

    def open_value(self, text: bytes, entry_start: int, start: int) -> None:
        """Begins an entry whose container, which starts at `start`, is rewritten on its own."""
        self._take_prefix(text[entry_start:start])
        self.is_value_open = True

    def add_value(self, pieces: Pieces, end: int) -> None:
        """Ends the entry that `open_value` has begun."""
        self._add_pieces(pieces)
        self.is_value_open = False
        self.follows_value = True
        self.position = end

    def finish(self, meter: StepMeter) -> Steps[Pieces]:
        """Returns the canonical text of the whole container."""
        raise NotImplementedError

    def _take_group(self, group: bytes) -> None:
        raise NotImplementedError

    def _take_prefix(self, prefix: bytes) -> None:
        raise NotImplementedError

    def _add_pieces(self, pieces: Pieces) -> None:
        raise NotImplementedError


class _List(_Container):
    def __init__(self, position: int, depth: int) -> None:
        super().__init__(position, depth)
        self._pieces: Pieces = []

    def finish(self, _meter: StepMeter) -> Steps[Pieces]:
        """Returns the canonical text of the list."""
        yield from ()
        return [b"[", *self._pieces[1:], b"]"]

    def _take_group(self, group: bytes) -> None:
        self._add_pieces([canonical_text(b"[%b]" % group, self.depth)[1:-1]])

    def _take_prefix(self, _prefix: bytes) -> None:
        """An entry of a list has no key."""

    def _add_pieces(self, pieces: Pieces) -> None:
        self._pieces.append(b",")
        self._pieces += pieces


class _Object(_Container):
    def __init__(self, position: int, depth: int) -> None:
        super().__init__(position, depth)
        self._groups: list[list[tuple[str, bytes]]] = []  # keys and the texts of entries, sorted by key
        self._key = ""

    def finish(self, meter: StepMeter) -> Steps[Pieces]:
        """Returns the canonical text of the object, with the entries of all groups in the order of keys."""
        joined: Pieces = []
        pieces: Pieces = []
        previous: str | None = None
        for key, entry in heapq.merge(*self._groups):
            if key == previous:
                raise duplicate_key(key)
            pieces.append(b"," if previous is not None else b"{")
            pieces.append(entry)
            previous = key
            if meter.is_step_full(MERGE_ENTRY_BYTES):
                joined.append(b"".join(pieces))
                pieces.clear()
                yield
        return [*joined, *pieces, b"}" if previous is not None else b"{}"]

    def _take_group(self, group: bytes) -> None:
        text = b"{%b}" % group
        canonical_text(text, self.depth)  # checks keys and nesting
        entries = orjson.loads(text)
        self._groups.append([(key, _entry_text(key, entries[key])) for key in sorted(entries)])

    def _take_prefix(self, prefix: bytes) -> None:
        (self._key,) = orjson.loads(b"{%b0}" % prefix)

    def _add_pieces(self, pieces: Pieces) -> None:
        self._groups.append([(self._key, b"".join([orjson.dumps(self._key), b":", *pieces]))])


def _entry_text(key: str, value: object) -> bytes:
    return orjson.dumps({key: value}, option=orjson.OPT_SORT_KEYS)[1:-1]


def _check_syntax(text: bytes) -> None:
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except DECODE_ERRORS as error:
        raise not_json(str(error)) from error
