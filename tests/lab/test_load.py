"""The load tool: real gatekeepers between stand-ins on loopback. Waits for events, asserts no times."""

import asyncio
from pathlib import Path

import pytest

from pewterring.lab import hunt, schema
from pewterring.lab.loopback.clients import ClientPool, Exchange
from pewterring.lab.loopback.clock import RealEngine
from pewterring.lab.loopback.load import SocketWorld, fits, load, read_target
from pewterring.lab.loopback.ports import HOST, DiscoveryPort, Relay, WorkerPort
from pewterring.standalone.http.messages import Response
from pewterring.standalone.http.reader import ResponseReader
from pewterring.standalone.http.writer import write_request, write_response
from pewterring.standalone.policy import interface as i
from tests.lab.scenarios import small
from tests.standalone.stand_ins import StandIn, run, until


def written(path: Path, scenario: schema.Scenario) -> str:
    path.write_text(hunt.to_toml(scenario))
    return str(path)


def test_real_gatekeepers_serve_a_scenario_with_faults(tmp_path: Path) -> None:
    faults = [
        {"kind": "kill", "at_s": 1.0, "for_s": 0.5, "targets": [0]},
        {"kind": "restart", "at_s": 2.0, "for_s": 0.1, "targets": [1], "batches": 1, "down_s": 0.1},
        {"kind": "release", "at_s": 1.0, "for_s": 0.5, "targets": [0], "batches": 1, "drain_s": 1.0},
        {"kind": "spoilt_answers", "at_s": 1.5, "for_s": 1.0, "targets": [1], "share": 0.5},
        {"kind": "message_loss", "at_s": 1.0, "for_s": 1.0, "share": 0.3},
    ]
    plans = [{"name": "basic", "refill": 2.0, "depth": 6.0, "spread": [1.0, 1.0]}]
    scenario = small(
        duration_s=4.0, faults=faults, plans=plans, gatekeepers={"count": 3},
        workers={"count": 3, "cold_s": 2.0}, load={"rate": 40.0},
    )  # fmt: skip
    result = load(written(tmp_path / "s.toml", scenario), logs=str(tmp_path / "logs"))
    counts = result.counts
    assert result.broken == ""
    assert counts["crashed"] == counts["wrong_bodies"] == counts["never_ready"] == 0
    assert counts["never_answered"] <= counts["tries"] * 0.1  # what the killed one held
    assert counts["served"] + counts["late"] > counts["intents"] / 3
    assert counts["messages"] > 0
    assert counts["connections"] > 0
    assert all("module_fault" not in p.read_text() for p in (tmp_path / "logs").glob("*.log"))


def test_a_gatekeeper_whose_port_is_taken_moves(tmp_path: Path) -> None:
    """Ports looked up beforehand were another's by the time of the start: the run ended before it began."""

    async def test() -> None:
        world = SocketWorld(small(), 1, RealEngine(asyncio.get_running_loop()), tmp_path, None)
        async with StandIn() as taken:
            world.processes[0].listen = taken.address
            await world.open()
            assert world.processes[0].listen[1] != taken.address.port
            assert all(h.up for h in world.hosts)
            await world.close()

    run(test)


def test_only_loopback_is_a_target() -> None:
    assert read_target("127.0.0.1:80") == ("127.0.0.1", 80)
    assert read_target("[::1]:9") == ("::1", 9)
    for wrong in ("10.0.0.1:80", "example.org:80", "localhost:80", "127.0.0.1", "127.0.0.1:x"):
        with pytest.raises(schema.ScenarioError, match="loopback"):
            read_target(wrong)


def test_what_is_too_large_for_sockets_is_refused() -> None:
    for changes, said in (
        ({"gatekeepers": {"count": 9}}, "gatekeepers.count"),
        ({"workers": {"count": 65}}, "workers.count"),
        ({"duration_s": 601.0}, "duration_s"),
        ({"load": {"rate": 1e6}}, "load:"),
        ({"gatekeepers": {"policy": "admit-all"}}, "never serves"),
    ):
        with pytest.raises(schema.ScenarioError, match=said):
            fits(small(**changes))


def test_clients_keep_connections_and_tell_how_requests_end() -> None:
    async def test() -> None:
        ends: list[tuple[str, Response | None]] = []

        def ask(pool: ClientPool, data: bytes) -> Exchange:
            exchange = Exchange(data, lambda kind, response: ends.append((kind, response)))
            pool.send(exchange)
            return exchange

        get = write_request(b"GET", b"/x", [])
        async with StandIn(lambda talk, request: write_response(200, [], b"ok")) as server:
            pool = ClientPool((server.address.host, server.address.port))
            for n in (1, 2):
                ask(pool, get)
                await until(lambda n=n: len(ends) == n)  # type: ignore[misc]
            assert len(server.talks) == 1
            assert [kind for kind, _ in ends] == ["answered", "answered"]
            server.talks[0].close()  # between requests: the next goes out on a new one
            ask(pool, get)
            await until(lambda: len(ends) == 3)
            assert ends[2][0] == "answered"
            server.answer = lambda talk, request: talk.reset()
            ask(pool, get)
            await until(lambda: len(ends) == 4)
            assert ends[3] == ("broken", None)
            assert len(server.talks) == 3
            pool.close()
        ask(pool, get)
        await until(lambda: len(ends) == 5)
        assert ends[4] == ("unreachable", None)

    run(test)


def test_discovery_tells_watches_what_changed() -> None:
    async def test() -> None:
        port = DiscoveryPort()
        await port.open()
        entry = {"host": "s-1", "dial": "127.0.0.1:1", "health": "up"}
        port.tell(entry)
        reader, writer = await asyncio.open_connection(*port.address)
        parser = ResponseReader()

        async def ask(target: bytes) -> bytes:
            writer.write(write_request(b"GET", target, []))
            while (response := parser.next()) is None:
                parser.feed(await reader.read(65536))
            return response.body

        assert b'"whole":true' in await ask(b"/v1/servers")
        waiting = asyncio.ensure_future(ask(b"/v1/servers?index=1&wait=20000"))
        await until(lambda: port.watches)
        port.tell(entry | {"health": "removed"})
        assert b'"whole":false' in (body := await waiting)
        assert b"removed" in body
        assert b'"hosts":[]' in await ask(b"/v1/servers?index=2&wait=1")
        writer.close()
        port.close()

    run(test)


def test_the_relay_carries_loses_and_names_the_sender() -> None:
    async def test() -> None:
        heard: list[tuple[bytes, int]] = []

        class Listens(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                heard.append((data, addr[1]))

        loop = asyncio.get_running_loop()
        ends = [(await loop.create_datagram_endpoint(Listens, local_addr=(HOST, 0)))[0] for _ in range(2)]
        lose: list[bool] = [False]
        relay = Relay(lambda a, b: None if lose[0] else 0.0)
        await relay.open({n: end.get_extra_info("sockname")[:2] for n, end in enumerate(ends)})
        to_1, port_1 = relay.address(0, 1).split(":")
        ends[0].sendto(b"hello", (to_1, int(port_1)))
        await until(lambda: heard)
        assert heard == [(b"hello", int(relay.address(1, 0).split(":")[1]))]
        lose[0] = True
        ends[0].sendto(b"lost", (to_1, int(port_1)))
        await until(lambda: relay.lost)
        relay.close()
        for end in ends:
            end.close()

    run(test)


def test_each_outcome_has_its_form_on_the_wire() -> None:
    wrote: list[bytes] = []

    class Link:
        attempt = None
        transport = None

        def write(self, data: bytes) -> None:
            wrote.append(data)

    for code in (i.Code.OK, i.Code.RESOURCE_EXHAUSTED, i.Code.INTERNAL, i.Code.ABORTED):
        WorkerPort.answer(Link(), code, b"body")  # type: ignore[arg-type]
    assert [w.split(b"\r\n")[0] for w in wrote[:3]] == [
        b"HTTP/1.1 200 OK", b"HTTP/1.1 503 Service Unavailable", b"HTTP/1.1 500 Answer"
    ]  # fmt: skip
    assert b"x-not-run: 1" in wrote[1]
    assert b"\x00" in wrote[3]
