"""The gateway process: configuration, log, peers, file descriptors, shutdown and reload."""

import asyncio
import contextlib
import io
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from pewterring import __main__ as program
from pewterring.standalone.config import ConfigError, load
from pewterring.standalone.http.messages import Request
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.log import Log
from pewterring.standalone.network import clients as clients_module
from pewterring.standalone.network.connection import Address, read_address
from pewterring.standalone.network.peers import Peers
from pewterring.standalone.policy import interface
from pewterring.standalone.proxy import service as service_module
from pewterring.standalone.settings import FieldError, Fields, flatten, read_json, read_settings
from tests.standalone.helpers import DEADLINE
from tests.standalone.stand_ins import (
    OK,
    Caller,
    Quiet,
    Rig,
    Script,
    StandIn,
    Talk,
    as_json,
    asking,
    entry,
    rested,
    run,
    send_to,
    until,
)

ROOT = Path(__file__).resolve().parents[2]
HEALTH = b"GET /healthz HTTP/1.1\r\n\r\n"
SETTINGS: dict[str, Any] = {
    "me": 1, "fleet_size": 3, "az": "a", "discovery": "push",
    "guarantees": {"cold": 17_000_000_000, "cold_share": 0.24, "fall_multiple": 3.0, "tip_after": 1e9,
                   "stop_sending_within": 1_000_000_000, "answer_slack": 8_000_000},
    "policy_limits": {"cancel": True, "conn_idle": 15_000_000_000, "connect_timeout": 250_000_000,
                      "max_attempts": 3, "max_open": 20000, "may_duplicate": True, "peers": True},
    "profiles": [
        {"name": "pure", "objective": 1_200_000_000, "deadline": 4_000_000_000, "effect": "pure"},
        {"name": "kept", "objective": 1_200_000_000, "deadline": 4_000_000_000, "effect": "token",
         "group": "cell", "repeat_window": 4_000_000_000},
    ],
    "report": {"fields": [], "source": "silent"},
    "tiers_of_service": [{"name": "free", "refill": 0.0, "depth": 5.5}],
    "zones": ["a", "b"], "specifics": {"mail_per_s": 100.0, "has_counter": True},
}  # fmt: skip


def configured(tmp_path: Path, **changes: object) -> Path:
    tree = {
        "name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **changes,
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    return path


def test_nested_settings_equal_settings_read_from_pairs() -> None:
    pairs = dict(flatten(SETTINGS))
    assert pairs["profiles.count"] == "2"
    assert pairs["zones"] == "a,b"
    assert pairs["policy_limits.cancel"] == "true"
    settings, transport = read_json(SETTINGS)
    assert settings == read_settings(Fields("init", pairs))
    assert settings.classes["kept"].group is interface.Group.CELL
    assert settings.classes["kept"].repeat_window == 4.0
    assert (settings.rules.tip_after, settings.limits.max_attempts, settings.mail_per_s) == (1.0, 3, 100.0)
    assert (transport.conn_idle, transport.connect_timeout, transport.max_open) == (15.0, 0.25, 20000)
    unusable: list[object] = [None, [], {}, {**SETTINGS, "me": "x"}]
    for bad in unusable:
        with pytest.raises(FieldError):
            read_json(bad)


def test_a_configuration_is_read(tmp_path: Path) -> None:
    known = json.loads(as_json(41, True, entry("s", Address("127.0.0.1", 9))))
    path = configured(tmp_path, known=known, peers=["127.0.0.1:1", "127.0.0.1:2"], discovery="127.0.0.1:3")
    config = load(str(path), {})
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.sockets == 1024
    assert config.name == "n3"
    assert config.known is not None
    assert config.known.version == 41
    assert config.peers == (Address("127.0.0.1", 1), Address("127.0.0.1", 2))
    assert config.peers_all is None
    assert load(None, {"ROUTER_CONFIG": str(path)}) == config


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"listen": None}, "listen"),
        ({"listen": "nowhere"}, "nowhere"),
        ({"listen": "127.0.0.1:99999"}, "99999"),
        ({"seed": "xyz"}, "xyz"),
        ({"settings": None}, "settings"),
        ({"settings": {"me": 0}}, "fleet_size"),
        ({"known": {"seq": 1}}, "list"),
        ({"peers": "127.0.0.1:1"}, "peers"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_reason(
    tmp_path: Path, changes: dict[str, object], word: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = configured(tmp_path, **changes)
    with pytest.raises(ConfigError, match=word):
        load(str(path), {})
    assert program.main(["check", str(path)]) == 2
    assert word in capsys.readouterr().err


def test_a_missing_configuration_and_invalid_json_are_rejected(tmp_path: Path) -> None:
    (tmp_path / "x").write_text("{")
    for path, env in ((None, {}), (str(tmp_path / "none"), {}), (str(tmp_path / "x"), {})):
        with pytest.raises(ConfigError):
            load(path, env)


def test_the_command_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert program.main(["version"]) == 0
    assert capsys.readouterr().out.startswith("pewterring ")
    assert program.main(["check", str(configured(tmp_path))]) == 0
    assert "n3" in capsys.readouterr().out
    assert program.main([]) == 2
    assert "Commands:" in capsys.readouterr().err


def test_addresses() -> None:
    assert read_address("10.0.0.4:9000") == ("10.0.0.4", 9000)
    assert str(read_address("[::1]:80")) == "[::1]:80"
    for bad in ("", "x", ":1", "a:", "a:b", "a:-1", "a:70000"):
        with pytest.raises(ValueError):
            read_address(bad)


def test_the_log_has_one_line_per_event_and_a_bounded_rate() -> None:
    out, now = io.BytesIO(), [5.25]
    log = Log(out, lambda: now[0], per_s=3)
    for n in range(10):
        log("seen", n=n, odd=Address("a", 1))
    now[0] = 6.0
    log("later")
    lines = [orjson.loads(line) for line in out.getvalue().splitlines()]
    assert [line["event"] for line in lines] == ["seen"] * 3 + ["lines_skipped", "later"]
    assert lines[0] == {"time": 5.25, "event": "seen", "n": 0, "odd": "a:1"}
    assert lines[3]["count"] == 7


def test_a_log_without_a_reader_raises_no_error() -> None:
    class Closed(io.BytesIO):
        def write(self, data: object) -> int:
            raise BrokenPipeError

    Log(Closed())("seen")


def udp() -> socket.socket:
    one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    one.bind(("127.0.0.1", 0))
    one.setblocking(False)
    return one


def test_datagrams_are_accepted_from_peers_only_and_bounded_in_size() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with udp() as one, udp() as two, udp() as stranger:
            heard: list[tuple[int, bytes]] = []
            addresses = [Address(*s.getsockname()) for s in (one, two)]
            own = udp()
            mine = Address(*own.getsockname())
            own.close()
            peers = Peers(
                1, [addresses[0], mine, addresses[1]], None, lambda n, data: heard.append((n, data))
            )
            await peers.open(loop, mine)
            stranger.sendto(b"lies", mine)
            one.sendto(b"x" * 257, mine)
            two.sendto(b"news", mine)
            one.sendto(b"", mine)
            await until(lambda: len(heard) == 2)
            assert sorted(heard) == [(0, b""), (2, b"news")]
            peers.tell(0, b"x" * 257)
            peers.tell(1, b"to myself")
            peers.tell(9, b"to nobody")
            peers.tell(0, b"x" * 256)
            assert await loop.sock_recv(one, 999) == b"x" * 256
            peers.tell(None, b"all")
            assert [await loop.sock_recv(s, 999) for s in (one, two)] == [b"all", b"all"]
            peers.error_received(ConnectionRefusedError())
            peers.close()
            peers.tell(0, b"after the end")

    run(test)


def test_messages_to_all_peers_go_to_the_common_address() -> None:
    async def test() -> None:
        with udp() as everyone, udp() as one:
            peers = Peers(
                0, [Address("127.0.0.1", 1)], Address(*everyone.getsockname()), lambda n, data: None
            )
            await peers.open(asyncio.get_running_loop(), Address("127.0.0.1", 0))
            peers.tell(None, b"all")
            assert await asyncio.get_running_loop().sock_recv(everyone, 999) == b"all"
            with contextlib.suppress(BlockingIOError):
                assert not one.recv(9)
            peers.close()

    run(test)


def leave_unanswered(talk: Talk, request: Request) -> None:
    """Never answers; the test writes the response itself."""


def limit_descriptors(rig: Rig, all: int, hard: int, soft: int) -> None:
    budget = rig.service.descriptors
    budget.all, budget.hard, budget.soft = all, hard, soft


def test_near_the_descriptor_limit_connections_close_after_their_answers_and_idle_ones_last() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            limit_descriptors(rig, 5, 3, 2)
            idle = await rig.caller()
            assert (await idle.ask(HEALTH)).keep_alive
            for _ in range(3):
                other = await rig.caller()
                assert not (await other.ask(HEALTH)).keep_alive
                assert await other.ended()
            busy = [await rig.caller() for _ in range(3)]
            for caller in busy:
                caller.write(asking())  # the policy never answers it
            assert await idle.ended()

    run(test)


def test_idle_client_connections_are_closed_before_worker_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hundreds of idle clients caused connections to be closed after answers and reopened for attempts."""
    monkeypatch.setattr(clients_module, "RESTED_S", 0.0)

    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            limit_descriptors(rig, 12, 10, 8)
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 200
            silent = [await rig.caller() for _ in range(20)]
            await until(lambda: len(rig.listener.clients) <= 7)
            fresh = await rig.caller()
            for _ in range(3):
                rested(rig.service.pool)
                response = await fresh.ask(asking())
                assert response.status == 200
                assert response.keep_alive
            assert len(worker.talks) == 1
            assert await silent[0].ended()

    run(test)


def test_a_connection_with_an_unread_request_is_not_shed() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            asking_now, idle = await rig.caller(), await rig.caller()
            fileno = asking_now.writer.get_extra_info("socket").fileno()
            for caller in (asking_now, idle):
                assert (await caller.ask(HEALTH)).status == 200
            os.write(
                asking_now.writer.get_extra_info("socket").fileno(), HEALTH
            )  # sent directly: nothing has read it yet
            assert rig.listener.shed()
            assert (await asking_now.answer()).status == 200
            assert await idle.ended()
            os.write(fileno, HEALTH)
            assert not rig.listener.shed()
            assert (await asking_now.answer()).status == 200

    run(test)


def test_clients_are_rejected_and_not_left_in_the_accept_queue_when_descriptors_run_out() -> None:
    """Once the system accepts a connection, its request must be read: unread it would be lost."""

    async def test() -> None:
        async with (
            StandIn(leave_unanswered) as worker,
            Rig(Script(send_to(1)), worker.address, sockets=40) as rig,
        ):
            rig.gateway.max_open = 2
            limit_descriptors(rig, 6, 4, 3)
            busy = [await rig.caller() for _ in range(2)]
            for caller in busy:
                caller.write(asking())
            await until(lambda: len(worker.requests) == 2)
            for _ in range(5):  # more than there are descriptors; each keeps its connection
                late = await rig.caller()
                assert (await late.ask(asking())).status == 429
            for talk in worker.talks:
                talk.write(OK)
            assert [(await caller.answer()).status for caller in busy] == [200, 200]

    run(test)


def test_clients_with_incomplete_requests_do_not_block_others() -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            limit_descriptors(rig, 6, 4, 3)
            slow = [await rig.caller() for _ in range(6)]
            for caller in slow:
                caller.write(asking()[:-3])
            await until(lambda: sum(c.reader.started for c in rig.listener.clients) >= 4)
            assert (await rig.ask(asking())).status == 200
            assert await slow[0].ended()

    run(test)


def test_accepting_resumes_when_a_descriptor_is_free() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            limit_descriptors(rig, 1, 1, 1)
            first = await rig.caller()
            first.write(asking())  # the policy never answers it
            await until(lambda: rig.gateway.by_client)
            waiting = await rig.caller()
            waiting.write(HEALTH)
            await until(lambda: not rig.listener.accepting)
            first.close()
            assert (await waiting.answer()).status == 200

    run(test)


def test_requests_in_flight_are_bounded_by_descriptors_on_both_sides() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9), sockets=60) as rig:
            budget = rig.service.descriptors
            assert 0 < rig.gateway.max_open == budget.calls
            assert 2 * budget.calls <= budget.hard < budget.all < 60

    run(test)


def test_no_descriptor_on_accept_neither_spins_nor_crashes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            real, tries = rig.listener.socket, []

            class Short:
                """A listening socket whose first accept() calls fail for lack of descriptors."""

                def accept(self) -> tuple[socket.socket, Any]:
                    tries.append(1)
                    if len(tries) < 4:
                        raise OSError(24, "too many open files")
                    assert real is not None
                    return real.accept()

                def fileno(self) -> int:
                    assert real is not None
                    return real.fileno()

                def close(self) -> None:
                    assert real is not None
                    real.close()

            rig.listener.socket = Short()  # type: ignore[assignment]
            assert (await rig.ask(HEALTH)).status == 200
            assert len(tries) == 4
            await until(lambda: rig.service.descriptors.used == 0)

    run(test)


def test_during_shutdown_all_requests_are_answered_and_new_connections_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(service_module, "LONGEST_S", 0.2)  # with a client connected it does not end earlier
    monkeypatch.setattr(service_module, "KILL_S", 10.0)

    async def test() -> None:
        async with StandIn(leave_unanswered) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            idle, busy = await rig.caller(), await rig.caller()
            assert (await idle.ask(HEALTH)).keep_alive
            busy.write(asking())
            await until(lambda: worker.requests)
            end = asyncio.ensure_future(rig.service.end())
            await until(lambda: rig.gateway.stopping)
            late = await rig.caller()
            late.write(asking())
            idle.write(asking())
            await until(lambda: len(worker.requests) == 3)
            assert not end.done()
            await until(lambda: rig.listener.socket is None)  # all requests are still in flight
            with pytest.raises(ConnectionError):
                await rig.caller()
            for talk in worker.talks:
                talk.write(OK)
            for caller in (busy, late, idle):
                response = await caller.answer()
                assert (response.status, response.keep_alive) == (200, False)
                assert await caller.ended()
            await end
            assert rig.log.lines[-1]["event"] == "stopped"
            assert rig.log.lines[-1]["served"] == 3

    run(test)


def test_sigterm_shuts_the_process_down_gracefully(tmp_path: Path) -> None:
    async def test() -> None:
        async with StandIn() as worker:
            known = json.loads(as_json(1, True, entry("s", worker.address)))
            path = configured(tmp_path, known=known)
            env = {**os.environ, "ROUTER_CONFIG": str(path)}
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "pewterring", "serve", cwd=ROOT, env=env, stderr=subprocess.PIPE
            )
            assert process.stderr is not None
            started = orjson.loads(await process.stderr.readline())
            assert started["event"] == "started"
            assert started["ready"]
            caller = await Caller.to(read_address(started["listen"]))
            response = await caller.ask(asking())
            assert (response.status, response.body) == (200, b"served")
            assert response.keep_alive
            process.send_signal(signal.SIGTERM)
            assert orjson.loads(await process.stderr.readline())["event"] == "stopping"
            response, served = await caller.ask(asking()), 2
            assert response.status == 200
            assert response.keep_alive
            while response.keep_alive:
                response = await caller.ask(asking())
                assert response.status in (200, 429)
                served += response.status == 200
            rest = [orjson.loads(line) for line in (await process.stderr.read()).splitlines()]
            assert await process.wait() == 0
            assert [(line["event"], line["served"]) for line in rest] == [("stopped", served)]

    run(test)


def test_requests_accepted_during_shutdown_are_answered_before_a_possible_kill() -> None:
    async def test() -> None:
        async with StandIn(leave_unanswered) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            rig.gateway.ends_at = rig.gateway.loop.time() + 0.1
            response = await rig.ask(asking(X_Deadline_Ms=b"4000"))
            assert response.status == 504
            assert rig.gateway.loop.time() < rig.gateway.ends_at + DEADLINE / 2

    run(test)


def test_shutdown_under_traffic_loses_no_request(tmp_path: Path) -> None:
    """Clients keep sending requests on open connections, and for a while on new ones."""

    async def test() -> None:
        def slowly(talk: Talk, request: Request) -> None:
            asyncio.get_running_loop().call_later(0.02, talk.write, OK)

        async with StandIn(slowly) as worker:
            known = json.loads(as_json(1, True, entry("s", worker.address)))
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "pewterring", "serve", str(configured(tmp_path, known=known)),
                cwd=ROOT, stderr=subprocess.PIPE,
            )  # fmt: skip
            assert process.stderr is not None
            address = read_address(orjson.loads(await process.stderr.readline())["listen"])
            statuses: list[int] = []
            closes, stopped = 0, float("inf")
            loop = asyncio.get_running_loop()

            async def client() -> None:
                nonlocal closes
                while loop.time() < stopped + 0.3:
                    caller = await Caller.to(address)
                    stays, asked = True, 0
                    while stays and (asked < 5 or loop.time() >= stopped + 0.2):
                        response = await caller.ask(asking())  # fails if it ends without an answer
                        statuses.append(response.status)
                        stays, asked = response.keep_alive, asked + 1
                    closes += 1
                    caller.close()

            clients = [asyncio.ensure_future(client()) for _ in range(4)]
            await until(lambda: len(statuses) > 20)
            process.send_signal(signal.SIGTERM)
            before, stopped = len(statuses), loop.time()
            await asyncio.gather(*clients)
            rest = [orjson.loads(line) for line in (await process.stderr.read()).splitlines()]
            assert await process.wait() == 0
            assert rest[-1]["event"] == "stopped"
            assert set(statuses) <= {200, 429}
            assert len(statuses) > before
            assert closes > 4
            assert rest[-1]["taken"] == len(statuses)
            assert rest[-1]["left"] == rest[-1]["failed"] == 0

    run(test)


def test_a_listen_address_in_use_is_reported(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = configured(tmp_path, listen=f"127.0.0.1:{taken.getsockname()[1]}")
        command = [sys.executable, "-m", "pewterring", "serve", str(path)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=60, check=False)
    assert done.returncode == 1
    assert orjson.loads(done.stderr)["event"] == "cannot_serve"


class Lists(StandIn):
    """Discovery at one address: sends the full list at once, leaves watches open until the test ends."""

    def __init__(self, version: int, *hosts: tuple[str, Address]) -> None:
        whole = write_response(200, [], as_json(version, True, *(entry(*host) for host in hosts)))
        super().__init__(lambda talk, request: None if b"index" in request.target else whole)


def test_sighup_changes_the_discovery_address_at_once_and_drops_no_request(tmp_path: Path) -> None:
    """Without a handler SIGHUP would end the process with all requests in flight."""

    async def test() -> None:
        async with (
            StandIn(leave_unanswered) as old, StandIn() as new, Lists(9, ("s-1", old.address)) as first,
            Lists(3, ("s-2", new.address)) as second,
        ):  # fmt: skip
            path = configured(tmp_path, discovery=str(first.address))
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "pewterring", "serve", str(path), cwd=ROOT, stderr=subprocess.PIPE
            )
            assert process.stderr is not None

            async def logged(event: str) -> dict[str, Any]:
                assert process.stderr is not None
                while (line := orjson.loads(await process.stderr.readline()))["event"] != event:
                    pass
                return dict(line)

            address = read_address((await logged("started"))["listen"])
            await until(lambda: len(first.requests) == 2)  # the full list, then a watch
            holding = await Caller.to(address)
            holding.write(asking())
            await until(lambda: old.requests)
            configured(tmp_path, discovery=str(second.address), peers=["127.0.0.1:9"])
            process.send_signal(signal.SIGHUP)
            line = await logged("reloaded")
            assert (line["changed"], line["needs_restart"]) == (["discovery"], ["peers"])  # no peer socket
            await until(lambda: len(second.requests) == 2)
            assert [b"index" in request.target for request in second.requests] == [False, True]
            await until(lambda: all(talk.ended for talk in first.talks))
            caller = await Caller.to(address)
            assert (await caller.ask(asking())).status == 200
            assert len(new.requests) == 1
            old.talks[0].write(OK)
            assert (await holding.answer()).status == 200
            path.write_text("{")
            process.send_signal(signal.SIGHUP)
            assert "JSON" in (await logged("reload_failed"))["why"]
            assert (await caller.ask(asking())).status == 200
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)  # may coincide with the reload before
            assert (await logged("stopped"))["served"] == 3
            assert await process.wait() == 0
            assert len(first.requests) == 2

    run(test)


def test_a_reload_before_the_start_determines_the_configuration_of_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with StandIn() as worker, Lists(1, ("s-1", worker.address)) as lists:
            config = load(str(configured(tmp_path)), {})
            new = load(str(configured(tmp_path, discovery=str(lists.address))), {})
            service = service_module.Service(config, Quiet(), Script(), read_again=lambda: new)
            service.reload()
            assert not lists.requests
            await service.start()
            await until(lambda: service.gateway.ready)
            service.close()
            service.reload()  # after the end it starts nothing
            assert service.discovery is not None
            assert service.discovery.closed

    run(test)
