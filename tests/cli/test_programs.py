"""`pewterring gateway|control|store`: start, reload and end, and exit on invalid settings."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from pewterring.__main__ import main
from tests.loopback import free_port
from tests.node.settings_texts import settings_text

ROOT = Path(__file__).resolve().parents[2]
TEST_TIMEOUT_S = 30.0
WATCH_SOCKETS = """
import sys
sys.addaudithook(lambda event, given: event == "socket.bind" and print("bind", file=sys.stdout, flush=True))
from pewterring.__main__ import main
sys.exit(main(sys.argv[1:]))
"""


def write_settings(tmp_path: Path, text: str) -> str:
    path = tmp_path / "node.conf"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize("program", ["gateway", "control", "store"])
def test_invalid_settings_print_one_line_and_exit_with_2_before_any_port_opens(
    program: str, tmp_path: Path
) -> None:
    path = write_settings(tmp_path, settings_text(node_id=None, heartbeat_ms="soon"))
    done = subprocess.run(
        [sys.executable, "-c", WATCH_SOCKETS, program, "--settings", path],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
    )
    assert done.returncode == 2
    assert done.stdout == ""
    assert done.stderr.count("\n") == 1
    assert "node_id is missing" in done.stderr
    assert "soon" in done.stderr


def test_the_environment_variable_names_the_settings_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("PEWTERRING_CONFIG", str(tmp_path / "missing.conf"))
    previous = signal.getsignal(signal.SIGHUP)
    try:
        assert main(["gateway"]) == 2
    finally:
        signal.signal(signal.SIGHUP, previous)
    assert "missing.conf" in capsys.readouterr().err


def test_a_gateway_serves_reloads_settings_and_ends(tmp_path: Path) -> None:
    async def run() -> None:
        ports = [free_port() for _ in range(3)]
        text = settings_text(
            ip="127.0.0.1",
            listen_addrs__front=f"127.0.0.1:{ports[0]}",
            listen_addrs__ready=f"127.0.0.1:{ports[1]}",
            ephemeral_ports=f"{ports[2]},65535",
            seed_nodes="127.0.0.1:9",
            unheard_of="x",
        )
        path = Path(write_settings(tmp_path, text))
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pewterring", "gateway", "--settings", str(path),
            cwd=ROOT, stderr=subprocess.PIPE,
        )  # fmt: skip
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert child.stderr is not None
                output = await read_until(child.stderr, b"listens on")
                assert b'"event":"settings_unknown_keys"' in output
                assert b'"count":1' in output
                write_settings(tmp_path, text.replace("seed_nodes=", "seed_nodes=127.0.0.1:8,"))
                child.send_signal(signal.SIGHUP)
                await read_until(child.stderr, b"settings_reloaded")
                write_settings(tmp_path, "node_id=\n")
                child.send_signal(signal.SIGHUP)
                assert b"settings kept" in await read_until(child.stderr, b"settings_refused")
                child.terminate()
                assert await child.wait() == 0
        finally:
            if child.returncode is None:
                child.kill()
                await child.wait()

    asyncio.run(run())


async def read_until(stream: asyncio.StreamReader, text: bytes) -> bytes:
    """Reads lines up to one that contains `text`; returns all lines read."""
    output = b""
    while text not in output:
        line = await stream.readline()
        assert line, output
        output += line
    return output
