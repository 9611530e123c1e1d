"""A patch of the operator's configuration: named items of its lists that are added, replaced or removed.

Patching is done on the JSON text of each item, so that fields which nothing here reads stay as they came.
What can be judged without the configuration that is patched is checked by `read_patch`; `apply_patch` judges
the result. Items that the patch does not touch were valid before and are not checked anew.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
import orjson

from pewterring.configuration.reader import (
    InvalidConfiguration,
    field_faults,
    item_faults,
    load_items,
    reference_faults,
)

ROUTES = "routes"
SERVICES = "backends"
VERSION = "version"
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024  # what an order of a whole configuration may have

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


class _WeightedReference(msgspec.Struct):
    backend: str


class _RouteReferences(msgspec.Struct):
    """What a route shares with others or refers to."""

    hostname: str
    path_prefix: str
    backend: str | None = None
    weighted_backends: list[_WeightedReference] | None = None


PATCH_FIELDS = frozenset(_PatchDocument.__struct_fields__)


@dataclass(frozen=True, slots=True)
class Patch:
    """Changes of lists by the name of the list. No name is both replaced and removed."""

    version: int
    upserts: Mapping[str, Mapping[str, msgspec.Raw]]  # items by name
    deletes: Mapping[str, frozenset[str]]


def read_patch(body: bytes) -> Patch:
    """Reads an operator's patch and checks its items; raises `InvalidConfiguration`: the first fault."""
    patch = parse_patch(body)
    for fault in _item_faults(patch.upserts):
        raise fault
    return patch


def parse_patch(body: bytes) -> Patch:
    """Reads a patch and checks its names alone, which is what a patch that was checked before needs."""
    try:
        document = msgspec.json.decode(body, type=_PatchDocument)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidConfiguration("", f"not a patch: {error}") from error
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
    """The configuration after the patch, on one line; raises `InvalidConfiguration` where it is not valid.

    `document` is `null` before the first configuration.
    """
    content = msgspec.json.decode(document, type=dict[str, msgspec.Raw] | None) or {}
    for name in [*patch.upserts, *patch.deletes]:
        items = _items(name, content.get(name))
        content[name] = _encoded(
            _patched(items, patch.upserts.get(name, {}), patch.deletes.get(name, frozenset()))
        )
    content[VERSION] = msgspec.Raw(str(patch.version).encode())
    for fault in _result_faults(content):
        raise fault
    result = _encoded(content)
    if len(result) > MAX_DOCUMENT_BYTES:
        raise InvalidConfiguration("", f"the patched configuration has over {MAX_DOCUMENT_BYTES} bytes")
    return bytes(result)


def _by_name(list_name: str, items: Iterable[msgspec.Raw], deleted: frozenset[str]) -> dict[str, msgspec.Raw]:
    """The items of one list of a patch by their names, each of which stands once."""
    named: dict[str, msgspec.Raw] = {}
    for index, item in enumerate(items):
        at = f"upsert.{list_name}.{index}"
        name = _name_of(at, item)
        if not name:
            raise InvalidConfiguration(f"{at}.name", "an item of a patch needs a name")
        if name in named:
            raise InvalidConfiguration(f"{at}.name", f"{name!r} is there twice")
        if name in deleted:
            raise InvalidConfiguration(f"{at}.name", f"{name!r} is to be removed as well")
        named[name] = item.copy()
    return named


def _name_of(path: str, item: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(item, type=_Named).name or ""
    except msgspec.MsgspecError as error:
        raise InvalidConfiguration(path, str(error)) from error


def _item_faults(upserts: Mapping[str, Mapping[str, msgspec.Raw]]) -> Iterator[InvalidConfiguration]:
    """Faults of items by themselves, in the lists that are read."""
    known = {name: items for name, items in upserts.items() if name in (ROUTES, SERVICES)}
    raw = {name: [orjson.loads(bytes(item)) for item in items.values()] for name, items in known.items()}
    loaded, messages = load_items(raw)
    yield from field_faults(("upsert",), messages)
    if not messages:
        yield from item_faults(loaded, "upsert.")


def _items(name: str, raw: msgspec.Raw | None) -> list[msgspec.Raw]:
    if raw is None:
        return []
    try:
        return msgspec.json.decode(raw, type=list[msgspec.Raw] | None) or []
    except msgspec.MsgspecError as error:
        raise InvalidConfiguration(name, "not a list of named items") from error


def _patched(
    items: Iterable[msgspec.Raw], upserts: Mapping[str, msgspec.Raw], deletes: frozenset[str]
) -> list[msgspec.Raw]:
    """The items of a list after the patch: replaced ones in their places, new ones at the end."""
    left = dict(upserts)
    patched = []
    for item in items:
        name = _name_of("", item)
        if name in deletes:
            continue
        if name not in upserts:
            patched.append(item)
        elif name in left:
            patched.append(left.pop(name))
    return patched + list(left.values())


def _result_faults(content: Mapping[str, msgspec.Raw]) -> Iterator[InvalidConfiguration]:
    """Faults that items of the patched configuration have together."""
    for name in (ROUTES, SERVICES):
        if name not in content:
            yield InvalidConfiguration(name, "the patched configuration has none")
            return
    services = [_name_of(SERVICES, item) for item in _items(SERVICES, content.get(SERVICES))]
    routes = [_references(item) for item in _items(ROUTES, content.get(ROUTES))]
    yield from reference_faults({SERVICES: [{"name": name} for name in services], ROUTES: routes})


def _references(route: msgspec.Raw) -> dict[str, Any]:
    """The fields of a route that `reference_faults` looks at, those that are null left out."""
    try:
        read = msgspec.json.decode(route, type=_RouteReferences)
    except msgspec.MsgspecError as error:
        raise InvalidConfiguration(ROUTES, str(error)) from error
    return {key: value for key, value in msgspec.to_builtins(read).items() if value is not None}


def _encoded(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))
