"""A patch of the operator's configuration: named items of its lists that are added, replaced or removed.

Patching is done on the JSON text of each item, so that fields which nothing here reads stay as they came.
What can be checked without the configuration that is patched is checked by `read_patch`; `apply_patch` checks
the result. Items that the patch does not touch were valid before and are not checked anew.

`apply_patch` runs on each replica when the log entry is applied: its result is the same bytes everywhere.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
import orjson

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.reader import read_item_errors
from pewterring.configuration.references import RouteReferences, reference_errors

ROUTES, SERVICES, VERSION = "routes", "backends", "version"  # the documents' keys
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024  # as many as the body of a complete configuration may have
MAX_VERSION = 2**63 - 1  # larger numbers are not read alike by all decoders

ItemLists = dict[str, list[msgspec.Raw]]


class _Named(msgspec.Struct):
    """What all items of a list have in common."""

    name: str | None = None


class _PatchDocument(msgspec.Struct):
    """A patch as an operator sends it; unknown fields are ignored."""

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    upsert: ItemLists | None = None
    delete: dict[str, list[str]] | None = None


PATCH_FIELDS = frozenset(_PatchDocument.__struct_fields__)


@dataclass(frozen=True, slots=True)
class Patch:
    """Changes of lists by the name of the list. No name is both replaced and removed."""

    version: int
    upserts: Mapping[str, Mapping[str, msgspec.Raw]]  # items by name
    deletes: Mapping[str, frozenset[str]]


def read_patch(body: bytes) -> Patch:
    """Reads an operator's patch and checks its items.

    Raises:
        ConfigurationError: The first error of the patch.
    """
    patch = parse_patch(body)
    for error in _item_errors(patch.upserts):
        raise error
    return patch


def parse_patch(body: bytes) -> Patch:
    """Reads a patch and checks its names alone, which is what a patch that was checked before needs.

    Raises:
        ConfigurationError: It is no patch, or an item's name is missing, twice there or also to be removed.
    """
    try:
        document = msgspec.json.decode(body, type=_PatchDocument)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationError("", f"not a patch: {error}") from error
    deletes = {name: frozenset(names) for name, names in (document.delete or {}).items()}
    upserts = {
        name: _by_name(name, items, deletes.get(name, frozenset()))
        for name, items in (document.upsert or {}).items()
    }
    return Patch(document.version, upserts, deletes)


def is_patch(tree: Any) -> bool:
    """Whether a JSON document is meant as a patch rather than as a whole configuration."""
    return isinstance(tree, dict) and ROUTES not in tree and ("upsert" in tree or "delete" in tree)


def apply_patch(document: bytes, patch: Patch) -> bytes:
    """The configuration after the patch, on one line.

    `document` is the configuration before it, `null` where there is none yet.

    Raises:
        ConfigurationError: The result is no valid configuration, or is larger than one may be.
    """
    content = msgspec.json.decode(document, type=dict[str, msgspec.Raw] | None) or {}
    for name in [*patch.upserts, *patch.deletes]:
        items = _items(name, content.get(name))
        content[name] = _encoded(
            _patched(items, patch.upserts.get(name, {}), patch.deletes.get(name, frozenset()))
        )
    content[VERSION] = msgspec.Raw(str(patch.version).encode())
    for error in _result_errors(content):
        raise error
    result = _encoded(content)
    if len(result) > MAX_DOCUMENT_BYTES:
        raise ConfigurationError("", f"the patched configuration has over {MAX_DOCUMENT_BYTES} bytes")
    return bytes(result)


def _by_name(list_name: str, items: Iterable[msgspec.Raw], deleted: frozenset[str]) -> dict[str, msgspec.Raw]:
    """The items of one list of a patch by their names, each of which stands once."""
    named: dict[str, msgspec.Raw] = {}
    for index, item in enumerate(items):
        at = f"upsert.{list_name}.{index}"
        name = _name_of(at, item)
        if not name:
            raise ConfigurationError(f"{at}.name", "an item of a patch needs a name")
        if name in named:
            raise ConfigurationError(f"{at}.name", f"{name!r} is there twice")
        if name in deleted:
            raise ConfigurationError(f"{at}.name", f"{name!r} is to be removed as well")
        named[name] = item.copy()
    return named


def _name_of(path: str, item: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(item, type=_Named).name or ""
    except msgspec.MsgspecError as error:
        raise ConfigurationError(path, str(error)) from error


def _item_errors(upserts: Mapping[str, Mapping[str, msgspec.Raw]]) -> Iterator[ConfigurationError]:
    """Errors of items by themselves, in the lists that are read."""
    read = {name: items for name, items in upserts.items() if name in (ROUTES, SERVICES)}
    items = {name: [orjson.loads(bytes(item)) for item in each.values()] for name, each in read.items()}
    yield from read_item_errors(items, "upsert")


def _items(name: str, raw: msgspec.Raw | None) -> list[msgspec.Raw]:
    if raw is None:
        return []
    try:
        return msgspec.json.decode(raw, type=list[msgspec.Raw] | None) or []
    except msgspec.MsgspecError as error:
        raise ConfigurationError(name, "not a list of named items") from error


def _patched(
    items: Iterable[msgspec.Raw], upserts: Mapping[str, msgspec.Raw], deletes: frozenset[str]
) -> list[msgspec.Raw]:
    """The items of a list after the patch: replaced ones where they were, new ones at the end."""
    remaining = dict(upserts)
    patched = []
    for item in items:
        name = _name_of("", item)
        if name in deletes:
            continue
        if name not in upserts:
            patched.append(item)
        elif name in remaining:  # else a second item of that name, which the first one's replacement covers
            patched.append(remaining.pop(name))
    return patched + list(remaining.values())


def _result_errors(content: Mapping[str, msgspec.Raw]) -> Iterator[ConfigurationError]:
    """Errors that items of the patched configuration have together."""
    for name in (ROUTES, SERVICES):
        if name not in content:
            yield ConfigurationError(name, "the patched configuration has none")
            return
    services = [_name_of(SERVICES, item) for item in _items(SERVICES, content.get(SERVICES))]
    routes = [_references(item) for item in _items(ROUTES, content.get(ROUTES))]
    yield from reference_errors(services, routes)


def _references(route: msgspec.Raw) -> RouteReferences:
    try:
        return msgspec.json.decode(route, type=RouteReferences)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(ROUTES, str(error)) from error


def _encoded(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))
