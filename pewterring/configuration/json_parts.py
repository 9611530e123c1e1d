"""Splits one level of a JSON document into its parts, which stay text.

Splitting costs far less than decoding; a large document is decoded part by part, in steps.
"""

from typing import Any, TypeVar

import msgspec
import orjson

from pewterring.configuration.errors import ConfigurationError

NULL = b"null"
ABSENT = msgspec.Raw(b"")  # default of the fields of `KnownParts`
# Raised by msgspec's decoder: its own errors, ValueError for invalid UTF-8, RecursionError for deep nesting.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

KnownParts = TypeVar("KnownParts", bound=msgspec.Struct)
Parts = TypeVar("Parts")

_object_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_list_decoder = msgspec.json.Decoder(list[msgspec.Raw])


def split_object(text: bytes | msgspec.Raw, path: str) -> dict[str, msgspec.Raw]:
    """Returns the values of a JSON object by key; of a key that stands there twice, the last value.

    Raises:
        ConfigurationError: The text is not an object.
    """
    return _split(text, _object_decoder, path, "not an object")


def known_parts(
    text: bytes | msgspec.Raw, decoder: msgspec.json.Decoder[KnownParts], path: str
) -> dict[str, msgspec.Raw]:
    """Returns those values of a JSON object by key that are fields of the decoder's type and in the object.

    Other values are skipped, however many there are.

    Raises:
        ConfigurationError: The text is not an object.
    """
    parts = _split(text, decoder, path, "not an object")
    fields = msgspec.structs.fields(parts)
    values = {field.encode_name: getattr(parts, field.name) for field in fields}
    return {key: value for key, value in values.items() if value is not ABSENT}


def split_list(text: bytes | msgspec.Raw, path: str) -> list[msgspec.Raw]:
    """Returns the entries of a JSON list.

    Raises:
        ConfigurationError: The text is not a list.
    """
    return _split(text, _list_decoder, path, "not a list")


def _split(
    text: bytes | msgspec.Raw, decoder: msgspec.json.Decoder[Parts], path: str, mismatch: str
) -> Parts:
    """Decodes one level of a text; `mismatch` is the reason if it is JSON of another kind."""
    try:
        return decoder.decode(text)
    except msgspec.ValidationError as error:
        raise ConfigurationError(path, mismatch) from error
    except DECODE_ERRORS as error:
        raise ConfigurationError(path, f"not JSON: {error}") from error


def is_null(text: msgspec.Raw | None) -> bool:
    """Whether a value is absent; the operator's format does not distinguish null from a missing value."""
    return text is None or bytes(text) == NULL


def decode(text: bytes | msgspec.Raw, path: str) -> Any:
    """Decodes a part into plain Python values.

    Raises:
        ConfigurationError: The text is not JSON.
    """
    try:
        return orjson.loads(bytes(text))
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(path, f"not JSON: {error}") from error
