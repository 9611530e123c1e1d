"""`pewterring cluster recover`: its findings, its refusals and the files it writes."""

import datetime
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import msgspec
import pytest

from pewterring.__main__ import main
from pewterring.consensus.membership import encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState
from pewterring.consensus.recovery import RECOVERY_TERM_STEP
from pewterring.control.recovery import RECOVERIES_FILE, recover
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name
from tests.loopback import free_port, loopback_ip

OWN_IP, SECOND_IP, THIRD_IP = loopback_ip(61), loopback_ip(62), loopback_ip(63)
MEMBER = f"{OWN_IP}#seed"
VOTERS = Membership((MEMBER, f"{SECOND_IP}#seed", f"{THIRD_IP}#seed"))
CONFIRMATION = f"{MEMBER}@4.3"


class Handler(BaseHTTPRequestHandler):
    """Responds to every request with `status`."""

    status = 200

    def do_GET(self) -> None:
        self.send_response(self.status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object, **__: object) -> None:
        pass


@contextmanager
def responding(ip: str, port: int, status: int) -> Iterator[None]:
    """Runs a control machine that responds with `status`."""
    handler = type("Answers", (Handler,), {"status": status})
    server = HTTPServer((ip, port), handler)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    try:
        yield
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


class Machine:
    """A control machine whose process has ended, with its settings file and data folder."""

    def __init__(self, folder: Path, membership: Membership = VOTERS) -> None:
        self.port = free_port(OWN_IP)
        self.data_dir = folder / "data"
        self.data_dir.mkdir()
        self.settings = folder / "node.conf"
        self.settings.write_text(
            f"node_id=control-1\nip={OWN_IP}\nzone=a\nlisten_addrs.control={OWN_IP}:{self.port}\n"
            f"ephemeral_ports=7660,7669\nseed_nodes={SECOND_IP}:{self.port}\ndata_dir={self.data_dir}\n"
        )
        disk = FolderDisk(self.data_dir)
        member_name(self.data_dir, OWN_IP, disk, tag="seed")
        storage = DiskGroupStorage(disk, "control")
        storage.load()
        storage.initialize(VOTERS)
        entries = [Entry(1, 3, "empty", msgspec.Raw(b"null")), Entry(2, 4, "empty", msgspec.Raw(b"null"))]
        entries.append(Entry(3, 4, ENTRY_MEMBERS, encode_membership(membership)))
        storage.save(HardState(4, MEMBER), None, entries)
        storage.close()

    def read_files(self) -> dict[str, bytes]:
        return {path.name: path.read_bytes() for path in self.data_dir.iterdir()}

    def recover(self, *options: str) -> int:
        return main(["cluster", "recover", str(self.settings), "--timeout-s", "1", *options])


@pytest.fixture
def machine(tmp_path: Path) -> Machine:
    return Machine(tmp_path)


def refusal_of(machine: Machine, capsys: pytest.CaptureFixture[str], *options: str) -> str:
    """Checks that the command exits with 2 and changes nothing; returns its error output."""
    before = machine.read_files()
    assert machine.recover(*options) == 2
    assert machine.read_files() == before
    return capsys.readouterr().err


def test_without_confirmation_the_command_prints_its_findings(
    machine: Machine, capsys: pytest.CaptureFixture[str]
) -> None:
    stderr = refusal_of(machine, capsys)
    for message in ("entry 3 of term 4", *VOTERS.voters, f"--confirm {CONFIRMATION}", "empty folders only"):
        assert message in stderr


def test_a_confirmation_of_another_state_is_refused(
    machine: Machine, capsys: pytest.CaptureFixture[str]
) -> None:
    stderr = refusal_of(machine, capsys, "--confirm", f"{MEMBER}@4.2")
    assert CONFIRMATION in stderr


@pytest.mark.parametrize(
    ("ip", "status", "message"),
    [
        (OWN_IP, 503, "stop control here first"),
        (SECOND_IP, 200, "has a leader with a majority"),
        (SECOND_IP, 503, "that is a majority"),
        (THIRD_IP, 503, "that is a majority"),
    ],
    ids=["own process", "leader", "second voter", "third voter"],
)
def test_a_group_that_has_a_majority_is_not_changed(
    machine: Machine, capsys: pytest.CaptureFixture[str], ip: str, status: int, message: str
) -> None:
    with responding(ip, machine.port, status):
        assert message in refusal_of(machine, capsys, "--confirm", CONFIRMATION)


def test_the_member_becomes_the_only_voter_and_the_recovery_is_recorded(
    machine: Machine, capsys: pytest.CaptureFixture[str]
) -> None:
    assert machine.recover("--confirm", CONFIRMATION) == 0
    assert "only voter" in capsys.readouterr().out
    loaded = DiskGroupStorage(FolderDisk(machine.data_dir), "control").load().state
    assert (loaded.term, loaded.vote) == (4 + RECOVERY_TERM_STEP, None)
    last = loaded.entries[-1]
    assert (last.index, last.term, last.kind) == (4, loaded.term, ENTRY_MEMBERS)
    assert last.data == encode_membership(Membership((MEMBER,)))
    record = json.loads((machine.data_dir / RECOVERIES_FILE).read_text())
    assert record["former"]["voters"] == list(VOTERS.voters)
    assert (record["last_index"], record["last_term"], record["format"]) == (3, 4, 1)
    assert "majority by itself" in refusal_of(machine, capsys, "--confirm", CONFIRMATION)


def test_the_record_is_stored_in_the_fixed_format(machine: Machine) -> None:
    recovered_at = datetime.datetime(2026, 12, 2, 17, 0, tzinfo=datetime.UTC)
    recover(FolderDisk(machine.data_dir), MEMBER, CONFIRMATION, recovered_at)
    voters = ",".join(f'"{voter}"' for voter in VOTERS.voters)
    assert (machine.data_dir / RECOVERIES_FILE).read_text() == (
        f'{{"at":"2026-12-02T17:00:00+00:00","member":"{MEMBER}",'
        f'"former":{{"voters":[{voters}],"learners":[]}},'
        '"last_index":3,"last_term":4,"term":1000004,"format":1}\n'
    )


def test_a_member_that_is_not_a_voter_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    learner = Machine(tmp_path, Membership(VOTERS.voters[1:], (MEMBER,)))
    assert "is no voter" in refusal_of(learner, capsys, "--confirm", CONFIRMATION)


def test_a_folder_without_a_member_is_refused(
    machine: Machine, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    settings = tmp_path / "other.conf"
    settings.write_text(machine.settings.read_text().replace(str(machine.data_dir), str(tmp_path)))
    machine.settings = settings
    assert "no member of a control group" in refusal_of(machine, capsys)
    settings.write_text("node_id=x\n")
    assert "is missing" in refusal_of(machine, capsys)
