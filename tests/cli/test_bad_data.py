"""Control and store on files that they cannot read: one line names the file, and the end is not zero."""

import subprocess
import sys
from pathlib import Path

import msgspec
import orjson
import pytest

from pewterring.consensus.messages import Membership
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.records import HEADER_BYTES, encode_record, read_record
from tests.cli.test_programs import PATIENCE_S, ROOT, written
from tests.loopback import free_port
from tests.node.settings_texts import settings_text

GROUPS = {"control": "control", "store": "batch-1"}


def _fill(folder: Path, group: str, state: bytes) -> None:
    storage = DiskGroupStorage(FolderDisk(folder), group)
    storage.load()
    storage.save_snapshot(1, 1, Membership(("127.0.0.1#seed",)), state)
    storage.close()


def _of_a_later_version(folder: Path, group: str) -> str:
    """Gives the log a format of its own; the snapshot is of a state that nobody gets to read."""
    _fill(folder, group, b"{}")
    name = max(path.name for path in folder.glob(f"{group}.*.log"))
    record = read_record((folder / name).read_bytes(), 0)
    assert record is not None
    head = {**msgspec.json.decode(record.payload), "format": 99}
    (folder / name).write_bytes(encode_record(msgspec.json.encode(head) + b"\n", record.batch))
    return name


def _damaged(folder: Path, group: str) -> str:
    _fill(folder, group, b"{}")
    name = f"{group}.{1:020d}.snapshot"
    content = bytearray((folder / name).read_bytes())
    content[HEADER_BYTES] ^= 1
    (folder / name).write_bytes(bytes(content))
    return name


def _undecodable(folder: Path, group: str) -> str:
    _fill(folder, group, b'{"state": "of another program"}')
    return f"{group}.{1:020d}.snapshot"


@pytest.mark.parametrize("program", ["control", "store"])
@pytest.mark.parametrize("spoil", [_of_a_later_version, _damaged, _undecodable])
def test_a_file_that_cannot_be_read_ends_the_program(program: str, spoil: object, tmp_path: Path) -> None:
    assert callable(spoil)
    folder = tmp_path / "data"
    name = spoil(folder, GROUPS[program])
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    text = settings_text(
        ip="127.0.0.1",
        data_dir=str(folder),
        bootstrap="false",
        listen_addrs__control=f"127.0.0.1:{free_port()}",
        ephemeral_ports=f"{free_port()},65535",
        seed_nodes="127.0.0.1:9",
    )
    done = subprocess.run(
        [sys.executable, "-m", "pewterring", program, "--settings", written(tmp_path, text)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
    )
    assert done.returncode == 1
    assert done.stdout == ""
    lines = [orjson.loads(line) for line in done.stderr.splitlines()]
    errors = [line for line in lines if line["level"].lower() not in ("info", "debug")]
    assert len(errors) == 1, done.stderr
    assert name in errors[0]["message"]
    after = {path.name: path.read_bytes() for path in folder.iterdir() if path.name in before}
    assert after == before
