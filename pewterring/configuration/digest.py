"""Identifies a configuration by its content, and gives its document as one line."""

import hashlib

import orjson

DIGEST_CHARACTERS = 32


def digest_of(document: bytes) -> str:
    """A digest of what the JSON document says; the order of keys and blanks between tokens do not count."""
    canonical = orjson.dumps(orjson.loads(document), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()[:DIGEST_CHARACTERS]


def as_line(document: bytes) -> bytes:
    """The JSON document without line ends. In JSON these stand only between tokens."""
    return document.replace(b"\r", b" ").replace(b"\n", b" ").strip()
