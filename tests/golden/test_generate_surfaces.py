"""The program that writes the golden files: it knows all of them and overwrites none."""

import pytest

from tests.golden import generate_surfaces
from tests.golden.golden_files import DIRECTORY, read_text


def test_each_golden_file_is_known_to_the_program() -> None:
    assert {path.name for path in DIRECTORY.iterdir() if path.is_file()} == set(generate_surfaces.FILES)


def test_a_file_that_exists_is_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    name = next(iter(generate_surfaces.FILES))
    before = read_text(name)
    assert generate_surfaces.main([name]) == 1
    assert "is not overwritten" in capsys.readouterr().err
    assert read_text(name) == before


def test_an_unknown_file_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    assert generate_surfaces.main(["no-such-file"]) == 1
    assert "no such golden file" in capsys.readouterr().err
