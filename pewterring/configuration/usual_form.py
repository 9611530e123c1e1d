"""Rewrites objects that the schemas accept to the form that the records in `records` decode.

Generators of configurations write fields that are not set as null, and some write numbers as strings.
Rewriting these takes a small part of the time that the schemas take.
"""

import re
from collections.abc import Set

import msgspec

from pewterring.configuration.json_parts import NULL
from pewterring.configuration.records import EngineRecord, RouteRecord, ServiceRecord

_INTEGER_TEXT = re.compile(rb'"(0|[1-9][0-9]{0,14})"')  # means the same number to every reader
_parts_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])

ENGINE = "engine"  # key of a service's inner object


def _number_fields(record: type[msgspec.Struct]) -> frozenset[str]:
    """The fields of a record that hold a number."""
    fields = msgspec.structs.fields(record)
    return frozenset(field.encode_name for field in fields if _is_number(field.default))


def _is_number(default: object) -> bool:
    return isinstance(default, int | float) and not isinstance(default, bool)


_ROUTE_NUMBERS = _number_fields(RouteRecord)
_SERVICE_NUMBERS = _number_fields(ServiceRecord)
_ENGINE_NUMBERS = _number_fields(EngineRecord)


def usual_route(item: msgspec.Raw) -> bytes:
    """Returns a route without null fields and with numbers in place of their texts.

    Raises:
        MsgspecError: The item is not an object.
    """
    return msgspec.json.encode(_usual_parts(item, _ROUTE_NUMBERS))


def usual_service(item: msgspec.Raw) -> bytes:
    """Returns a service without null fields and with numbers in place of their texts, its engine as well.

    Raises:
        MsgspecError: The item or its engine is not an object.
    """
    parts = _usual_parts(item, _SERVICE_NUMBERS)
    if ENGINE in parts:
        parts[ENGINE] = msgspec.Raw(msgspec.json.encode(_usual_parts(parts[ENGINE], _ENGINE_NUMBERS)))
    return msgspec.json.encode(parts)


def _usual_parts(text: msgspec.Raw, numbers: Set[str]) -> dict[str, msgspec.Raw]:
    parts = {key: part for key, part in _parts_decoder.decode(text).items() if bytes(part) != NULL}
    for key in numbers & parts.keys():
        number = _INTEGER_TEXT.fullmatch(bytes(parts[key]))
        if number is not None:
            parts[key] = msgspec.Raw(number[1])
    return parts
