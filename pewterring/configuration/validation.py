"""Validates an operator's document before a control process proposes it to the replicated log.

Beyond the checks of `reader`, the document has to mean the same to every JSON decoder in use. Decoders
disagree on duplicate keys in an object, and some fail on deep nesting; such a document in the log could be
read differently by different processes, or not at all.
"""

import json
from dataclasses import dataclass, field
from typing import Any

import orjson

from pewterring.configuration.digest import document_digest, single_line
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import is_patch, read_patch
from pewterring.configuration.reader import configuration_errors, read_configuration

PATCH_DIGEST_PREFIX = "patch-"  # so that a patch and a configuration never have the same digest


@dataclass(frozen=True, slots=True)
class ValidatedDocument:
    """A valid configuration or patch. `document` is its JSON on a single line."""

    version: int
    digest: str
    document: bytes = field(repr=False)


def validate_configuration(body: bytes) -> ValidatedDocument:
    """Validates the body of a request that replaces the configuration.

    Raises:
        ConfigurationError: The document is invalid; only its first error is raised.
    """
    configuration = read_configuration(body)
    digest = _digest(body)
    _check_keys(body)
    return ValidatedDocument(configuration.version, digest, single_line(body))


def validate_patch(body: bytes) -> ValidatedDocument:
    """Validates the body of a request that patches the configuration, without the configuration itself.

    Raises:
        ConfigurationError: The patch is invalid; only its first error is raised.
    """
    digest = PATCH_DIGEST_PREFIX + _digest(body)
    _check_keys(body)
    patch = read_patch(body)
    return ValidatedDocument(patch.version, digest, single_line(body))


def document_errors(body: bytes) -> list[ConfigurationError]:
    """Returns the errors for which control would reject the body, as many as one pass can find."""
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
    """Raises `ConfigurationError` if any object in the JSON document has a duplicate key."""
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
    except orjson.JSONEncodeError as error:  # the encoder's limit is lower than that of every decoder in use
        raise ConfigurationError("", "nested too deeply") from error
