"""The types of the packages that talk or store, which stand under their names on the wire or on disk."""

import importlib
import pkgutil
from collections.abc import Iterator

import msgspec

from pewterring.storage.group_records import EntryRecord
from tests.golden.rows import tag_of

STORAGE = EntryRecord.__module__  # of the records of the log
PACKAGES = ("batch", "consensus", "control", "distribution", "registry", "storage", "transport")


def import_all() -> None:
    """Imports all modules of the packages, so that all types are known."""
    for name in PACKAGES:
        package = importlib.import_module(f"pewterring.{name}")
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)


def tagged_types() -> Iterator[type[msgspec.Struct]]:
    """The tagged types of the packages from which no others are derived."""
    import_all()
    yield from _derived(msgspec.Struct)


def _derived(kind: type[msgspec.Struct]) -> Iterator[type[msgspec.Struct]]:
    for derived in kind.__subclasses__():
        yield from _derived(derived)
        is_base = any(_is_ours(further) for further in derived.__subclasses__())
        if _is_ours(derived) and tag_of(derived) is not None and not is_base:
            yield derived


def _is_ours(kind: type[msgspec.Struct]) -> bool:
    return kind.__module__.startswith(tuple(f"pewterring.{name}." for name in PACKAGES))
