"""What the operators ask of `run` (the standing test): one process from first to last, on TCP and UDP alone.

The line of deploy/balancer.toml is started as they start it, by /bin/sh -c, with its environment folder
standing in for .venv. An audit hook put in through sitecustomize writes down what the program does from its
first import on; the process tree is read from /proc while it serves.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.standalone.stand_ins import PATIENCE, asking

ROOT = Path(__file__).resolve().parent.parent
pytestmark = pytest.mark.skipif(not Path("/proc/self/maps").exists(), reason="reads /proc")

# Other programs and forks, and the calls that the platform refuses. os.sendfile and os.splice raise no audit
# event, so the hook's file puts a note in their place.
WATCH = """
import os, sys
out = open(os.environ["WATCHED"], "a", buffering=1)
os.set_inheritable(out.fileno(), False)
STARTS = ("os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen",
          "pty.spawn")
def hook(event, given):
    if event in STARTS:
        print("start", event, file=out)
    elif event == "socket.__new__":
        print("socket", int(given[1]), int(given[2]) & 15, file=out)
    elif event in ("socket.bind", "socket.connect") and isinstance(given[1], (str, bytes)):
        print("path", event, file=out)
    elif event == "ctypes.dlopen":
        print("library", given[0], file=out)
sys.addaudithook(hook)
def refused(name):
    def call(*given, **named):
        print("refused", name, file=out)
        raise OSError(38, name)
    return call
for name in ("sendfile", "splice", "fork", "forkpty"):
    if hasattr(os, name):
        setattr(os, name, refused(name))
"""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@contextlib.contextmanager
def started(folder: Path, run: str) -> Iterator[tuple[subprocess.Popen[bytes], int, Path]]:
    (folder / ".venv").symlink_to(sys.prefix)
    (folder / "pewterring").symlink_to(ROOT / "pewterring")
    hooks = folder / "hooks"
    hooks.mkdir()
    (hooks / "sitecustomize.py").write_text(WATCH)
    config = orjson.loads((ROOT / "examples" / "config.json").read_bytes())
    port, peer = free_port(), free_port()
    config |= {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}"}
    config |= {"peer_listen": f"127.0.0.1:{peer}", "peers": [f"127.0.0.1:{peer}"]}
    for host in config["known"]["hosts"]:
        host["dial"] = f"127.0.0.1:{free_port()}"
    (folder / "config.json").write_bytes(orjson.dumps(config))
    watched = folder / "watched"
    watched.touch()
    env = {**os.environ, "ROUTER_CONFIG": str(folder / "config.json"), "WATCHED": str(watched)}
    env |= {"PYTHONPATH": str(hooks), "PYTHONDONTWRITEBYTECODE": "1"}
    child = subprocess.Popen(
        ["/bin/sh", "-c", run], cwd=folder, env=env, stdin=subprocess.DEVNULL, stderr=subprocess.PIPE
    )
    try:
        yield child, port, watched
    finally:
        if child.poll() is None:
            child.kill()
        child.communicate(timeout=PATIENCE)


def answer(port: int, data: bytes, child: "subprocess.Popen[bytes]") -> bytes:
    """The head of the answer, once somebody listens."""
    until = time.monotonic() + PATIENCE
    while True:
        assert child.poll() is None, "it ended"
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE) as client:
                client.sendall(data)
                return client.recv(4096)
        except ConnectionRefusedError:
            assert time.monotonic() < until
            time.sleep(0.02)


def children(pid: int) -> list[str]:
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [c for task in tasks for c in (task / "children").read_text().split()]


def unix_sockets(pid: int) -> list[list[str]]:
    """Lines of /proc/net/unix for the sockets that the process holds."""
    held = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            held.add(str(entry.readlink()))
    lines = [line.split() for line in Path(f"/proc/{pid}/net/unix").read_text().splitlines()[1:]]
    return [line for line in lines if f"socket:[{line[6]}]" in held]


def test_run_is_one_process_on_tcp_and_udp(tmp_path: Path) -> None:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    with started(tmp_path, run) as (child, port, watched):
        assert answer(port, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", child).startswith(b"HTTP/1.1 200")
        pid = child.pid
        # By exec: what the shell was is the program now, and it is linked against the C library.
        assert Path(f"/proc/{pid}/exe").resolve() == Path(sys.executable).resolve()
        assert "libc.so" in Path(f"/proc/{pid}/maps").read_text()
        asked = asking(X_Class=b"read", Plan=b"basic", Quota_Info=b"units=1,spread=1,first=0")
        answer(port, asked, child)
        child.send_signal(signal.SIGHUP)
        answer(port, asked.replace(b"GET", b"GET ", 1), child)  # cannot be read: that way out too
        assert children(pid) == []
        # The one pair is the loop's own to wake itself: no name, and nobody else at its other end.
        pair = unix_sockets(pid)
        assert len(pair) <= 2, pair
        assert all(len(line) == 7 for line in pair), pair
        child.send_signal(signal.SIGTERM)
        assert child.wait(PATIENCE) == 0
    did = [line.split() for line in watched.read_text().splitlines()]
    assert [line for line in did if line[0] in ("start", "path", "refused", "library")] == []
    families = {(int(line[1]), int(line[2])) for line in did if line[0] == "socket"}
    tcp_udp = {(int(socket.AF_INET), int(socket.SOCK_STREAM)), (int(socket.AF_INET), int(socket.SOCK_DGRAM))}
    local = {(int(socket.AF_UNIX), int(socket.SOCK_STREAM))}
    assert tcp_udp <= families <= tcp_udp | local, families
    assert sum(line[:2] == ["socket", str(int(socket.AF_UNIX))] for line in did) <= 2, did


@pytest.mark.parametrize(
    "deed", ["os.fork()", "__import__('subprocess').run(['true'])", "os.sendfile(1, 0, 0, 1)"]
)
def test_the_watch_sees_what_is_refused(tmp_path: Path, deed: str) -> None:
    """The hook itself: a program that does what the platform refuses is found out."""
    script = tmp_path / "p.py"
    script.write_text(f"import os\ntry:\n    {deed}\nexcept OSError:\n    pass\n")
    (tmp_path / "sitecustomize.py").write_text(WATCH)
    watched = tmp_path / "watched"
    env = {**os.environ, "PYTHONPATH": str(tmp_path), "WATCHED": str(watched)}
    subprocess.run([sys.executable, str(script)], env=env, check=True, timeout=PATIENCE)
    assert {line.split()[0] for line in watched.read_text().splitlines()} & {"start", "refused"}


def test_the_file_with_counts_differs_by_them_alone() -> None:
    plain, counted = (
        tomllib.loads((ROOT / "deploy" / name).read_text(encoding="utf-8"))
        for name in ("balancer.toml", "tally.toml")
    )
    assert counted.pop("run") == "export ROUTER_TALLY_S=1; " + plain.pop("run")
    assert counted == plain
