"""Admission heartbeats on the network: all-to-all in small fleets, through relays in large ones."""

import ipaddress
import math
import secrets
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pewterring.admission.datagram import read_heartbeat, write_heartbeat
from pewterring.admission.digests import FLEET_ENTRY, HEAD, Totals
from pewterring.admission.relay_exchange import RelayExchange
from pewterring.admission.relay_plan import HeartbeatSender, make_plan
from pewterring.admission.shares import HEARTBEAT_PERIOD_S
from pewterring.distribution.messages import GATEWAY_PROGRAM, STORE, NodeRecord
from pewterring.transport.datagrams import IP_UDP_BYTES, DatagramPort

SENDER_PROGRAMS = (GATEWAY_PROGRAM, STORE)  # programs that send attempts to workers, and so heartbeats
RELAY_PROGRAM = GATEWAY_PROGRAM
MAX_ALL_TO_ALL_BYTES_PER_S = 3000.0  # limit of what one process sends for all-to-all heartbeats
# A fleet with relays returns to all-to-all heartbeats below this fraction of both limits.
HYSTERESIS_FRACTION = 0.75
MAX_RELAYED_BYTES_PER_S = 2000.0  # limit of what a member sends and receives for heartbeats through relays
# Number of processes from which relays may be used. In a smaller fleet they would save only a few datagrams.
MIN_RELAYED_FLEET = 24
INCARNATION_BITS = 32

OnHeartbeat = Callable[[int, int, int, bytes], None]  # kind of process, peer, service number, heartbeat
OnTotals = Callable[[int, Totals], None]  # service number, totals of the fleet


def _ignore_totals(_number: int, _totals: Totals) -> None:
    """Handler for a process that does not use totals."""


@dataclass(frozen=True, slots=True)
class HeartbeatHandlers:
    """Callbacks for heartbeats of single processes, and for the totals of a fleet that uses relays."""

    on_heartbeat: OnHeartbeat
    on_totals: OnTotals = _ignore_totals


def peer_number(ip: str) -> int:
    """Returns the number that identifies a process among its peers: its IPv4 address as an integer."""
    return int(ipaddress.IPv4Address(ip))


def needs_relays(processes: int, heartbeat_bytes: int, has_relays: bool) -> bool:
    """Whether all-to-all heartbeats of the given size would exceed what one process may send."""
    scale = HYSTERESIS_FRACTION if has_relays else 1.0
    bytes_per_s = (processes - 1) * (heartbeat_bytes + IP_UDP_BYTES) / HEARTBEAT_PERIOD_S
    return processes >= MIN_RELAYED_FLEET * scale and bytes_per_s > MAX_ALL_TO_ALL_BYTES_PER_S * scale


def periods_per_round(heartbeat_bytes: int, services: int) -> int:
    """Returns the heartbeat periods between two rounds, so that a member's traffic stays within its limit."""
    digest_bytes = HEAD.size + services * FLEET_ENTRY.size
    round_bytes = heartbeat_bytes + digest_bytes + 2 * IP_UDP_BYTES
    return max(1, math.ceil(round_bytes / HEARTBEAT_PERIOD_S / MAX_RELAYED_BYTES_PER_S))


class AdmissionHeartbeats:
    """One process's side of the exchange of heartbeats. Owns the port on which they are sent and received.

    Args:
        ip: The address of this process.
        port: The port that all processes use; 0 to choose a free one.
        kind: The kind of this process, as in `admission.datagram`.
        handlers: Callbacks for what is received.
        clock: Returns monotonic time in seconds.
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
        self._on_heartbeat = handlers.on_heartbeat
        self._clock = clock
        self._port = DatagramPort(self._receive)
        self._exchange = RelayExchange(ip, secrets.randbits(INCARNATION_BITS), handlers.on_totals)
        self._uses_relays = False
        self._periods = 0
        self._nodes: tuple[NodeRecord, ...] | None = None
        self._peers: tuple[str, ...] = ()

    @property
    def port(self) -> int:
        """The port number that this process is bound to; its peers use the same one."""
        return self._port.port

    async def start(self) -> None:
        """Opens the port.

        Raises:
            OSError: The address or the port cannot be bound.
        """
        await self._port.start(self._ip, self._port_number)

    def close(self) -> None:
        """Closes the port."""
        self._port.close()

    def send(self, heartbeats: Mapping[int, bytes], nodes: Iterable[NodeRecord]) -> None:
        """Sends the heartbeats, given by service number, to all peers or to a relay.

        Called once per heartbeat period with the current table of nodes.
        """
        self._update_nodes(tuple(nodes))
        data = write_heartbeat(self._kind, heartbeats)
        self._uses_relays = needs_relays(len(self._peers) + 1, len(data), self._uses_relays)
        if self._uses_relays:
            self._send_round(data, len(heartbeats))
            return
        for ip in self._peers:
            self._port.send(ip, data)

    def _send_round(self, data: bytes, services: int) -> None:
        self._periods += 1
        periods = periods_per_round(len(data), services)
        if self._periods % periods == 0:
            for ip, datagram in self._exchange.round(self._clock(), data, periods * HEARTBEAT_PERIOD_S):
                self._port.send(ip, datagram)

    def _update_nodes(self, nodes: tuple[NodeRecord, ...]) -> None:
        if nodes == self._nodes:
            return
        self._nodes = nodes
        senders = [node for node in nodes if node.program in SENDER_PROGRAMS]
        self._peers = tuple(node.ip for node in senders if node.ip != self._ip)
        self._exchange.plan = make_plan(
            HeartbeatSender(node.ip, node.zone, node.program == RELAY_PROGRAM) for node in senders
        )

    def _receive(self, data: bytes, ip: str) -> None:
        if self._uses_relays:
            self._exchange.receive(self._clock(), ip, data)
            return
        decoded = read_heartbeat(data)
        if decoded is None or ip not in self._peers:  # datagrams have no handshake that identifies the sender
            return
        kind, heartbeats = decoded
        peer = peer_number(ip)
        for number, heartbeat in heartbeats:
            self._on_heartbeat(kind, peer, number, heartbeat)
