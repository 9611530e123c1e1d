"""Every type that stands under its name on the wire or on disk belongs to a golden file."""

import importlib
import pkgutil
from collections.abc import Iterator
from typing import get_args

import msgspec

from pewterring.storage import group as group_storage
from tests.golden.generate import FAMILIES
from tests.golden.rows import DATA, tag_of

PACKAGES = ("batch", "consensus", "control", "distribution", "registry", "storage", "transport")


def import_all() -> None:
    """Imports all modules of the packages, so that all types are known."""
    for name in PACKAGES:
        package = importlib.import_module(f"pewterring.{name}")
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            importlib.import_module(module.name)


def tagged_types(kind: type[msgspec.Struct] = msgspec.Struct) -> Iterator[type[msgspec.Struct]]:
    """The tagged types of the packages from which no others are derived."""
    for derived in kind.__subclasses__():
        yield from tagged_types(derived)
        is_ours = derived.__module__.startswith(tuple(f"pewterring.{name}." for name in PACKAGES))
        if is_ours and tag_of(derived) is not None and not derived.__subclasses__():
            yield derived


def test_each_tagged_type_has_a_golden_file() -> None:
    import_all()
    covered = {kind for family in FAMILIES for kind in family.types}
    stored = set(get_args(group_storage._Record))  # whose golden bytes are the segments of the folders
    assert set(tagged_types()) == {kind for kind in covered if tag_of(kind) is not None} | stored


def test_each_golden_file_is_compared() -> None:
    assert {path.name for path in DATA.glob("*.txt")} == {family.file for family in FAMILIES}
