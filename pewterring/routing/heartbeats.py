"""Admission heartbeats on the network: from all to all in small fleets, by relays in large ones."""

import ipaddress
import math
import secrets
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pewterring.admission.datagram import read_heartbeat, write_heartbeat
from pewterring.admission.digests import FLEET_ENTRY, HEAD, Totals
from pewterring.admission.relay_exchange import RelayExchange
from pewterring.admission.relay_plan import Speaker, make_plan
from pewterring.admission.shares import BEAT_S
from pewterring.distribution.messages import GATEWAY_PROGRAM, STORE, NodeRecord
from pewterring.transport.datagrams import IP_UDP_BYTES, DatagramPort

SPEAKERS = (GATEWAY_PROGRAM, STORE)  # programs that send attempts to workers
RELAY_PROGRAM = GATEWAY_PROGRAM
ALL_TO_ALL_BYTES_A_SECOND = 3000.0  # that one process may send for heartbeats to all
RETURN_SHARE = 0.75  # of both limits, below which a fleet that has relays goes back to all to all
RELAYED_BYTES_A_SECOND = 2000.0  # that a member may send and get for heartbeats by relays
RELAYED_FLEET = 24  # processes; smaller fleets tell all: relays would halve no more than a few datagrams
INCARNATION_BITS = 32

OnBeat = Callable[[int, int, int, bytes], None]  # kind, peer, service number, beat
OnTotals = Callable[[int, Totals], None]  # service number, totals of the fleet


def _ignore_totals(_number: int, _totals: Totals) -> None:
    """For a process that does not go by totals."""


@dataclass(frozen=True, slots=True)
class HeartbeatHandlers:
    """What takes the heartbeats that arrive: those of single processes, and in a large fleet its totals."""

    on_beat: OnBeat
    on_totals: OnTotals = _ignore_totals


def peer_number(ip: str) -> int:
    """What a process is called among its peers."""
    return int(ipaddress.IPv4Address(ip))


def needs_relays(processes: int, heartbeat_bytes: int, has_relays: bool) -> bool:
    """Whether heartbeats of that size to all would take more than a process may send."""
    scale = RETURN_SHARE if has_relays else 1.0
    sent = (processes - 1) * (heartbeat_bytes + IP_UDP_BYTES) / BEAT_S
    return processes >= RELAYED_FLEET * scale and sent > ALL_TO_ALL_BYTES_A_SECOND * scale


def rounds_apart(heartbeat_bytes: int, services: int) -> int:
    """How many heartbeat periods one exchange with a relay takes, so that it stays in its budget."""
    digest_bytes = HEAD.size + services * FLEET_ENTRY.size
    exchanged = heartbeat_bytes + digest_bytes + 2 * IP_UDP_BYTES
    return max(1, math.ceil(exchanged / BEAT_S / RELAYED_BYTES_A_SECOND))


class AdmissionHeartbeats:
    """One process's side of the exchange.

    Args:
        ip: Of this process.
        port: Of all processes; 0 for one that is free.
        kind: What it is, as in `admission.datagram`.
        handlers: What takes what arrives.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        kind: int,
        handlers: HeartbeatHandlers,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ip = ip
        self._port_number = port
        self._kind = kind
        self._on_beat = handlers.on_beat
        self._clock = clock
        self._port = DatagramPort(self._received)
        self._exchange = RelayExchange(ip, secrets.randbits(INCARNATION_BITS), handlers.on_totals)
        self._relayed = False
        self._periods = 0
        self._nodes: tuple[NodeRecord, ...] | None = None
        self._peers: tuple[str, ...] = ()

    @property
    def port(self) -> int:
        """The port that it is bound to, which its peers have as well."""
        return self._port.port

    async def start(self) -> None:
        """Opens the port."""
        await self._port.start(self._ip, self._port_number)

    def close(self) -> None:
        """Closes the port."""
        self._port.close()

    def send(self, beats: Mapping[int, bytes], nodes: Iterable[NodeRecord]) -> None:
        """Tells the others that send attempts; called once a heartbeat period."""
        self._take_nodes(tuple(nodes))
        data = write_heartbeat(self._kind, beats)
        self._relayed = needs_relays(len(self._peers) + 1, len(data), self._relayed)
        if self._relayed:
            self._send_round(data, len(beats))
            return
        for ip in self._peers:
            self._port.send(ip, data)

    def _send_round(self, data: bytes, services: int) -> None:
        self._periods += 1
        apart = rounds_apart(len(data), services)
        if self._periods % apart == 0:
            for ip, datagram in self._exchange.round(self._clock(), data, apart * BEAT_S):
                self._port.send(ip, datagram)

    def _take_nodes(self, nodes: tuple[NodeRecord, ...]) -> None:
        if nodes == self._nodes:
            return
        self._nodes = nodes
        speakers = [node for node in nodes if node.program in SPEAKERS]
        self._peers = tuple(node.ip for node in speakers if node.ip != self._ip)
        self._exchange.plan = make_plan(
            Speaker(node.ip, node.zone, node.program == RELAY_PROGRAM) for node in speakers
        )

    def _received(self, data: bytes, ip: str) -> None:
        if self._relayed:
            self._exchange.receive(self._clock(), ip, data)
            return
        heard = read_heartbeat(data)
        if heard is None or ip not in self._peers:  # no greeting names the sender
            return
        kind, beats = heard
        peer = peer_number(ip)
        for number, beat in beats:
            self._on_beat(kind, peer, number, beat)
