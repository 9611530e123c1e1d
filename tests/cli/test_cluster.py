"""`pewterring cluster`: the status that control reports, and configurations and patches sent to it."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import msgspec
import pytest

from pewterring.__main__ import main
from pewterring.control.commands import Command, PutConfiguration, PutNodes, PutWorker, encode_command
from pewterring.control.state import ControlState
from pewterring.control.status import encode_status
from pewterring.distribution.messages import NodeRecord, WorkerRecord
from tests.configuration.documents import encoded

COMMANDS: tuple[Command, ...] = (
    PutConfiguration(0, 7, "digest", msgspec.Raw(b'{"version":7}')),
    PutNodes((NodeRecord("store-1", "store", "10.0.0.9", "z", "life", "10.0.0.9#a"),)),
    PutWorker(WorkerRecord("i-1", "chat", "10.0.1.1:8080", "z", 8, "ready")),
)


def state() -> ControlState:
    control_state = ControlState()
    for index, command in enumerate(COMMANDS, 1):
        control_state.apply(index, encode_command(command))
    return control_state


class Control(HTTPServer):
    """Responds by path, with 404 for unknown paths, and records POST requests."""

    responses: dict[str, tuple[int, bytes]]
    requests: list[tuple[str, str | None, bytes]]


class Handler(BaseHTTPRequestHandler):
    server: Control

    def do_GET(self) -> None:
        status, body = self.server.responses.get(self.path, (404, b"{}"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.requests.append((self.path, self.headers["Base-Version"], body))
        self.do_GET()

    def log_message(self, *_: object, **__: object) -> None:
        pass


@pytest.fixture
def control() -> Iterator[Control]:
    server = Control(("127.0.0.1", 0), Handler)
    server.responses = {}
    server.requests = []
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def run_status(control: Control, *options: str) -> int:
    return main(["cluster", "status", "--control", f"127.0.0.1:{control.server_port}", *options])


def test_the_status_is_shown_as_table_and_json(control: Control, capsys: pytest.CaptureFixture[str]) -> None:
    control.responses["/v1/Tier.Status"] = (200, encode_status(state()))
    assert run_status(control) == 0
    stdout = capsys.readouterr().out
    for text in ("version 7", "1 store", "store-1", "10.0.1.1:8080", "ready"):
        assert text in stdout
    assert run_status(control, "--json") == 0
    assert json.loads(capsys.readouterr().out)["workers"][0]["id"] == "i-1"


def test_an_earlier_version_of_control_reports_its_configuration_version(
    control: Control, capsys: pytest.CaptureFixture[str]
) -> None:
    control.responses["/v1/Config.Get"] = (200, b'{"version":7}')
    assert run_status(control) == 0
    assert "version 7" in capsys.readouterr().out


@pytest.mark.parametrize("response", [(503, b"no leader"), (200, b"[]")])
def test_invalid_responses_exit_with_1(
    response: tuple[int, bytes], control: Control, capsys: pytest.CaptureFixture[str]
) -> None:
    control.responses["/v1/Tier.Status"] = response
    assert run_status(control) == 1
    assert capsys.readouterr().err.count("\n") == 1


def run_configure(control: Control, path: Path, base: int = 7) -> int:
    address = f"127.0.0.1:{control.server_port}"
    return main(["cluster", "configure", str(path), "--base-version", str(base), "--control", address])


PATCH = b'{"version":9,"delete":{"routes":["r-1"]}}'


@pytest.mark.parametrize(("body", "path"), [(encoded(), "/v1/Config.Replace"), (PATCH, "/v1/Config.Update")])
def test_a_configuration_and_a_patch_are_sent(
    control: Control, tmp_path: Path, body: bytes, path: str
) -> None:
    file = tmp_path / "request.json"
    file.write_bytes(body)
    control.responses[path] = (200, b"{}")
    assert run_configure(control, file) == 0
    assert control.requests == [(path, "7", body)]
    control.responses[path] = (412, b'{"error":"version 8 is current"}')
    assert run_configure(control, file) == 1


@pytest.mark.parametrize("body", [b"{", b"[]", encoded()[:-1], b'{"version":9,"delete":["r-1"]}'])
def test_an_invalid_file_is_not_sent(
    control: Control, tmp_path: Path, capsys: pytest.CaptureFixture[str], body: bytes
) -> None:
    file = tmp_path / "request.json"
    file.write_bytes(body)
    assert run_configure(control, file) == 2
    assert run_configure(control, tmp_path / "none.json") == 2
    assert not control.requests
    assert len(capsys.readouterr().err.splitlines()) == 2
