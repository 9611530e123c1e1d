"""Patches of the operator's configuration, which add, replace or remove named items of its lists.

A patch is applied to the raw JSON of each item, so that fields unknown to this version are preserved byte
for byte. `read_patch` checks everything that does not depend on the patched configuration; `apply_patch`
checks the result. Items that the patch does not touch are already valid and are not checked again.

`apply_patch` runs on every replica when the log entry is applied and has to yield the same bytes on each.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.item_reader import RouteReader, service_steps
from pewterring.configuration.json_parts import DECODE_ERRORS, NULL, is_null
from pewterring.configuration.model import WeightedReference
from pewterring.configuration.references import RouteReferences, reference_errors
from pewterring.configuration.steps import StepMeter, Steps, complete

ROUTES, SERVICES, VERSION = "routes", "backends", "version"  # keys in the document
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024  # same limit as for the body of a complete configuration
MAX_VERSION = 2**63 - 1  # JSON decoders disagree on larger integers

Item = TypeVar("Item")
ItemLists = dict[str, list[msgspec.Raw]]


class _Named(msgspec.Struct, gc=False):
    """The field that items of all lists have in common."""

    name: str | None = None


class _PatchDocument(msgspec.Struct):
    """A patch as the operator sends it. Unknown fields are ignored."""

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    upsert: ItemLists | None = None
    delete: dict[str, list[str]] | None = None


class _RouteItem(msgspec.Struct, gc=False):
    """What of a route has to be unique or refers to services; its list of services is not decoded."""

    hostname: str
    path_prefix: str
    backend: str | None = None
    weighted_backends: msgspec.Raw = msgspec.Raw(NULL)


_name_decoder = msgspec.json.Decoder(_Named)
_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_names_decoder = msgspec.json.Decoder(list[_Named])
_routes_decoder = msgspec.json.Decoder(list[_RouteItem])
_references_decoder = msgspec.json.Decoder(list[WeightedReference] | None)

PATCH_FIELDS = frozenset(_PatchDocument.__struct_fields__)


@dataclass(frozen=True, slots=True)
class Patch:
    """Changes by the name of the list. No item is in both `upserts` and `deletes`."""

    version: int
    upserts: Mapping[str, Mapping[str, msgspec.Raw]]  # items by name
    deletes: Mapping[str, frozenset[str]]


def read_patch(body: bytes) -> Patch:
    """Parses an operator's patch and validates its items.

    Raises:
        ConfigurationError: The patch is invalid; only its first error is raised.
    """
    return complete(patch_steps(body))


def patch_steps(body: bytes) -> Steps[Patch]:
    """Does the work of `read_patch` in steps, and raises the same errors."""
    patch = yield from _parsing_steps(body)
    yield from _item_steps(patch.upserts)
    return patch


def parse_patch(body: bytes) -> Patch:
    """Parses a patch and checks only the names of its items; enough for a patch that was validated before.

    Raises:
        ConfigurationError: The body is not a patch, or the name of an item is missing, duplicated or also in
            `delete`.
    """
    return complete(_parsing_steps(body))


def is_patch(tree: Any) -> bool:
    """Whether a JSON document is a patch rather than a complete configuration."""
    return isinstance(tree, dict) and ROUTES not in tree and ("upsert" in tree or "delete" in tree)


def apply_patch(document: bytes, patch: Patch) -> bytes:
    """Returns the patched configuration on a single line.

    `document` is the configuration to patch, `null` if there is none yet.

    Raises:
        ConfigurationError: The result is not a valid configuration or exceeds `MAX_DOCUMENT_BYTES`.
    """
    content = msgspec.json.decode(document, type=dict[str, msgspec.Raw] | None) or {}
    for name in [*patch.upserts, *patch.deletes]:
        upserts, deletes = patch.upserts.get(name, {}), patch.deletes.get(name, frozenset())
        content[name] = _encoded(_patched_items(name, content.get(name), upserts, deletes))
    content[VERSION] = msgspec.Raw(str(patch.version).encode())
    for error in _result_errors(content):
        raise error
    result = _encoded(content)
    if len(result) > MAX_DOCUMENT_BYTES:
        raise ConfigurationError("", f"the patched configuration has over {MAX_DOCUMENT_BYTES} bytes")
    return bytes(result)


def _parsing_steps(body: bytes) -> Steps[Patch]:
    try:
        document = msgspec.json.decode(body, type=_PatchDocument)
    except DECODE_ERRORS as error:
        raise ConfigurationError("", f"not a patch: {error}") from error
    deletes = {name: frozenset(names) for name, names in (document.delete or {}).items()}
    upserts: dict[str, Mapping[str, msgspec.Raw]] = {}
    for name, items in (document.upsert or {}).items():
        upserts[name] = yield from _naming_steps(name, items, deletes.get(name, frozenset()))
    return Patch(document.version, upserts, deletes)


def _naming_steps(
    list_name: str, items: Iterable[msgspec.Raw], deleted: frozenset[str]
) -> Steps[dict[str, msgspec.Raw]]:
    """Returns the items of one list of a patch by name; raises `ConfigurationError` for an invalid name."""
    meter = StepMeter()
    named: dict[str, msgspec.Raw] = {}
    for index, item in enumerate(items):
        item_path = f"upsert.{list_name}.{index}"
        name = _item_name(item_path, item)
        if not name:
            raise ConfigurationError(f"{item_path}.name", "an item of a patch needs a name")
        if name in named:
            raise ConfigurationError(f"{item_path}.name", f"{name!r} is there twice")
        if name in deleted:
            raise ConfigurationError(f"{item_path}.name", f"{name!r} is to be removed as well")
        named[name] = item.copy()
        if meter.is_step_full(len(bytes(item))):
            yield
    return named


def _item_name(path: str, item: msgspec.Raw) -> str:
    try:
        return _name_decoder.decode(item).name or ""
    except msgspec.MsgspecError as error:
        raise ConfigurationError(path, str(error)) from error


def _item_steps(upserts: Mapping[str, Mapping[str, msgspec.Raw]]) -> Steps[None]:
    """Reads the routes and services of a patch; raises `ConfigurationError` for the first invalid one."""
    meter = StepMeter()
    for index, item in enumerate(upserts.get(SERVICES, {}).values()):
        yield from service_steps(item, f"upsert.{SERVICES}.{index}")
        if meter.is_step_full(len(bytes(item))):
            yield
    reader = RouteReader()
    for index, item in enumerate(upserts.get(ROUTES, {}).values()):
        yield from reader.route_steps(item, f"upsert.{ROUTES}.{index}")
        if meter.is_step_full(len(bytes(item))):
            yield


def _decode_list(name: str, raw: msgspec.Raw | None, decoder: msgspec.json.Decoder[list[Item]]) -> list[Item]:
    """Decodes all items of a list by one call, which takes far less time than a call for each."""
    if raw is None or is_null(raw):
        return []
    try:
        return decoder.decode(raw)
    except msgspec.ValidationError as error:
        raise ConfigurationError(name, f"not a list of named items: {error}") from error


def _patched_items(
    list_name: str,
    raw: msgspec.Raw | None,
    upserts: Mapping[str, msgspec.Raw],
    deletes: frozenset[str],
) -> list[msgspec.Raw]:
    """Returns the patched list: replaced items keep their position, new items are appended."""
    items = _decode_list(list_name, raw, _items_decoder)
    names = _decode_list(list_name, raw, _names_decoder)
    remaining = dict(upserts)
    patched = []
    for item, named in zip(items, names, strict=True):
        name = named.name or ""
        if name in deletes:
            continue
        if name not in upserts:
            patched.append(item)
        elif name in remaining:  # else a duplicate name, whose first item was replaced already
            patched.append(remaining.pop(name))
    return patched + list(remaining.values())


def _result_errors(content: Mapping[str, msgspec.Raw]) -> Iterator[ConfigurationError]:
    """Yields errors of the patched configuration: missing lists, and errors between items."""
    for name in (ROUTES, SERVICES):
        if name not in content:
            yield ConfigurationError(name, "the patched configuration has none")
            return
    services = _decode_list(SERVICES, content[SERVICES], _names_decoder)
    routes = _decode_list(ROUTES, content[ROUTES], _routes_decoder)
    yield from reference_errors((service.name or "" for service in services), _references(routes))


def _references(routes: Iterable[_RouteItem]) -> Iterator[RouteReferences]:
    """Yields the references of each route; lists of services with the same text are decoded once."""
    known_lists: dict[bytes, Sequence[WeightedReference] | None] = {}
    for route in routes:
        text = bytes(route.weighted_backends)
        if text not in known_lists:
            known_lists[text] = _decode_references(text)
        yield RouteReferences(route.hostname, route.path_prefix, route.backend, known_lists[text])


def _decode_references(text: bytes) -> Sequence[WeightedReference] | None:
    try:
        return _references_decoder.decode(text)
    except msgspec.ValidationError as error:
        raise ConfigurationError(ROUTES, str(error)) from error


def _encoded(value: Any) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))
