"""Validates an operator's document before a control process proposes it to the replicated log.

Beyond the checks of `reader`, the document has to mean the same to every JSON decoder in use. Decoders
disagree on duplicate keys in an object, and some fail on deep nesting; such a document in the log could be
read differently by different processes, or not at all.
"""

from dataclasses import dataclass, field

import orjson

from pewterring.configuration.digest import digest_steps, single_line
from pewterring.configuration.error_list import configuration_errors
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import is_patch, patch_steps
from pewterring.configuration.reader import read_configuration, reading_steps
from pewterring.configuration.steps import Steps, complete, is_large

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
    return complete(configuration_steps(body))


def validate_patch(body: bytes) -> ValidatedDocument:
    """Validates the body of a request that patches the configuration, without the configuration itself.

    Raises:
        ConfigurationError: The patch is invalid; only its first error is raised.
    """
    return complete(validated_patch_steps(body))


def configuration_steps(body: bytes) -> Steps[ValidatedDocument]:
    """Does the work of `validate_configuration` in steps, and raises the same errors."""
    if is_large(body):
        configuration = yield from reading_steps(body)
    else:
        configuration = read_configuration(body)
    digest = yield from digest_steps(body)
    return ValidatedDocument(configuration.version, digest, single_line(body))


def validated_patch_steps(body: bytes) -> Steps[ValidatedDocument]:
    """Does the work of `validate_patch` in steps, and raises the same errors."""
    digest = yield from digest_steps(body)
    patch = yield from patch_steps(body)
    return ValidatedDocument(patch.version, PATCH_DIGEST_PREFIX + digest, single_line(body))


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
