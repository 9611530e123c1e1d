"""When heartbeats go to all and when by relays, and both on sockets."""

import asyncio
from collections.abc import Callable

import pytest

from pewterring.admission.datagram import ENTRY_BYTES, GATEWAY, HEAD
from pewterring.admission.digests import FLEET_ENTRY, Totals
from pewterring.admission.digests import HEAD as DIGEST_HEAD
from pewterring.admission.shares import BEAT_S
from pewterring.distribution.messages import NodeRecord
from pewterring.routing.heartbeats import (
    RELAYED_BYTES_A_SECOND,
    RELAYED_FLEET,
    AdmissionHeartbeats,
    HeartbeatHandlers,
    needs_relays,
    peer_number,
    rounds_apart,
)
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat
from pewterring.transport.datagrams import IP_UDP_BYTES

SERVICE = 5
MAX_ROUNDS = 30


def heartbeat_bytes(services: int) -> int:
    return HEAD.size + services * ENTRY_BYTES


@pytest.mark.parametrize("services", [1, 2, 5, 19, 40])
def test_small_fleets_tell_all_and_large_ones_have_relays(services: int) -> None:
    size = heartbeat_bytes(services)
    assert not any(needs_relays(fleet, size, False) for fleet in range(1, RELAYED_FLEET))
    assert all(needs_relays(fleet, size, False) for fleet in range(66, 500))


@pytest.mark.parametrize("services", [1, 2, 5, 19, 40])
def test_the_line_does_not_flap(services: int) -> None:
    size = heartbeat_bytes(services)
    first = next(fleet for fleet in range(1, 1000) if needs_relays(fleet, size, False))
    assert not needs_relays(first - 1, size, False)
    assert needs_relays(first - 2, size, True)
    assert not needs_relays(first // 2, size, True)


@pytest.mark.parametrize("services", [1, 2, 19, 40])
def test_a_member_stays_in_its_budget(services: int) -> None:
    size = heartbeat_bytes(services)
    exchanged = size + DIGEST_HEAD.size + services * FLEET_ENTRY.size + 2 * IP_UDP_BYTES
    period = rounds_apart(size, services) * BEAT_S
    assert exchanged / period <= RELAYED_BYTES_A_SECOND
    assert services > 2 or period == BEAT_S


class Peers:
    """Some processes on loopback addresses with one port."""

    def __init__(self, count: int) -> None:
        self.ips = [f"127.0.1.{index + 1}" for index in range(count)]
        self.nodes = [NodeRecord(ip, "gateway", ip, "zone", "life") for ip in self.ips]
        self.beats: dict[str, set[int]] = {ip: set() for ip in self.ips}
        self.totals: dict[str, Totals] = {}
        self.all: list[AdmissionHeartbeats] = []

    async def start(self) -> None:
        port = 0
        for ip in self.ips:
            peer = AdmissionHeartbeats(ip, port, GATEWAY, self._handlers(ip))
            await peer.start()
            port = peer.port
            self.all.append(peer)

    def send(self) -> None:
        beat = encode_heartbeat(Heartbeat(1, 1, 8.0, 1, 1.0, 1.0))
        for peer in self.all:
            peer.send({SERVICE: beat}, self.nodes)

    async def send_until(self, done: Callable[[], bool]) -> None:
        """Sends rounds; a datagram on loopback is there at once; a pass of the loop reads one a socket."""
        for _ in range(MAX_ROUNDS):
            if done():
                return
            self.send()
            for _ in self.ips:
                await asyncio.sleep(0)
        raise AssertionError("not done")

    def close(self) -> None:
        for peer in self.all:
            peer.close()

    def _handlers(self, ip: str) -> HeartbeatHandlers:
        def hear_beat(_kind: int, peer: int, _number: int, _beat: bytes) -> None:
            self.beats[ip].add(peer)

        def hear_totals(_number: int, totals: Totals) -> None:
            self.totals[ip] = totals

        return HeartbeatHandlers(hear_beat, hear_totals)


def test_a_small_fleet_hears_each_other() -> None:
    async def scenario() -> None:
        peers = Peers(4)
        await peers.start()
        await peers.send_until(lambda: all(len(heard) == 3 for heard in peers.beats.values()))
        assert peers.totals == {}
        peers.close()

    asyncio.run(scenario())


def test_a_large_fleet_hears_totals_and_no_single_beats() -> None:
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
        assert not any(peers.beats.values())
        assert all(totals.out == count for totals in peers.totals.values())
        peers.close()

    asyncio.run(scenario())


def test_a_datagram_of_a_process_that_no_table_names_is_dropped() -> None:
    """Another cluster's, say, whose address this fleet had before."""

    async def scenario() -> None:
        fleet, stranger = Peers(3), Peers(4)
        await fleet.start()
        outsider = AdmissionHeartbeats(
            stranger.ips[3], fleet.all[0].port, GATEWAY, HeartbeatHandlers(lambda *_: None)
        )
        await outsider.start()
        outsider.send({SERVICE: encode_heartbeat(Heartbeat(1, 1, 8.0, 1, 1.0, 1.0))}, stranger.nodes)
        numbers = {peer_number(ip) for ip in fleet.ips}
        others = {ip: numbers - {peer_number(ip)} for ip in fleet.ips}
        await fleet.send_until(lambda: all(others[ip] <= heard for ip, heard in fleet.beats.items()))
        assert fleet.beats == others
        outsider.close()
        fleet.close()

    asyncio.run(scenario())
