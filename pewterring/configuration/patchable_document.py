"""A configuration as it is kept to be patched: the items of its lists as raw JSON, and what refers to what.

Taking a document apart costs several times what a patch of one item does, and is done in steps. Items stay
raw JSON, so that fields unknown to this version are preserved byte for byte.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.json_parts import NULL, is_null
from pewterring.configuration.model import WeightedReference
from pewterring.configuration.references import RouteReferences, reference_errors
from pewterring.configuration.steps import StepMeter, Steps, complete

ROUTES, SERVICES, VERSION = "routes", "backends", "version"  # keys in the document
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024  # same limit as for the body of a complete configuration
COUNTED_BYTES = 64  # of work that one reference counts as

Item = TypeVar("Item")
Key = TypeVar("Key")
Upserts = Mapping[str, Mapping[str, msgspec.Raw]]  # items by name, by the name of their list
Deletes = Mapping[str, frozenset[str]]


class Named(msgspec.Struct, gc=False):
    """The field that items of all lists have in common."""

    name: str | None = None


class _RouteItem(msgspec.Struct, gc=False):
    """What of a route has to be unique or refers to services; its list of services is not decoded."""

    hostname: str
    path_prefix: str
    backend: str | None = None
    weighted_backends: msgspec.Raw = msgspec.Raw(NULL)


_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_names_decoder = msgspec.json.Decoder(list[Named])
_routes_decoder = msgspec.json.Decoder(list[_RouteItem])
_references_decoder = msgspec.json.Decoder(list[WeightedReference] | None)


@dataclass(frozen=True, slots=True)
class _ItemList:
    """One list of the document: its items and their names, which may be empty or stand there twice."""

    items: Sequence[msgspec.Raw] = ()
    names: Sequence[str] = ()

    def difference(self, upserts: Mapping[str, msgspec.Raw], deletes: frozenset[str]) -> "_Difference":
        """Returns the patched list: replaced items keep their position, new items are appended."""
        remaining = dict(upserts)
        items: list[msgspec.Raw] = []
        names: list[str] = []
        removed: list[msgspec.Raw] = []
        for item, name in zip(self.items, self.names, strict=True):
            patched = item
            if name in deletes or name in upserts:
                removed.append(item)
                if name not in remaining:  # deleted, or a duplicate name, whose first item was replaced
                    continue
                patched = remaining.pop(name)
            items.append(patched)
            names.append(name)
        result = _ItemList([*items, *remaining.values()], [*names, *remaining])
        return _Difference(result, removed, list(upserts.values()))


@dataclass(frozen=True, slots=True)
class _Difference:
    """A patched list, and the items that it lacks and has anew."""

    result: _ItemList
    removed: list[msgspec.Raw]
    added: list[msgspec.Raw]


_NO_DIFFERENCE = _Difference(_ItemList(), [], [])


class _References:
    """Counts the services, the uses of each service, and the routes of each host and path prefix."""

    def __init__(self) -> None:
        self.services: Counter[str] = Counter()
        self.uses: Counter[str] = Counter()
        self.paths: Counter[tuple[str, str]] = Counter()

    def counting_steps(self, routes: Iterable[_RouteItem], sign: int) -> Steps[None]:
        """Adds routes with a `sign` of 1, and takes them away with -1.

        Raises:
            ConfigurationError: A route's list of services is not one.
        """
        meter = StepMeter()
        lists: Counter[bytes] = Counter()  # many routes have the same list of services
        for route in routes:
            self.paths[route.hostname.lower(), route.path_prefix] += sign
            if route.backend is not None:
                self.uses[route.backend] += sign
            lists[bytes(route.weighted_backends)] += sign
            if meter.is_step_full(COUNTED_BYTES):
                yield
        for text, number in lists.items():
            for weighted in _decode_references(text) or ():
                self.uses[weighted.service] += number
                if meter.is_step_full(COUNTED_BYTES):
                    yield

    def merge(self, change: "_References") -> None:
        """Adds the counts of a change to these."""
        _add(self.services, change.services)
        _add(self.uses, change.uses)
        _add(self.paths, change.paths)

    def allow(self, change: "_References") -> bool:
        """Whether all references are there and unique with the change, if they are so without it."""
        services = {*change.services, *change.uses}
        return (
            all(self.paths[path] + change.paths[path] <= 1 for path in change.paths)
            and all(self.services[name] + change.services[name] <= 1 for name in change.services)
            and all(
                self.services[name] + change.services[name] > 0
                for name in services
                if self.uses[name] + change.uses[name] > 0
            )
        )


def _add(counts: Counter[Key], changes: Counter[Key]) -> None:
    for key, number in changes.items():
        counts[key] += number
        if not counts[key]:
            del counts[key]


class PatchableDocument:
    """One configuration that patches are applied to. Use `patchable_steps` to take a document apart."""

    def __init__(
        self, content: dict[str, msgspec.Raw], lists: dict[str, _ItemList], references: _References
    ) -> None:
        self._content = content
        self._lists = lists  # those that have been taken apart
        self._references = references

    def patched(self, version: int, upserts: Upserts, deletes: Deletes) -> bytes:
        """Applies a patch, and returns the patched configuration on a single line.

        Raises:
            ConfigurationError: The result is not a valid configuration or exceeds `MAX_DOCUMENT_BYTES`. This
                document is unchanged.
        """
        differences = {
            name: self._list(name).difference(upserts.get(name, {}), deletes.get(name, frozenset()))
            for name in [*upserts, *deletes]
        }
        lists = {name: difference.result for name, difference in differences.items()}
        content = self._content | {name: _encoded(each.items) for name, each in lists.items()}
        content[VERSION] = msgspec.Raw(str(version).encode())
        change = self._checked_change(content, differences)
        result = _encoded(content)
        if len(result) > MAX_DOCUMENT_BYTES:
            raise ConfigurationError("", f"the patched configuration has over {MAX_DOCUMENT_BYTES} bytes")
        self._content = content
        self._lists |= lists
        self._references.merge(change)
        return bytes(result)

    def _list(self, name: str) -> _ItemList:
        if name not in self._lists:
            self._lists[name] = _item_list(name, self._content.get(name))
        return self._lists[name]

    def _checked_change(
        self, content: Mapping[str, msgspec.Raw], differences: Mapping[str, _Difference]
    ) -> _References:
        """Returns what changes of the references; raises `ConfigurationError` if the result is invalid."""
        for name in (ROUTES, SERVICES):
            if name not in content:
                raise ConfigurationError(name, "the patched configuration has none")
        services = differences.get(SERVICES, _NO_DIFFERENCE)
        routes = differences.get(ROUTES, _NO_DIFFERENCE)
        change = _References()
        change.services.update(_names(SERVICES, services.added))
        change.services.subtract(_names(SERVICES, services.removed))
        complete(change.counting_steps(_route_items(_encoded(routes.added)), 1))
        complete(change.counting_steps(_route_items(_encoded(routes.removed)), -1))
        if not self._references.allow(change):
            for error in _result_errors(content):
                raise error
        return change


def patchable_steps(document: bytes) -> Steps[PatchableDocument]:
    """Takes a configuration apart in steps. `document` is `null` if there is none yet.

    Raises:
        ConfigurationError: A list of the document is not a list of items.
    """
    content = msgspec.json.decode(document, type=dict[str, msgspec.Raw] | None) or {}
    yield
    lists: dict[str, _ItemList] = {}
    for name in (SERVICES, ROUTES):
        lists[name] = _item_list(name, content.get(name))
        yield
    references = _References()
    references.services.update(lists[SERVICES].names)
    routes = _route_items(content.get(ROUTES))
    yield
    yield from references.counting_steps(routes, 1)
    return PatchableDocument(content, lists, references)


def _item_list(name: str, raw: msgspec.Raw | None) -> _ItemList:
    items = _decode_list(name, raw, _items_decoder)
    return _ItemList(items, [each.name or "" for each in _decode_list(name, raw, _names_decoder)])


def _decode_list(name: str, raw: msgspec.Raw | None, decoder: msgspec.json.Decoder[list[Item]]) -> list[Item]:
    """Decodes all items of a list by one call, which takes far less time than a call for each."""
    if raw is None or is_null(raw):
        return []
    try:
        return decoder.decode(raw)
    except msgspec.ValidationError as error:
        raise ConfigurationError(name, f"not a list of named items: {error}") from error


def _names(list_name: str, items: Sequence[msgspec.Raw]) -> list[str]:
    return [each.name or "" for each in _decode_list(list_name, _encoded(items), _names_decoder)]


def _route_items(raw: msgspec.Raw | None) -> list[_RouteItem]:
    return _decode_list(ROUTES, raw, _routes_decoder)


def _result_errors(content: Mapping[str, msgspec.Raw]) -> Iterator[ConfigurationError]:
    """Yields the errors between items of the patched configuration."""
    services = _decode_list(SERVICES, content[SERVICES], _names_decoder)
    yield from reference_errors(
        (service.name or "" for service in services), _references_of(_route_items(content[ROUTES]))
    )


def _references_of(routes: Iterable[_RouteItem]) -> Iterator[RouteReferences]:
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
