"""Validates an operator's document before control proposes it to the log.

Beyond the checks of `reader`, every reader has to understand the document alike: a key that stands twice in
one object, or nesting that another decoder gives up on, would be read differently by each, or not at all once
it is in the log.
"""

import json
from dataclasses import dataclass, field
from typing import Any

import orjson

from pewterring.configuration.digest import document_digest, single_line
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import is_patch, read_patch
from pewterring.configuration.reader import configuration_errors, read_configuration

PATCH_DIGEST_PREFIX = "patch-"  # keeps a patch from being taken for a repeated configuration, and the reverse


@dataclass(frozen=True, slots=True)
class ValidatedDocument:
    """A valid configuration or patch. `document` is its JSON on one line."""

    version: int
    digest: str
    document: bytes = field(repr=False)


def validate_configuration(body: bytes) -> ValidatedDocument:
    """Checks the body of a request that replaces the configuration.

    Raises:
        ConfigurationError: The first error of the document.
    """
    configuration = read_configuration(body)
    digest = _digest(body)
    _check_keys(body)
    return ValidatedDocument(configuration.version, digest, single_line(body))


def validate_patch(body: bytes) -> ValidatedDocument:
    """Checks the body of a request that patches the configuration, apart from what it is applied to.

    Raises:
        ConfigurationError: The first error of the patch.
    """
    digest = PATCH_DIGEST_PREFIX + _digest(body)
    _check_keys(body)
    patch = read_patch(body)
    return ValidatedDocument(patch.version, digest, single_line(body))


def document_errors(body: bytes) -> list[ConfigurationError]:
    """All errors for which control would refuse the body, as far as they can be found at once."""
    if not _is_patch(body) and (errors := configuration_errors(body)):
        return errors
    try:
        (validate_patch if _is_patch(body) else validate_configuration)(body)
    except ConfigurationError as error:
        return [error]
    return []


def _is_patch(body: bytes) -> bool:
    try:
        return is_patch(orjson.loads(body))
    except orjson.JSONDecodeError:
        return False


def _check_keys(document: bytes) -> None:
    """Raises `ConfigurationError` where an object of a JSON document has a key twice."""
    json.loads(document.decode(), object_pairs_hook=_check_pairs)


def _check_pairs(pairs: list[tuple[str, Any]]) -> None:
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise ConfigurationError("", f"the key {key!r} stands twice in one object")
        seen.add(key)


def _digest(document: bytes) -> str:
    try:
        return document_digest(document)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError("", f"not JSON: {error}") from error
    except orjson.JSONEncodeError as error:  # the encoder's limit is lower than that of any decoder used
        raise ConfigurationError("", "nested too deeply") from error
