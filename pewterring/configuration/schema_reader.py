"""Loads parts of a document by the schemas, in steps, and turns their messages into errors."""

from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from marshmallow import Schema, ValidationError

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.json_parts import decode, is_null, split_list, split_object
from pewterring.configuration.steps import Steps

STEP_ENTRIES = 200  # of a list: the schemas take some 25 us for each
LARGE_ITEM_BYTES = 8 * 1024  # a larger item is loaded without its list, and the list in parts


def load(schema: Schema, value: Any, path: str) -> Any:
    """Loads a value by its schema at once.

    Raises:
        ConfigurationError: The value is invalid; only its first error is raised.
    """
    try:
        return schema.load(value)
    except ValidationError as error:
        raise next(field_errors((path,) if path else (), error.messages)) from error


def item_steps(
    schema: Schema, list_schema: Schema, list_path: Sequence[str], item: msgspec.Raw, path: str
) -> Steps[dict[str, Any]]:
    """Loads an item in steps.

    Args:
        schema: The schema of the item.
        list_schema: The schema of a part of the item's list that may be long.
        list_path: The keys that lead to that list.
        item: The item as JSON.
        path: Where the item stands in the document.

    Raises:
        ConfigurationError: The item is invalid; only the first error found is raised.
    """
    if len(bytes(item)) <= LARGE_ITEM_BYTES:
        loaded: dict[str, Any] = load(schema, decode(item, path), path)
        yield
        return loaded
    plain, entries = _detach_list(item, list_path, path)
    loaded = load(schema, plain, path)
    yield
    if entries is None:
        return loaded
    holder = loaded
    for key in list_path[:-1]:
        holder = holder[key]
    holder[list_path[-1]] = yield from list_steps(list_schema, entries, ".".join((path, *list_path)))
    return loaded


def field_errors(path: tuple[str, ...], messages: Any) -> Iterator[ConfigurationError]:
    """Flattens marshmallow's nested error messages."""
    if isinstance(messages, dict):
        for key, inner in messages.items():
            yield from field_errors((*path, str(key)), inner)
        return
    for message in messages if isinstance(messages, list) else [messages]:
        yield ConfigurationError(".".join(path), str(message))


def _detach_list(
    item: msgspec.Raw, list_path: Sequence[str], path: str
) -> tuple[dict[str, Any], list[msgspec.Raw] | None]:
    """Returns the item as plain values without its list, and the list's entries; None without a list."""
    parts = split_object(item, path)
    key, *further = list_path
    entries: list[msgspec.Raw] | None = None
    detached: dict[str, Any] = {}
    if not is_null(parts.get(key)):
        part = parts.pop(key)
        if further:
            detached[key], entries = _detach_list(part, further, f"{path}.{key}")
        else:
            entries = split_list(part, f"{path}.{key}")
    plain = {name: decode(part, f"{path}.{name}") for name, part in parts.items()}
    return plain | detached, entries


def list_steps(schema: Schema, entries: Sequence[msgspec.Raw], path: str) -> Steps[list[Any]]:
    """Loads the entries of a list in steps.

    Args:
        schema: The schema of a part of the list.
        entries: The entries as JSON.
        path: Where the list stands in the document.

    Raises:
        ConfigurationError: An entry is invalid; only the first error found is raised.
    """
    loaded: list[Any] = []
    for start in range(0, len(entries), STEP_ENTRIES):
        values = [decode(entry, path) for entry in entries[start : start + STEP_ENTRIES]]
        try:
            loaded += schema.load(values)
        except ValidationError as error:
            raise next(_entry_errors(path, start, error.messages)) from error
        yield
    return loaded


def _entry_errors(path: str, start: int, messages: Any) -> Iterator[ConfigurationError]:
    """Yields the errors of a part of a list, whose messages count from the start of that part."""
    for index, inner in messages.items():
        place = str(start + index) if isinstance(index, int) else str(index)
        yield from field_errors((path, place), inner)
