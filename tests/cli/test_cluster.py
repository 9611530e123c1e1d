"""`pewterring cluster`: the committed tables as control tells them, and orders that are sent."""

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
    made = ControlState()
    for index, command in enumerate(COMMANDS, 1):
        made.apply(index, encode_command(command))
    return made


class Control(HTTPServer):
    """Answers by path; 404 else."""

    answers: dict[str, tuple[int, bytes]]
    orders: list[tuple[str, str | None, bytes]]


class Handler(BaseHTTPRequestHandler):
    server: Control

    def do_GET(self) -> None:
        status, body = self.server.answers.get(self.path, (404, b"{}"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.orders.append((self.path, self.headers["Base-Version"], body))
        self.do_GET()

    def log_message(self, *_: object, **__: object) -> None:
        pass


@pytest.fixture
def control() -> Iterator[Control]:
    server = Control(("127.0.0.1", 0), Handler)
    server.answers = {}
    server.orders = []
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def asked(control: Control, *more: str) -> int:
    return main(["cluster", "status", "--control", f"127.0.0.1:{control.server_port}", *more])


def test_the_tables_are_shown(control: Control, capsys: pytest.CaptureFixture[str]) -> None:
    control.answers["/v1/Tier.Status"] = (200, encode_status(state()))
    assert asked(control) == 0
    said = capsys.readouterr().out
    for words in ("version 7", "1 store", "store-1", "10.0.1.1:8080", "ready"):
        assert words in said
    assert asked(control, "--json") == 0
    assert json.loads(capsys.readouterr().out)["workers"][0]["id"] == "i-1"


def test_a_control_of_an_earlier_version_tells_its_configuration(
    control: Control, capsys: pytest.CaptureFixture[str]
) -> None:
    control.answers["/v1/Config.Get"] = (200, b'{"version":7}')
    assert asked(control) == 0
    assert "version 7" in capsys.readouterr().out


@pytest.mark.parametrize("answer", [(503, b"no leader"), (200, b"[]")])
def test_other_answers_are_exit_1(
    answer: tuple[int, bytes], control: Control, capsys: pytest.CaptureFixture[str]
) -> None:
    control.answers["/v1/Tier.Status"] = answer
    assert asked(control) == 1
    assert capsys.readouterr().err.count("\n") == 1


def ordered(control: Control, path: Path, base: int = 7) -> int:
    where = f"127.0.0.1:{control.server_port}"
    return main(["cluster", "configure", str(path), "--base-version", str(base), "--control", where])


PATCH = b'{"version":9,"delete":{"routes":["r-1"]}}'


@pytest.mark.parametrize(("body", "path"), [(encoded(), "/v1/Config.Replace"), (PATCH, "/v1/Config.Update")])
def test_orders_of_both_forms_are_sent(control: Control, tmp_path: Path, body: bytes, path: str) -> None:
    file = tmp_path / "order.json"
    file.write_bytes(body)
    control.answers[path] = (200, b"{}")
    assert ordered(control, file) == 0
    assert control.orders == [(path, "7", body)]
    control.answers[path] = (412, b'{"error":"version 8 is current"}')
    assert ordered(control, file) == 1


@pytest.mark.parametrize("body", [b"{", b"[]", encoded()[:-1], b'{"version":9,"delete":["r-1"]}'])
def test_an_order_that_control_would_refuse_is_not_sent(
    control: Control, tmp_path: Path, capsys: pytest.CaptureFixture[str], body: bytes
) -> None:
    file = tmp_path / "order.json"
    file.write_bytes(body)
    assert ordered(control, file) == 2
    assert ordered(control, tmp_path / "none.json") == 2
    assert not control.orders
    assert len(capsys.readouterr().err.splitlines()) == 2
