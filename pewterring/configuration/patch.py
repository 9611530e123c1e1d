"""Patches of the operator's configuration, which add, replace or remove named items of its lists.

`read_patch` checks everything that does not depend on the patched configuration; `apply_patch` checks the
result. Items that the patch does not touch are already valid and are not checked again.

Patches are applied on every replica when the log entry is applied, and have to yield the same bytes on each.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.item_reader import RouteReader, service_steps
from pewterring.configuration.json_parts import DECODE_ERRORS
from pewterring.configuration.patchable_document import (
    ROUTES,
    SERVICES,
    Deletes,
    Named,
    Upserts,
    patchable_steps,
)
from pewterring.configuration.steps import StepMeter, Steps, complete

MAX_VERSION = 2**63 - 1  # JSON decoders disagree on larger integers

ItemLists = dict[str, list[msgspec.Raw]]


class _PatchDocument(msgspec.Struct):
    """A patch as the operator sends it. Unknown fields are ignored."""

    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    upsert: ItemLists | None = None
    delete: dict[str, list[str]] | None = None


_name_decoder = msgspec.json.Decoder(Named)

PATCH_FIELDS = frozenset(_PatchDocument.__struct_fields__)


@dataclass(frozen=True, slots=True)
class Patch:
    """Changes by the name of the list. No item is in both `upserts` and `deletes`."""

    version: int
    upserts: Upserts
    deletes: Deletes


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

    `document` is the configuration to patch, `null` if there is none yet. For several patches in turn,
    keep a `PatchableDocument`.

    Raises:
        ConfigurationError: The result is not a valid configuration, or is too long.
    """
    return complete(patchable_steps(document)).patched(patch.version, patch.upserts, patch.deletes)


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
