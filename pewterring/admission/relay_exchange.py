"""Admission heartbeats by relays, without I/O: for fleets too large for heartbeats from all to all.

Each process sends its heartbeat to one relay of its group a round, and gets the totals of the fleet from one.
Relays sum what their group says and exchange the sums with the relays of other groups. Totals are some rounds
old; what is lost, late or from a group that is no more ages out.
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

KEPT_ROUNDS = 8  # a heartbeat or digest older than so many rounds counts no more
Datagram = tuple[str, bytes]  # receiver's IP and content
OnTotals = Callable[[int, Totals], None]  # service number and totals
NO_PLAN = RelayPlan({}, {})


@dataclass(frozen=True, slots=True)
class _Heartbeat:
    heard: float
    kind: int
    beats: Mapping[int, Heartbeat]


@dataclass(frozen=True, slots=True)
class _GroupDigest:
    heard: float
    source: tuple[str, int, int]  # sender's IP, incarnation and sequence number
    digests: Mapping[int, Digest]


class RelayExchange:
    """One process's side, as a member and, where the plan says so, as a relay of its group."""

    def __init__(self, own_ip: str, incarnation: int, on_totals: OnTotals) -> None:
        self.plan = NO_PLAN
        self.kept_s = 0.0
        self._own_ip = own_ip
        self._incarnation = incarnation
        self._on_totals = on_totals
        self._round = 0
        self._heartbeats: dict[str, _Heartbeat] = {}  # by the member's IP
        self._groups: dict[int, _GroupDigest] = {}  # other groups, by number
        self._newest: dict[tuple[str, bytes], tuple[int, int]] = {}  # incarnation and sequence heard last

    def round(self, now: float, heartbeat: bytes, period_s: float) -> list[Datagram]:
        """What to send in this round; rounds follow each other by `period_s`."""
        number = self.plan.group_of.get(self._own_ip)
        if number is None:
            return []
        self._round += 1
        self.kept_s = KEPT_ROUNDS * period_s
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
        """Takes a datagram; what is malformed or from strangers is dropped."""
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

    # As a relay

    def _is_relay_of(self, ip: str) -> bool:
        group = self.plan.groups[self.plan.group_of[ip]]
        return self._own_ip in group.relays

    def _take_heartbeat(self, now: float, ip: str, data: bytes) -> None:
        heard = read_heartbeat(data)
        if heard is None:
            return
        kind, entries = heard
        beats = {number: beat for number, raw in entries if (beat := decode_heartbeat(raw)) is not None}
        self._heartbeats[ip] = _Heartbeat(now, kind, beats)

    def _take_group(
        self, now: float, group: int, source: tuple[str, int, int], digests: Mapping[int, Digest]
    ) -> None:
        """A digest of many services comes in several datagrams, which complete each other."""
        known = self._groups.get(group)
        rest = known.digests if known is not None and known.source == source else {}
        self._groups[group] = _GroupDigest(now, source, {**rest, **digests})

    def _relay(self, now: float, number: int) -> list[Datagram]:
        self._forget(now, number)
        own = self._own_digests()
        fleet: defaultdict[int, list[Digest]] = defaultdict(list)
        for digests in (own, *(group.digests for group in self._groups.values())):
            for service, digest in digests.items():
                fleet[service].append(digest)
        totals = {service: merge(parts) for service, parts in fleet.items()}
        for service, total in totals.items():
            self._on_totals(service, total)
        group_data = write_group_digest(number, self._incarnation, self._round, own)
        fleet_data = write_fleet_digest(number, self._incarnation, self._round, totals)
        others = [ip for key, group in self.plan.groups.items() if key != number for ip in group.relays]
        members = [ip for ip in self.plan.groups[number].members if ip != self._own_ip]
        return [
            *((ip, data) for ip in others for data in group_data),
            *((ip, data) for ip in members for data in fleet_data),
        ]

    def _forget(self, now: float, number: int) -> None:
        """Drops what is too old, and what came from nodes or groups that the plan has no longer."""
        members = frozenset(self.plan.groups[number].members)
        self._heartbeats = {
            ip: heartbeat
            for ip, heartbeat in self._heartbeats.items()
            if ip in members and now - heartbeat.heard < self.kept_s
        }
        self._groups = {
            key: group
            for key, group in self._groups.items()
            if key in self.plan.groups and key != number and now - group.heard < self.kept_s
        }

    def _own_digests(self) -> dict[int, Digest]:
        gateways: defaultdict[int, list[Heartbeat]] = defaultdict(list)
        batch: defaultdict[int, list[Heartbeat]] = defaultdict(list)
        for heartbeat in self._heartbeats.values():
            beats = gateways if heartbeat.kind == GATEWAY else batch
            for service, beat in heartbeat.beats.items():
                beats[service].append(beat)
        return {
            service: summarize(gateways.get(service, ()), batch.get(service, ()))
            for service in (*gateways, *(service for service in batch if service not in gateways))
        }

    def _is_newest(self, ip: str, magic: bytes, incarnation: int, sequence: int) -> bool:
        """Symptom: a datagram that was overtaken on its way tells of older sums than those held."""
        known = self._newest.get((ip, magic))
        if known is not None and known[0] == incarnation and sequence < known[1]:
            return False
        self._newest[ip, magic] = (incarnation, sequence)
        return True
