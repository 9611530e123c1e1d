"""Checks and shows operators' configurations of the serving tier, and generates their JSON Schema."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson
from marshmallow import fields, missing, validate

from pewterring.cli.findings import Findings, nearest_key, unknown_key_problem
from pewterring.configuration.patch import PATCH_FIELDS, is_patch
from pewterring.configuration.schema import configuration_schema
from pewterring.configuration.validation import document_errors

# Fields that operators send but that this program does not read.
UNUSED_FIELDS = frozenset({"protocol", "tls", "kv_bytes", "link_mbps", "version", "adapters"})
Fields = Mapping[str, fields.Field[Any]]


def check(path: Path) -> Findings:
    """Returns the problems of a configuration, including misspelled fields.

    Raises:
        OSError: The file cannot be read.
    """
    document = path.read_bytes()
    problems = [str(error) for error in document_errors(document)]
    unknown = dict(_find_unknown_fields(_decode(document)))
    problems += [
        unknown_key_problem(field_path, suggestion)
        for field_path, suggestion in unknown.items()
        if suggestion
    ]
    unused = sum(not suggestion for suggestion in unknown.values())
    return Findings(str(path), problems, f"{unused} fields that nothing here knows" if unused else "")


def _find_unknown_fields(tree: Any) -> Iterator[tuple[str, str]]:
    """Yields the unknown fields of a configuration, or of the items that a patch adds."""
    if not is_patch(tree):
        yield from _find_unknown(tree, _known_fields())
        return
    yield from _find_unknown({key: value for key, value in tree.items() if key not in PATCH_FIELDS}, {})
    yield from _find_unknown(tree.get("upsert"), _known_fields(), "upsert")


def show(path: Path) -> list[tuple[str, object, str]]:
    """Returns each effective value with its origin."""
    return list(_effective_values(_decode(path.read_bytes()), _known_fields()))


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema of a configuration."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "pewterring configuration of the serving tier",
        **_object_schema(_known_fields()),
    }


def _known_fields() -> Fields:
    return configuration_schema().fields


def _decode(document: bytes) -> Any:
    try:
        return orjson.loads(document)
    except orjson.JSONDecodeError:
        return None


def _item_field(field: fields.Field[Any]) -> fields.Field[Any]:
    return field.inner if isinstance(field, fields.List) else field


def _nested_fields(field: fields.Field[Any]) -> Fields | None:
    """Returns the fields of the objects in a field, or None if it contains no objects."""
    inner = _item_field(field)
    return inner.schema.fields if isinstance(inner, fields.Nested) else None


def _contained_objects(field: fields.Field[Any], value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Yields the objects in a field, each with its path."""
    if isinstance(field, fields.List):
        items = value if isinstance(value, list) else []
        yield from ((f"{path}.{index}", item) for index, item in enumerate(items))
    elif value is not None:
        yield path, value


def _find_unknown(tree: Any, known: Fields, path: str = "") -> Iterator[tuple[str, str]]:
    """Yields the path of each unknown field with the nearest known name or an empty string."""
    if not isinstance(tree, dict):
        return
    for name, value in tree.items():
        field_path = f"{path}.{name}" if path else name
        if name not in known:
            if name not in UNUSED_FIELDS:
                yield field_path, nearest_key(name, set(known) - set(tree))
            continue
        nested = _nested_fields(known[name])
        if nested is not None:
            for inner_path, item in _contained_objects(known[name], value, field_path):
                yield from _find_unknown(item, nested, inner_path)


def _effective_values(tree: Any, known: Fields, path: str = "") -> Iterator[tuple[str, object, str]]:
    given = tree if isinstance(tree, dict) else {}
    for name, field in known.items():
        field_path = f"{path}.{name}" if path else name
        value = given.get(name)
        nested = _nested_fields(field)
        if nested is not None and value is not None:
            for inner_path, item in _contained_objects(field, value, field_path):
                yield from _effective_values(item, nested, inner_path)
        elif value is not None:
            yield field_path, value, "file"
        elif nested is None and field.load_default is not missing and not callable(field.load_default):
            yield field_path, field.load_default, "default"


def _object_schema(known: Fields) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": {name: _property_schema(name, field) for name, field in known.items()},
        "required": [name for name, field in known.items() if field.required],
    }


def _property_schema(name: str, field: fields.Field[Any]) -> dict[str, Any]:
    if isinstance(field, fields.List):
        return {"type": "array", "items": _property_schema(name, field.inner)}
    nested = _nested_fields(field)
    if nested is not None:
        return _object_schema(nested)
    schema = _scalar_schema(field)
    units = {"_ms": "milliseconds", "_s": "seconds", "_bytes": "bytes", "_tokens": "tokens"}
    unit_name = next((text for suffix, text in units.items() if name.endswith(suffix)), "")
    if unit_name:
        schema["description"] = f"in {unit_name}"
    if field.load_default is not missing and not callable(field.load_default):
        schema["default"] = field.load_default
    return schema


def _scalar_schema(field: fields.Field[Any]) -> dict[str, Any]:
    if isinstance(field, fields.Enum):
        return {"type": "string", "enum": [member.value for member in field.enum]}
    for kind, name in ((fields.Boolean, "boolean"), (fields.Integer, "integer"), (fields.Float, "number")):
        if isinstance(field, kind):
            return {"type": name, **_range_schema(field)}
    return {"type": "string"}


def _range_schema(field: fields.Field[Any]) -> dict[str, Any]:
    for rule in field.validators:
        if isinstance(rule, validate.Range) and rule.min is not None:
            return {"minimum" if rule.min_inclusive else "exclusiveMinimum": rule.min}
    return {}
