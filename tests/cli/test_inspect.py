"""`pewterring inspect`: reads the data folder of a member without changing it."""

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
    """A data folder with a group of five log entries, two of them covered by a snapshot."""
    disk = FolderDisk(tmp_path)
    member_name(tmp_path, "10.0.0.1", disk, tag="a")
    storage = DiskGroupStorage(disk, "batch-0")
    storage.load()
    storage.initialize(FIRST)
    entries = [
        Entry(number, 3, "command", msgspec.Raw(b'{"type":"AcceptJob","job":"j%d"}' % number))
        for number in range(1, 5)
    ]
    storage.save(
        HardState(3, "10.0.0.1#a"), None, [*entries, Entry(5, 3, ENTRY_MEMBERS, encode_membership(SECOND))]
    )
    storage.save_snapshot(2, 3, FIRST, b'{"jobs":[1,2]}')
    storage.close()
    return tmp_path


def read_files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def printed_objects(capsys: pytest.CaptureFixture[str]) -> list[dict[str, Any]]:
    return [json.loads(line) for line in capsys.readouterr().out.splitlines()]


def test_the_log_after_the_snapshot_is_shown(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "log", str(folder), "--json"]) == 0
    entries = printed_objects(capsys)
    assert [(entry["index"], entry["kind"]) for entry in entries] == [
        (3, "command"),
        (4, "command"),
        (5, "members"),
    ]
    assert entries[0]["data"] == {"type": "AcceptJob", "job": "j3"}
    assert main(["inspect", "log", str(folder), "--last", "1"]) == 0
    output = capsys.readouterr().out
    assert "term 3, vote 10.0.0.1#a, snapshot up to 2" in output
    assert '"j4"' not in output
    assert "members" in output


def test_the_snapshot_is_shown(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "snapshot", str(folder)]) == 0
    assert "up to index 2, term 3, 14 bytes" in capsys.readouterr().out
    assert main(["inspect", "snapshot", str(folder), "--json"]) == 0
    assert printed_objects(capsys)[0]["content"] == {"jobs": [1, 2]}


def test_the_members_and_their_changes_are_shown(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "members", str(folder), "--json"]) == 0
    (output,) = printed_objects(capsys)
    assert output["own_tag"] == "a"
    assert [change["index"] for change in output["changes"]] == [2, 5]
    assert output["changes"][1]["learners"] == ["10.0.0.3#c"]
    assert main(["inspect", "members", str(folder)]) == 0
    assert "learners 10.0.0.3#c" in capsys.readouterr().out


@pytest.mark.parametrize("command", ["log", "snapshot", "members"])
def test_files_left_by_a_crash_are_not_changed(command: str, folder: Path) -> None:
    last = max(path for path in folder.glob("batch-0.*.log"))
    last.write_bytes(last.read_bytes() + b"half a record")
    (folder / "batch-0.snapshot.new").write_bytes(b"half a snapshot")
    before = read_files(folder)
    assert main(["inspect", command, str(folder)]) == 0
    assert read_files(folder) == before


def test_a_damaged_snapshot_is_reported(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (snapshot,) = folder.glob("*.snapshot")
    snapshot.write_bytes(snapshot.read_bytes()[:-1])
    assert main(["inspect", "snapshot", str(folder)]) == 1
    assert "is damaged" in capsys.readouterr().err


def test_a_folder_without_a_group_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "log", str(tmp_path)]) == 2
    assert "no log" in capsys.readouterr().err


def test_an_unknown_group_is_reported(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["inspect", "log", str(folder), "--group", "control"]) == 2
    assert "group control" in capsys.readouterr().err
