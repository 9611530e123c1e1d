"""Control and store exit with status 1 and one error line that names the file they cannot read."""

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
from tests.cli.test_programs import ROOT, TEST_TIMEOUT_S, write_settings
from tests.loopback import free_port
from tests.node.settings_texts import settings_text

GROUPS = {"control": "control", "store": "batch-1"}


def _write_group(folder: Path, group: str, state: bytes) -> None:
    storage = DiskGroupStorage(FolderDisk(folder), group)
    storage.load()
    storage.save_snapshot(1, 1, Membership(("127.0.0.1#seed",)), state)
    storage.close()


def _write_later_version(folder: Path, group: str) -> str:
    """Writes a log of an unknown format version; the snapshot content is never read."""
    _write_group(folder, group, b"{}")
    name = max(path.name for path in folder.glob(f"{group}.*.log"))
    record = read_record((folder / name).read_bytes(), 0)
    assert record is not None
    header = {**msgspec.json.decode(record.payload), "format": 99}
    (folder / name).write_bytes(encode_record(msgspec.json.encode(header) + b"\n", record.batch))
    return name


def _write_damaged(folder: Path, group: str) -> str:
    _write_group(folder, group, b"{}")
    name = f"{group}.{1:020d}.snapshot"
    content = bytearray((folder / name).read_bytes())
    content[HEADER_BYTES] ^= 1
    (folder / name).write_bytes(bytes(content))
    return name


def _write_undecodable(folder: Path, group: str) -> str:
    _write_group(folder, group, b'{"state": "of another program"}')
    return f"{group}.{1:020d}.snapshot"


@pytest.mark.parametrize("program", ["control", "store"])
@pytest.mark.parametrize("make_unreadable", [_write_later_version, _write_damaged, _write_undecodable])
def test_a_program_exits_if_a_file_cannot_be_read(
    program: str, make_unreadable: object, tmp_path: Path
) -> None:
    assert callable(make_unreadable)
    folder = tmp_path / "data"
    name = make_unreadable(folder, GROUPS[program])
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    text = settings_text(
        ip="127.0.0.1",
        data_dir=str(folder),
        bootstrap="false",
        listen_addrs__control=f"127.0.0.1:{free_port()}",
        ephemeral_ports=f"{free_port()},65535",
        seed_nodes="127.0.0.1:9",
    )
    completed = subprocess.run(
        [sys.executable, "-m", "pewterring", program, "--settings", write_settings(tmp_path, text)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
    )
    assert completed.returncode == 1
    assert completed.stdout == ""
    lines = [orjson.loads(line) for line in completed.stderr.splitlines()]
    errors = [line for line in lines if line["level"].lower() not in ("info", "debug")]
    assert len(errors) == 1, completed.stderr
    assert name in errors[0]["message"]
    after = {path.name: path.read_bytes() for path in folder.iterdir() if path.name in before}
    assert after == before
