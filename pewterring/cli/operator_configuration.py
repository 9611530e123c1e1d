"""An operator's configuration of the serving tier: checked, shown, and as a JSON Schema."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson
from marshmallow import fields, missing, validate

from pewterring.cli.findings import Findings, nearest, unknown_key
from pewterring.configuration.patch import PATCH_FIELDS, is_patch
from pewterring.configuration.schema import configuration_schema
from pewterring.configuration.validation import document_errors

# Fields that operators send and nothing here reads.
UNUSED_FIELDS = frozenset({"protocol", "tls", "kv_bytes", "link_mbps", "version", "adapters"})
Fields = Mapping[str, fields.Field[Any]]


def check(path: Path) -> Findings:
    """All errors of a configuration, slips of keys included. Raises OSError."""
    document = path.read_bytes()
    problems = [str(error) for error in document_errors(document)]
    unknown = dict(_unknown_fields(_tree(document)))
    problems += [unknown_key(at, meant) for at, meant in unknown.items() if meant]
    others = sum(not meant for meant in unknown.values())
    return Findings(str(path), problems, f"{others} fields that nothing here knows" if others else "")


def _unknown_fields(tree: Any) -> Iterator[tuple[str, str]]:
    """Unknown fields of a configuration, or of the items that a patch adds."""
    if not is_patch(tree):
        yield from _unknown(tree, _known())
        return
    yield from _unknown({key: value for key, value in tree.items() if key not in PATCH_FIELDS}, {})
    yield from _unknown(tree.get("upsert"), _known(), "upsert")


def show(path: Path) -> list[tuple[str, object, str]]:
    """Each value in force and its origin."""
    return list(_values(_tree(path.read_bytes()), _known()))


def json_schema() -> dict[str, Any]:
    """The schema of a configuration."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "pewterring configuration of the serving tier",
        **_object(_known()),
    }


def _known() -> Fields:
    return configuration_schema().fields


def _tree(document: bytes) -> Any:
    try:
        return orjson.loads(document)
    except orjson.JSONDecodeError:
        return None


def _inner(field: fields.Field[Any]) -> fields.Field[Any]:
    return field.inner if isinstance(field, fields.List) else field


def _nested(field: fields.Field[Any]) -> Fields | None:
    """The fields of the objects that a field holds, if it holds such."""
    inner = _inner(field)
    return inner.schema.fields if isinstance(inner, fields.Nested) else None


def _objects(field: fields.Field[Any], value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """The objects that a field holds, each with its path."""
    if isinstance(field, fields.List):
        listed = value if isinstance(value, list) else []
        yield from ((f"{path}.{index}", each) for index, each in enumerate(listed))
    elif value is not None:
        yield path, value


def _unknown(tree: Any, known: Fields, path: str = "") -> Iterator[tuple[str, str]]:
    """The path of each unknown field, with the nearest known name or an empty string."""
    if not isinstance(tree, dict):
        return
    for name, value in tree.items():
        at = f"{path}.{name}" if path else name
        if name not in known:
            if name not in UNUSED_FIELDS:
                yield at, nearest(name, set(known) - set(tree))
            continue
        nested = _nested(known[name])
        if nested is not None:
            for inner_path, each in _objects(known[name], value, at):
                yield from _unknown(each, nested, inner_path)


def _values(tree: Any, known: Fields, path: str = "") -> Iterator[tuple[str, object, str]]:
    given = tree if isinstance(tree, dict) else {}
    for name, field in known.items():
        at = f"{path}.{name}" if path else name
        value = given.get(name)
        nested = _nested(field)
        if nested is not None and value is not None:
            for inner_path, each in _objects(field, value, at):
                yield from _values(each, nested, inner_path)
        elif value is not None:
            yield at, value, "file"
        elif nested is None and field.load_default is not missing and not callable(field.load_default):
            yield at, field.load_default, "default"


def _object(known: Fields) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": {name: _property(name, field) for name, field in known.items()},
        "required": [name for name, field in known.items() if field.required],
    }


def _property(name: str, field: fields.Field[Any]) -> dict[str, Any]:
    if isinstance(field, fields.List):
        return {"type": "array", "items": _property(name, field.inner)}
    nested = _nested(field)
    if nested is not None:
        return _object(nested)
    described = _plain(field)
    unit = {"_ms": "milliseconds", "_s": "seconds", "_bytes": "bytes", "_tokens": "tokens"}
    said = next((text for suffix, text in unit.items() if name.endswith(suffix)), "")
    if said:
        described["description"] = f"in {said}"
    if field.load_default is not missing and not callable(field.load_default):
        described["default"] = field.load_default
    return described


def _plain(field: fields.Field[Any]) -> dict[str, Any]:
    if isinstance(field, fields.Enum):
        return {"type": "string", "enum": [member.value for member in field.enum]}
    for kind, name in ((fields.Boolean, "boolean"), (fields.Integer, "integer"), (fields.Float, "number")):
        if isinstance(field, kind):
            return {"type": name, **_range(field)}
    return {"type": "string"}


def _range(field: fields.Field[Any]) -> dict[str, Any]:
    for rule in field.validators:
        if isinstance(rule, validate.Range) and rule.min is not None:
            return {"minimum" if rule.min_inclusive else "exclusiveMinimum": rule.min}
    return {}
