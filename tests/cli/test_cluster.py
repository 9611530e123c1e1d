"""`pewterring cluster status`: the committed tables as control tells them."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer

import msgspec
import pytest

from pewterring.__main__ import main
from pewterring.control.commands import Command, PutConfiguration, PutNodes, PutWorker
from pewterring.control.state import ControlState, encode_command
from pewterring.control.status import status_of
from pewterring.distribution.messages import NodeRecord, WorkerRecord

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


class Handler(BaseHTTPRequestHandler):
    server: Control

    def do_GET(self) -> None:
        status, body = self.server.answers.get(self.path, (404, b"{}"))
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


@pytest.fixture
def control() -> Iterator[Control]:
    server = Control(("127.0.0.1", 0), Handler)
    server.answers = {}
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def asked(control: Control, *more: str) -> int:
    return main(["cluster", "status", "--control", f"127.0.0.1:{control.server_port}", *more])


def test_the_tables_are_shown(control: Control, capsys: pytest.CaptureFixture[str]) -> None:
    control.answers["/v1/Tier.Status"] = (200, status_of(state()))
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
