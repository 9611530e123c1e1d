"""Computes the digest of a configuration document, checks its keys, and rewrites it to a single line.

The digest is stored in the replicated log. If its computation changed, a repeated request would look new.
The digest is that of the canonical text: compact, with sorted keys. The canonical text of a part stands in
that of the document as it is, so a large document is rewritten part by part.
"""

import hashlib
import itertools
import re
from collections.abc import Iterable, Iterator, Mapping

import msgspec
import orjson

from pewterring.configuration.canonical_stream import canonical_stream_steps
from pewterring.configuration.canonical_text import (
    MAX_NESTING,
    canonical_text,
    duplicate_key,
    nested_too_deeply,
)
from pewterring.configuration.json_parts import split_list, split_object
from pewterring.configuration.steps import STEP_BYTES, StepMeter, Steps, complete

DIGEST_CHARACTERS = 32  # 128 bits in hexadecimal: accidental collisions are negligible
SPLITTING_SPEEDUP = 8  # splitting a text takes that much less time than decoding it
# A part of shorter entries, or of more, is rewritten as a stream: splitting it takes one long step.
MIN_BYTES_PER_ENTRY = 8
MAX_ENTRIES_PER_CONTAINER = 64  # on average
MIN_BYTES_PER_VALUE = 64  # of an object, whose values are rewritten one by one and sorted
MAX_SPLIT_DEPTH = 8  # deeper parts are rewritten as a stream, since each level is split anew

_SPACE = re.compile(rb"[ \t\n\r]*+")
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"')


def document_digest(document: bytes) -> str:
    """Returns the digest of a JSON document's content, independent of key order and whitespace.

    Raises:
        ConfigurationError: The document is not JSON, is nested more deeply than the encoder supports, or has
            the same key twice in one object.
    """
    return complete(digest_steps(document))


def digest_steps(document: bytes) -> Steps[str]:
    """Computes `document_digest` in steps, and raises the same errors."""
    pieces = yield from _canonical_steps(document, 0, StepMeter())
    digest = hashlib.sha256()
    for piece in pieces:
        digest.update(piece)
    return digest.hexdigest()[:DIGEST_CHARACTERS]


def single_line(document: bytes) -> bytes:
    """Replaces line breaks by spaces. Valid JSON has raw line breaks only between tokens."""
    return document.replace(b"\r", b" ").replace(b"\n", b" ").strip()


def _canonical_steps(text: bytes, depth: int, meter: StepMeter) -> Steps[list[bytes]]:
    """Returns the canonical text in pieces. `depth` is the number of containers around the text."""
    if depth > MAX_NESTING:
        raise nested_too_deeply()
    if len(text) > STEP_BYTES:
        if depth > MAX_SPLIT_DEPTH or not _can_be_split(text):
            return (yield from canonical_stream_steps(text, depth, meter))
        if meter.is_step_full(len(text) // SPLITTING_SPEEDUP):
            yield
        if text[:1] == b"[":
            return (yield from _canonical_list_steps(text, depth, meter))
        if text[:1] == b"{":
            return (yield from _canonical_object_steps(text, depth, meter))
    piece = canonical_text(text, depth)
    if meter.is_step_full(len(text)):
        yield
    return [piece]


def _can_be_split(text: bytes) -> bool:
    entries, containers = text.count(b","), text.count(b"[") + text.count(b"{")
    return entries * MIN_BYTES_PER_ENTRY <= len(text) and entries <= containers * MAX_ENTRIES_PER_CONTAINER


def _canonical_list_steps(text: bytes, depth: int, meter: StepMeter) -> Steps[list[bytes]]:
    pieces: list[bytes] = []
    for group in _groups(split_list(text, "")):
        pieces.append(b",")
        if len(group) == 1:
            pieces += yield from _canonical_steps(group[0], depth + 1, meter)
            continue
        joined = b"[%b]" % b",".join(group)
        pieces.append(canonical_text(joined, depth)[1:-1])
        if meter.is_step_full(len(joined)):
            yield
    return [b"[", *pieces[1:], b"]"]


def _groups(entries: Iterable[msgspec.Raw]) -> Iterator[list[bytes]]:
    """Yields the entries of a list in groups of one step at most; a larger entry alone."""
    group: list[bytes] = []
    group_bytes = 0
    for entry in entries:
        text = bytes(entry)
        if group and group_bytes + len(text) > STEP_BYTES:
            yield group
            group, group_bytes = [], 0
        group.append(text)
        group_bytes += len(text)
    if group:
        yield group


def _canonical_object_steps(text: bytes, depth: int, meter: StepMeter) -> Steps[list[bytes]]:
    values = split_object(text, "")
    if len(values) * MIN_BYTES_PER_VALUE > len(text):
        return (yield from canonical_stream_steps(text, depth, meter))
    by_key: dict[str, list[bytes]] = {}
    for key, value in _entries(text, values):
        by_key[key] = yield from _canonical_steps(value, depth + 1, meter)
    entries = ([b",", orjson.dumps(key), b":", *by_key[key]] for key in sorted(by_key))
    pieces = list(itertools.chain.from_iterable(entries))
    return [b"{", *pieces[1:], b"}"]


def _entries(text: bytes, values: Mapping[str, msgspec.Raw]) -> Iterator[tuple[str, bytes]]:
    """Yields keys and values of an object in the order of the text; raises for a key that stands twice.

    `values` are the last values of each key. So if a key stands twice, the value at its first place is
    another one, or the key is seen again.
    """
    seen: set[str] = set()
    position = 1
    while (key_text := _STRING.match(text, _skip_space(text, position))) is not None:
        key: str = orjson.loads(key_text[0])
        value_at = _skip_space(text, _skip_space(text, key_text.end()) + len(b":"))
        value = bytes(values[key])
        position = _skip_space(text, value_at + len(value))
        if key in seen or not text.startswith(value, value_at) or text[position] not in b",}":
            raise duplicate_key(key)
        seen.add(key)
        yield key, value
        position += 1


def _skip_space(text: bytes, position: int) -> int:
    space = _SPACE.match(text, position)
    assert space is not None, "the pattern matches an empty text"
    return space.end()
