"""The list of tests that may fail: read strictly, held to three, and emptied by whoever mends one."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import KnownFailure, KnownFailuresError, read_known

HERE = Path(__file__).resolve().parent
LINE = "tests/test_it.py::test_one | a cause | 30\n"


def test_the_list_is_read() -> None:
    assert read_known("") == []
    assert read_known("\n" + LINE) == [KnownFailure("tests/test_it.py::test_one", "a cause", "30")]


@pytest.mark.parametrize("text", ["what\n", "a::b | c\n", "a::b | | 3\n", LINE * 2, "ab | c | 3\n"])
def test_what_is_no_list(text: str) -> None:
    with pytest.raises(KnownFailuresError):
        read_known(text)


@pytest.mark.parametrize(
    ("known", "ends", "says"),
    [
        ("", 1, "1 failed, 1 passed"),
        (
            "tests/test_it.py::test_bad | broken | 30\n",
            0,
            "known red: tests/test_it.py::test_bad: broken (30)",
        ),
        ("tests/test_it.py::test_bad | b | 30\ntests/test_it.py::test_good | g | 30\n", 1, "XPASS(strict)"),
        ("tests/test_it.py::test_none | n | 30\n", 4, "no such test"),
        ("".join(f"tests/test_it.py::t{n} | n | 30\n" for n in range(4)), 4, "4 tests, 3 at most"),
    ],
)
def test_a_run_goes_by_the_list(tmp_path: Path, known: str, ends: int, says: str) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (tmp_path / "tests" / "test_it.py").write_text(
        "def test_good() -> None: pass\n\ndef test_bad() -> None: assert False\n"
    )
    if known:
        (tmp_path / "KNOWN-RED.txt").write_text(known)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "tests"]
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == ends, done.stdout + done.stderr
    assert says in done.stdout + done.stderr
