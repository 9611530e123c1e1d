"""`pewterring inspect`: reads a member's folder as it is and changes nothing in it."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from pewterring.__main__ import main
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name

FIRST = Membership(("10.0.0.1#a", "10.0.0.2#b"))
SECOND = Membership(("10.0.0.1#a", "10.0.0.2#b"), ("10.0.0.3#c",))


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A folder with a group of five entries, of which a snapshot stands for two."""
    disk = FolderDisk(tmp_path)
    member_name(tmp_path, "10.0.0.1", disk, tag="a")
    storage = DiskGroupStorage(disk, "batch-0")
    storage.load()
    storage.initialize(FIRST)
    entries = [
        Entry(n, 3, "command", msgspec.Raw(b'{"type":"AcceptJob","job":"j%d"}' % n)) for n in range(1, 5)
    ]
    storage.save(
        HardState(3, "10.0.0.1#a"), None, [*entries, Entry(5, 3, ENTRY_MEMBERS, encode_membership(SECOND))]
    )
    storage.save_snapshot(2, 3, FIRST, b'{"jobs":[1,2]}')
    storage.close()
    return tmp_path


def content(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def objects(capsys: pytest.CaptureFixture[str]) -> list[dict[str, Any]]:
    return [json.loads(line) for line in capsys.readouterr().out.splitlines()]


def test_the_log_after_the_snapshot(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "log", str(folder), "--json"]) == 0
    entries = objects(capsys)
    assert [(entry["index"], entry["kind"]) for entry in entries] == [
        (3, "command"),
        (4, "command"),
        (5, "members"),
    ]
    assert entries[0]["data"] == {"type": "AcceptJob", "job": "j3"}
    assert main(["inspect", "log", str(folder), "--last", "1"]) == 0
    said = capsys.readouterr().out
    assert "term 3, vote 10.0.0.1#a, snapshot up to 2" in said
    assert '"j4"' not in said
    assert "members" in said


def test_the_snapshot(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "snapshot", str(folder)]) == 0
    assert "up to index 2, term 3, 14 bytes" in capsys.readouterr().out
    assert main(["inspect", "snapshot", str(folder), "--json"]) == 0
    assert objects(capsys)[0]["content"] == {"jobs": [1, 2]}


def test_the_members_and_their_changes(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "members", str(folder), "--json"]) == 0
    (said,) = objects(capsys)
    assert said["own_tag"] == "a"
    assert [change["index"] for change in said["changes"]] == [2, 5]
    assert said["changes"][1]["learners"] == ["10.0.0.3#c"]
    assert main(["inspect", "members", str(folder)]) == 0
    assert "learners 10.0.0.3#c" in capsys.readouterr().out


@pytest.mark.parametrize("what", ["log", "snapshot", "members"])
def test_nothing_is_changed_also_where_a_crash_left_something_to_repair(what: str, folder: Path) -> None:
    last = max(path for path in folder.glob("batch-0.*.log"))
    last.write_bytes(last.read_bytes() + b"half a record")
    (folder / "batch-0.snapshot.new").write_bytes(b"half a snapshot")
    before = content(folder)
    assert main(["inspect", what, str(folder)]) == 0
    assert content(folder) == before


def test_a_damaged_snapshot_is_told(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (snapshot,) = folder.glob("*.snapshot")
    snapshot.write_bytes(snapshot.read_bytes()[:-1])
    assert main(["inspect", "snapshot", str(folder)]) == 1
    assert "is damaged" in capsys.readouterr().err


def test_a_folder_without_a_group_is_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "log", str(tmp_path)]) == 2
    assert "no log" in capsys.readouterr().err


def test_a_group_that_is_not_there_is_told(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "log", str(folder), "--group", "control"]) == 2
    assert "group control" in capsys.readouterr().err
