"""When heartbeats are sent to all peers and when through relays, and both on real sockets."""

import asyncio
from collections.abc import Callable

import pytest

from pewterring.admission.datagram import ENTRY_BYTES, GATEWAY, HEAD
from pewterring.admission.digests import FLEET_ENTRY, Totals
from pewterring.admission.digests import HEAD as DIGEST_HEAD
from pewterring.admission.shares import HEARTBEAT_PERIOD_S
from pewterring.distribution.messages import NodeRecord
from pewterring.routing.heartbeats import (
    MAX_RELAYED_BYTES_PER_S,
    MIN_RELAYED_FLEET,
    AdmissionHeartbeats,
    HeartbeatHandlers,
    needs_relays,
    peer_number,
    periods_per_round,
)
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat
from pewterring.transport.datagrams import IP_UDP_BYTES

SERVICE = 5
MAX_ROUNDS = 30


def heartbeat_bytes(services: int) -> int:
    return HEAD.size + services * ENTRY_BYTES


@pytest.mark.parametrize("services", [1, 2, 5, 19, 40])
def test_small_fleets_send_to_all_peers_and_large_ones_use_relays(services: int) -> None:
    size = heartbeat_bytes(services)
    assert not any(needs_relays(fleet, size, False) for fleet in range(1, MIN_RELAYED_FLEET))
    assert all(needs_relays(fleet, size, False) for fleet in range(66, 500))


@pytest.mark.parametrize("services", [1, 2, 5, 19, 40])
def test_the_use_of_relays_has_hysteresis(services: int) -> None:
    size = heartbeat_bytes(services)
    threshold = next(fleet for fleet in range(1, 1000) if needs_relays(fleet, size, False))
    assert not needs_relays(threshold - 1, size, False)
    assert needs_relays(threshold - 2, size, True)
    assert not needs_relays(threshold // 2, size, True)


@pytest.mark.parametrize("services", [1, 2, 19, 40])
def test_a_members_traffic_stays_within_its_limit(services: int) -> None:
    size = heartbeat_bytes(services)
    round_bytes = size + DIGEST_HEAD.size + services * FLEET_ENTRY.size + 2 * IP_UDP_BYTES
    period_s = periods_per_round(size, services) * HEARTBEAT_PERIOD_S
    assert round_bytes / period_s <= MAX_RELAYED_BYTES_PER_S
    assert services > 2 or period_s == HEARTBEAT_PERIOD_S


class Peers:
    """Processes on several loopback addresses with the same port number."""

    def __init__(self, count: int) -> None:
        self.ips = [f"127.0.1.{index + 1}" for index in range(count)]
        self.nodes = [NodeRecord(ip, "gateway", ip, "zone", "life") for ip in self.ips]
        self.heard_peers: dict[str, set[int]] = {ip: set() for ip in self.ips}
        self.totals: dict[str, Totals] = {}
        self.exchanges: list[AdmissionHeartbeats] = []

    async def start(self) -> None:
        port = 0
        for ip in self.ips:
            peer = AdmissionHeartbeats(ip, port, GATEWAY, self._handlers(ip))
            await peer.start()
            port = peer.port
            self.exchanges.append(peer)

    def send(self) -> None:
        heartbeat = encode_heartbeat(Heartbeat(1, 1, 8.0, 1, 1.0, 1.0))
        for peer in self.exchanges:
            peer.send({SERVICE: heartbeat}, self.nodes)

    async def send_until(self, done: Callable[[], bool]) -> None:
        """Sends rounds. Loopback delivers at once, and a pass of the loop reads one datagram per socket."""
        for _ in range(MAX_ROUNDS):
            if done():
                return
            self.send()
            for _ in self.ips:
                await asyncio.sleep(0)
        raise AssertionError("the condition was not met in time")

    def close(self) -> None:
        for peer in self.exchanges:
            peer.close()

    def _handlers(self, ip: str) -> HeartbeatHandlers:
        def on_heartbeat(_kind: int, peer: int, _number: int, _heartbeat: bytes) -> None:
            self.heard_peers[ip].add(peer)

        def on_totals(_number: int, totals: Totals) -> None:
            self.totals[ip] = totals

        return HeartbeatHandlers(on_heartbeat, on_totals)


def test_processes_of_a_small_fleet_receive_each_others_heartbeats() -> None:
    async def scenario() -> None:
        peers = Peers(4)
        await peers.start()
        await peers.send_until(lambda: all(len(heard) == 3 for heard in peers.heard_peers.values()))
        assert peers.totals == {}
        peers.close()

    asyncio.run(scenario())


def test_processes_of_a_large_fleet_receive_totals_and_no_single_heartbeats() -> None:
    async def scenario() -> None:
        count = 40
        peers = Peers(count)
        await peers.start()
        await peers.send_until(
            lambda: (
                len(peers.totals) == count
                and all(totals.gateways == count for totals in peers.totals.values())
            )
        )
        assert not any(peers.heard_peers.values())
        assert all(totals.in_flight == count for totals in peers.totals.values())
        peers.close()

    asyncio.run(scenario())


def test_datagrams_of_a_process_that_is_not_in_the_table_of_nodes_are_dropped() -> None:
    """Such as a process of another cluster, which uses an address that this fleet had before."""

    async def scenario() -> None:
        fleet, other_fleet = Peers(3), Peers(4)
        await fleet.start()
        outsider = AdmissionHeartbeats(
            other_fleet.ips[3], fleet.exchanges[0].port, GATEWAY, HeartbeatHandlers(lambda *_: None)
        )
        await outsider.start()
        outsider.send({SERVICE: encode_heartbeat(Heartbeat(1, 1, 8.0, 1, 1.0, 1.0))}, other_fleet.nodes)
        numbers = {peer_number(ip) for ip in fleet.ips}
        others = {ip: numbers - {peer_number(ip)} for ip in fleet.ips}
        await fleet.send_until(lambda: all(others[ip] <= heard for ip, heard in fleet.heard_peers.items()))
        assert fleet.heard_peers == others
        outsider.close()
        fleet.close()

    asyncio.run(scenario())
