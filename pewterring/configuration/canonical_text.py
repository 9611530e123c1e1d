"""The canonical text of a JSON value: compact, with sorted keys. No object may have the same key twice."""

import json
from typing import Any

import orjson

from pewterring.configuration.errors import ConfigurationError

MAX_NESTING = 254  # the encoder's limit, which is lower than that of every decoder in use


def canonical_text(text: bytes, depth: int) -> bytes:
    """Returns the canonical text of a part of a document.

    Args:
        text: The part, a JSON value.
        depth: The number of containers around the part, which count towards the limit on nesting.

    Raises:
        ConfigurationError: The text is not JSON, is nested too deeply, or has a key twice in one object.
    """
    try:
        value = orjson.loads(text)
        if orjson.dumps(value) != text:  # a compact text that is written back as it was lost no key
            json.loads(text.decode(), object_pairs_hook=_check_pairs)
        for _ in range(depth):
            value = [value]
        canonical = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except orjson.JSONDecodeError as error:
        raise not_json(str(error)) from error
    except orjson.JSONEncodeError as error:
        raise nested_too_deeply() from error
    return canonical[depth : len(canonical) - depth]


def not_json(reason: str) -> ConfigurationError:
    """The error of a text that is not JSON."""
    return ConfigurationError("", f"not JSON: {reason}")


def nested_too_deeply() -> ConfigurationError:
    """The error of a document with more than `MAX_NESTING` containers in each other."""
    return ConfigurationError("", "nested too deeply")


def duplicate_key(key: str) -> ConfigurationError:
    """The error of an object that has a key twice."""
    return ConfigurationError("", f"the key {key!r} stands twice in one object")


def _check_pairs(pairs: list[tuple[str, Any]]) -> None:
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise duplicate_key(key)
        seen.add(key)
