"""Exchange of admission heartbeats through relays, for fleets too large for all-to-all heartbeats. No I/O.

In each round a process sends its heartbeat to one relay of its group, and receives the totals of the fleet
from one. Relays sum the heartbeats of their group and exchange the sums with the relays of other groups.
Totals are some rounds old. Datagrams may be lost or late: data that is not renewed, for instance of a group
that no longer exists, expires.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pewterring.admission.datagram import GATEWAY, read_heartbeat
from pewterring.admission.digests import (
    FLEET_MAGIC,
    Digest,
    Totals,
    merge,
    read_digest,
    summarize,
    write_fleet_digest,
    write_group_digest,
)
from pewterring.admission.relay_plan import RelayPlan
from pewterring.standalone.peer_messages import Heartbeat, decode_heartbeat

EXPIRY_ROUNDS = 8  # rounds after which a heartbeat or digest no longer counts
Datagram = tuple[str, bytes]  # receiver's IP and content
OnTotals = Callable[[int, Totals], None]  # service number and totals
NO_PLAN = RelayPlan({}, {})


@dataclass(frozen=True, slots=True)
class _Heartbeat:
    received_at: float
    kind: int
    by_service: Mapping[int, Heartbeat]


@dataclass(frozen=True, slots=True)
class _GroupDigest:
    received_at: float
    source: tuple[str, int, int]  # sender's IP, incarnation and sequence number
    digests: Mapping[int, Digest]


class RelayExchange:
    """One process in the exchange: a member of its group and, if the plan selects it, a relay of it."""

    def __init__(self, own_ip: str, incarnation: int, on_totals: OnTotals) -> None:
        self.plan = NO_PLAN
        self.expiry_s = 0.0
        self._own_ip = own_ip
        self._incarnation = incarnation
        self._on_totals = on_totals
        self._round = 0
        self._heartbeats: dict[str, _Heartbeat] = {}  # by the member's IP
        self._groups: dict[int, _GroupDigest] = {}  # digests of other groups, by group number
        # Incarnation and sequence number of the last datagram of each sender's IP and magic.
        self._newest: dict[tuple[str, bytes], tuple[int, int]] = {}

    def round(self, now: float, heartbeat: bytes, period_s: float) -> list[Datagram]:
        """Returns the datagrams to send in this round. Rounds are `period_s` seconds apart."""
        number = self.plan.group_of.get(self._own_ip)
        if number is None:
            return []
        self._round += 1
        self.expiry_s = EXPIRY_ROUNDS * period_s
        relays = self.plan.groups[number].relays
        datagrams: list[Datagram] = []
        target = relays[self._round % len(relays)]
        if target != self._own_ip:
            datagrams.append((target, heartbeat))
        if self._own_ip in relays:
            self._take_heartbeat(now, self._own_ip, heartbeat)
            if self._round % len(relays) == relays.index(self._own_ip):
                datagrams += self._relay(now, number)
        return datagrams

    def receive(self, now: float, ip: str, data: bytes) -> None:
        """Takes a datagram; drops it if it is malformed or its sender is not in the plan."""
        if ip not in self.plan.group_of:
            return
        message = read_digest(data)
        if message is None:
            if self._is_relay_of(ip):
                self._take_heartbeat(now, ip, data)
            return
        if not self._is_newest(ip, message.magic, message.incarnation, message.sequence):
            return
        if message.magic == FLEET_MAGIC:
            for number, totals in message.totals.items():
                self._on_totals(number, totals)
        elif message.group in self.plan.groups:
            source = (ip, message.incarnation, message.sequence)
            self._take_group(now, message.group, source, message.digests)

    # Work of a relay

    def _is_relay_of(self, ip: str) -> bool:
        group = self.plan.groups[self.plan.group_of[ip]]
        return self._own_ip in group.relays

    def _take_heartbeat(self, now: float, ip: str, data: bytes) -> None:
        decoded = read_heartbeat(data)
        if decoded is None:
            return
        kind, entries = decoded
        by_service = {
            service: beat for service, raw in entries if (beat := decode_heartbeat(raw)) is not None
        }
        self._heartbeats[ip] = _Heartbeat(now, kind, by_service)

    def _take_group(
        self, now: float, group: int, source: tuple[str, int, int], digests: Mapping[int, Digest]
    ) -> None:
        """Takes a group's digest. A digest of many services comes in several datagrams, which are merged."""
        known = self._groups.get(group)
        received = known.digests if known is not None and known.source == source else {}
        self._groups[group] = _GroupDigest(now, source, {**received, **digests})

    def _relay(self, now: float, number: int) -> list[Datagram]:
        """The own group's digest for the other groups' relays, and the fleet's totals for the own group."""
        self._expire(now, number)
        own = self._own_digests()
        fleet: defaultdict[int, list[Digest]] = defaultdict(list)
        for digests in (own, *(group.digests for group in self._groups.values())):
            for service, digest in digests.items():
                fleet[service].append(digest)
        totals = {service: merge(group_digests) for service, group_digests in fleet.items()}
        for service, service_totals in totals.items():
            self._on_totals(service, service_totals)
        group_data = write_group_digest(number, self._incarnation, self._round, own)
        fleet_data = write_fleet_digest(number, self._incarnation, self._round, totals)
        others = [ip for key, group in self.plan.groups.items() if key != number for ip in group.relays]
        members = [ip for ip in self.plan.groups[number].members if ip != self._own_ip]
        return [
            *((ip, data) for ip in others for data in group_data),
            *((ip, data) for ip in members for data in fleet_data),
        ]

    def _expire(self, now: float, number: int) -> None:
        """Drops data that has expired, or whose process or group is no longer in the plan."""
        members = frozenset(self.plan.groups[number].members)
        self._heartbeats = {
            ip: heartbeat
            for ip, heartbeat in self._heartbeats.items()
            if ip in members and now - heartbeat.received_at < self.expiry_s
        }
        self._groups = {
            key: group
            for key, group in self._groups.items()
            if key in self.plan.groups and key != number and now - group.received_at < self.expiry_s
        }

    def _own_digests(self) -> dict[int, Digest]:
        gateways: defaultdict[int, list[Heartbeat]] = defaultdict(list)
        batch: defaultdict[int, list[Heartbeat]] = defaultdict(list)
        for heartbeat in self._heartbeats.values():
            same_kind = gateways if heartbeat.kind == GATEWAY else batch
            for service, beat in heartbeat.by_service.items():
                same_kind[service].append(beat)
        return {
            service: summarize(gateways.get(service, ()), batch.get(service, ()))
            for service in (*gateways, *(service for service in batch if service not in gateways))
        }

    def _is_newest(self, ip: str, magic: bytes, incarnation: int, sequence: int) -> bool:
        """Notes the newest datagram of a sender; False if this one was overtaken and holds older sums."""
        known = self._newest.get((ip, magic))
        if known is not None and known[0] == incarnation and sequence < known[1]:
            return False
        self._newest[ip, magic] = (incarnation, sequence)
        return True
