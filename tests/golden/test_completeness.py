"""Every type that stands under its name on the wire or on disk belongs to a golden file."""

from tests.golden.generate import FAMILIES
from tests.golden.rows import DATA, tag_of
from tests.golden.tagged_types import STORAGE, tagged_types


def test_each_tagged_type_has_a_golden_file() -> None:
    """Records of the log apart, whose golden bytes are the segments of the data folders."""
    covered = {kind for family in FAMILIES for kind in family.types if tag_of(kind) is not None}
    assert {kind for kind in tagged_types() if kind.__module__ != STORAGE} == covered


def test_each_golden_file_is_compared() -> None:
    assert {path.name for path in DATA.glob("*.txt")} == {family.file for family in FAMILIES}
