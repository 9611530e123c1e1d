"""Admission heartbeats on the network: sent to all gateways and stores, received from them."""

import ipaddress
from collections.abc import Callable, Iterable, Mapping

from pewterring.admission.datagram import read_heartbeat, write_heartbeat
from pewterring.distribution.messages import NodeRecord
from pewterring.transport.datagrams import DatagramPort

SPEAKERS = ("gateway", "store")  # programs that send attempts to workers
OnBeat = Callable[[int, int, int, bytes], None]  # kind, peer, service number, beat


def peer_number(ip: str) -> int:
    """What a process is called among its peers."""
    return int(ipaddress.IPv4Address(ip))


class AdmissionHeartbeats:
    """One process's side of the exchange."""

    def __init__(self, ip: str, port: int, kind: int, on_beat: OnBeat) -> None:
        self._ip = ip
        self._port_number = port
        self._kind = kind
        self._on_beat = on_beat
        self._port = DatagramPort(self._received)

    async def start(self) -> None:
        """Opens the port."""
        await self._port.start(self._ip, self._port_number)

    def close(self) -> None:
        """Closes the port."""
        self._port.close()

    def send(self, beats: Mapping[int, bytes], nodes: Iterable[NodeRecord]) -> None:
        """Tells all others that send attempts."""
        data = write_heartbeat(self._kind, beats)
        for node in nodes:
            if node.program in SPEAKERS and node.ip != self._ip:
                self._port.send(node.ip, data)

    def _received(self, data: bytes, ip: str) -> None:
        heard = read_heartbeat(data)
        if heard is None:
            return
        kind, beats = heard
        peer = peer_number(ip)
        for number, beat in beats:
            self._on_beat(kind, peer, number, beat)
