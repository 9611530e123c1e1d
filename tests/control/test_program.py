"""Three control programs over loopback: HTTP calls, a node on the feed, planned stops and a lost disk."""

import asyncio
import contextlib
import dataclasses
import random
import shutil
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import msgspec
import pytest

from pewterring.configuration.digest import single_line
from pewterring.control.join_requests import JoinRequests
from pewterring.control.messages import JoinGroup
from pewterring.control.program import MESSAGES, ControlProgram
from pewterring.distribution.messages import (
    FEED_MESSAGES,
    CompleteTables,
    NodeRecord,
    Redirect,
    Subscribe,
    TableVersions,
)
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.node.address import Address
from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings
from pewterring.transport.lines import ChannelClosedError, ChannelSettings, LineServer, MessageCodec, connect
from tests.configuration.documents import encoded
from tests.loopback import free_port, loopback_ip
from tests.node_settings import addresses, node_settings
from tests.transport.scripted import warnings_logged

IPS = (loopback_ip(21), loopback_ip(22), loopback_ip(23))
NODE_IP = loopback_ip(24)
CALL_TIMEOUT_S = 2.0  # callers then try another machine
TEST_TIMEOUT_S = 60.0


class Machines:
    """The running programs by IP, and an operator who tries one after the other."""

    def __init__(self, data_dir: Path) -> None:
        self.data_dir = data_dir
        self.internal_port = free_port(IPS[0])
        self.control_port = free_port(IPS[0])
        self.programs: dict[str, ControlProgram] = {}

    def settings(self, ip: str, program: str = "control", bootstrap: bool = True) -> NodeSettings:
        is_control = program == "control"
        return node_settings(
            program,
            ip,
            zone="z-" + ip,
            control=Address(ip, self.control_port) if is_control else None,
            internal_port=self.internal_port,
            seeds=addresses(IPS, self.control_port),
            bootstrap=bootstrap,
            data_dir=self.data_dir / ip if is_control else None,
            disk_mb=100,
        )

    async def start(self, ip: str, bootstrap: bool = True) -> ControlProgram:
        program = ControlProgram(self.settings(ip, bootstrap=bootstrap))
        await program.start()
        self.programs[ip] = program
        return program

    async def stop(self, ip: str) -> None:
        program = self.programs.pop(ip)
        await program.drain()
        await program.stop()

    async def leader(self) -> str:
        """Waits until a program has the lease and returns its IP."""
        while True:
            for ip, program in self.programs.items():
                if program.leadership.has_lease:
                    return ip
            await self.call("GET", "/v1/Config.Get")

    async def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> tuple[int, bytes]:
        """Calls the machines in turn; returns the first answer with a status below 500."""
        while True:
            for ip in tuple(self.programs):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                    async with asyncio.timeout(CALL_TIMEOUT_S):
                        status, answer = await self._call_one(ip, method, path, body, headers)
                    if status < 500:
                        return status, answer

    async def _call_one(
        self, ip: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(ip, self.control_port)
        try:
            fields = [f"{method} {path} HTTP/1.1", f"Host: {ip}", f"Content-Length: {len(body)}"]
            fields += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*fields, "Connection: close", "", ""]).encode() + body)
            head, _, answer = (await reader.read(-1)).partition(b"\r\n\r\n")
            return int(head.split()[1]), answer
        finally:
            writer.close()

    async def put(self, base: int, version: int) -> None:
        status, answer = await self.call(
            "POST", "/v1/Config.Replace", encoded(version=version), Base_Version=str(base)
        )
        assert status == 200, answer

    async def read(self) -> bytes:
        status, answer = await self.call("GET", "/v1/Config.Get")
        assert status == 200
        return answer


class Node:
    """A gateway that subscribes to the feed."""

    def __init__(self, machines: Machines) -> None:
        self._changed = asyncio.Event()
        self.subscriber = FeedSubscriber(
            machines.settings(NODE_IP, program="gateway"),
            MessageCodec(FEED_MESSAGES),
            NodeReport(lambda: NodeRecord("edge-1", "gateway", NODE_IP, "z", "x")),
            self._on_tables,
            FeedEnvironment(random.Random(1)),
        )

    def _on_tables(self, _old: Tables, _new: Tables) -> None:
        self._changed.set()

    async def until(self, condition: Callable[[Tables], bool]) -> None:
        while not condition(self.subscriber.tables):
            self._changed.clear()
            await self._changed.wait()

    async def until_version(self, version: int) -> None:
        await self.until(
            lambda tables: tables.configuration is not None and tables.configuration.version == version
        )


@contextlib.asynccontextmanager
async def running(data_dir: Path) -> AsyncIterator[tuple[Machines, Node]]:
    machines = Machines(data_dir)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        for ip in IPS:
            await machines.start(ip)
        node = Node(machines)
        await node.subscriber.start()
        yield machines, node
        await node.subscriber.stop()
        for ip in tuple(machines.programs):
            await machines.stop(ip)


def test_configurations_survive_a_planned_stop_of_the_leader_and_of_all_programs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as (machines, node):
            await machines.put(0, 3)
            await node.until_version(3)
            await machines.stop(await machines.leader())
            await machines.put(3, 5)
            await node.until_version(5)
            for ip in tuple(machines.programs):
                await machines.stop(ip)
            for ip in IPS:
                await machines.start(ip, bootstrap=False)
            assert await machines.read() == single_line(encoded(version=5))
            status, _ = await machines.call(
                "POST", "/v1/Config.Replace", encoded(version=5), Base_Version="3"
            )
            assert status == 200, "a repeated request is acknowledged"
            status, _ = await machines.call("POST", "/v1/Config.Replace", b"{", Base_Version="5")
            assert status == 400

    asyncio.run(scenario())


def test_a_machine_that_lost_its_disk_is_a_voter_again_under_another_name(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as (machines, _):
            await machines.put(0, 3)
            leader = await machines.leader()
            lost = next(ip for ip in IPS if ip != leader)
            await machines.stop(lost)
            shutil.rmtree(tmp_path / lost)
            restarted = await machines.start(lost, bootstrap=False)
            while not restarted.joining.is_voter:
                await machines.read()
            assert restarted.group.member.startswith(lost)
            assert not restarted.group.member.endswith("#seed")
            await machines.stop(leader)
            assert await machines.read() == single_line(encoded(version=3))

    asyncio.run(scenario())


def test_a_worker_is_published_to_a_subscribed_node(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running(tmp_path) as (machines, node):
            heartbeat = b'{"backend":"s","address":"10.9.0.1:80","capacity":4,"state":"%s","sequence":%d}'
            for sequence, state in enumerate((b"ready", b"draining"), 1):
                status, _ = await machines.call(
                    "POST", "/v1/Instances.Heartbeat/i-1", heartbeat % (state, sequence)
                )
                assert status == 200
                await node.until(
                    lambda tables: "i-1" in tables.workers and tables.workers["i-1"].state == state.decode()  # noqa: B023
                )
            assert (await machines.call("POST", "/v1/Instances.Deregister/i-1"))[0] == 200
            await node.until(lambda tables: "i-1" not in tables.workers)

    asyncio.run(scenario())


def test_settings_without_a_data_folder_or_an_address_are_rejected(tmp_path: Path) -> None:
    complete = Machines(tmp_path).settings(IPS[0])
    with pytest.raises(SettingsError, match=r"listen_addrs\.control"):
        ControlProgram(dataclasses.replace(complete, control=None))
    with pytest.raises(SettingsError, match="data_dir"):
        ControlProgram(dataclasses.replace(complete, data_dir=None))


def test_a_seed_of_another_cluster_is_logged_once_and_its_tables_are_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        machines = Machines(tmp_path)
        node = Node(machines)
        tables = CompleteTables(TableVersions(1, 1), msgspec.Raw(encoded(version=1)), (), (), (), (), ())
        foreign_seed = LineServer(MessageCodec(FEED_MESSAGES, "two"), lambda _channel, _message: tables)
        await foreign_seed.start(IPS[0], machines.internal_port)
        with warnings_logged() as warnings:
            for _ in range(5):
                await node.subscriber._run_session(IPS[0])  # noqa: SLF001 - one session, without the pauses between sessions
        assert len(warnings) == 2
        assert all("cluster" in warning for warning in warnings)
        assert node.subscriber.tables.configuration is None
        await foreign_seed.stop()

    asyncio.run(scenario())


def test_a_peer_of_another_cluster_is_disconnected_and_its_messages_are_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    requested: list[str] = []
    monkeypatch.setattr(JoinRequests, "record", lambda _self, _now, member: requested.append(member))

    async def scenario() -> None:
        machines = Machines(tmp_path)
        settings = dataclasses.replace(machines.settings(IPS[0]), cluster="one")
        program = ControlProgram(settings)
        await program.start()
        subscribe = Subscribe(NodeRecord("store-x", "store", NODE_IP, "z", "life", f"{NODE_IP}#x"))
        program.leadership.ready = True
        try:
            for cluster in ("one", "two", ""):
                codec = MessageCodec(MESSAGES, cluster)
                channel = await connect(
                    ChannelSettings(codec), IPS[0], machines.internal_port, CALL_TIMEOUT_S
                )
                channel.send(JoinGroup(f"{NODE_IP}#{cluster}"))
                if cluster == "one":
                    assert isinstance(await channel.request(subscribe, CALL_TIMEOUT_S), Redirect)
                else:
                    with pytest.raises(ChannelClosedError):
                        await channel.request(subscribe, CALL_TIMEOUT_S)
                channel.close()
            assert requested == [f"{NODE_IP}#one"]
        finally:
            await program.stop()

    asyncio.run(scenario())
