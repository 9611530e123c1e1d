"""What control asks of an operator's document before the document may come into force.

Beyond the checks of `reader`, every reader has to understand the document alike: a key that stands twice in
one object, or nesting that another decoder gives up on, would be read differently from place to place, or
not at all once it is in the log.
"""

import json
from dataclasses import dataclass, field
from typing import Any

import orjson

from pewterring.configuration.digest import as_line, digest_of
from pewterring.configuration.patch import is_patch, read_patch
from pewterring.configuration.reader import (
    InvalidConfiguration,
    configuration_faults,
    read_configuration,
)

PATCH_DIGEST = "patch-"  # begins the digests of patches: an order is never taken for one of the other form


@dataclass(frozen=True, slots=True)
class Candidate:
    """A valid order of an operator, whole configuration or patch. `document` is its JSON on one line."""

    version: int
    digest: str
    document: bytes = field(repr=False)


def candidate(body: bytes) -> Candidate:
    """Checks the body of an order as it came; raises `InvalidConfiguration`."""
    configuration = read_configuration(body)
    digest = _digest(body)
    _check_keys(body)
    return Candidate(configuration.version, digest, as_line(body))


def patch_candidate(body: bytes) -> Candidate:
    """Checks a patch as it came, apart from what it is applied to; raises `InvalidConfiguration`."""
    digest = PATCH_DIGEST + _digest(body)
    _check_keys(body)
    patch = read_patch(body)
    return Candidate(patch.version, digest, as_line(body))


def document_faults(body: bytes) -> list[InvalidConfiguration]:
    """All faults for which control would refuse the body, as far as they can be told at once."""
    if _is_patch(body):
        return _patch_faults(body)
    faults = configuration_faults(body)
    if not faults:
        try:
            candidate(body)
        except InvalidConfiguration as error:
            faults.append(error)
    return faults


def _is_patch(body: bytes) -> bool:
    try:
        return is_patch(orjson.loads(body))
    except orjson.JSONDecodeError:
        return False


def _patch_faults(body: bytes) -> list[InvalidConfiguration]:
    try:
        patch_candidate(body)
    except InvalidConfiguration as error:
        return [error]
    return []


def _check_keys(document: bytes) -> None:
    """Raises `InvalidConfiguration` where an object of a JSON document has a key twice."""
    json.loads(document.decode(), object_pairs_hook=_check_pairs)


def _check_pairs(pairs: list[tuple[str, Any]]) -> None:
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise InvalidConfiguration("", f"the key {key!r} stands twice in one object")
        seen.add(key)


def _digest(document: bytes) -> str:
    try:
        return digest_of(document)
    except orjson.JSONDecodeError as error:
        raise InvalidConfiguration("", f"not JSON: {error}") from error
    except orjson.JSONEncodeError as error:  # the encoder's limit is lower than that of any decoder used
        raise InvalidConfiguration("", "nested too deeply") from error
