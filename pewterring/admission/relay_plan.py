"""Plan of the heartbeat exchange: groups of processes within each zone, and the relays of each group.

The plan depends only on the table of nodes, so processes with the same table agree without communication.
"""

import math
import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

MAX_MEMBERS = 128  # per group: bounds the datagrams that one relay receives and sends
RELAYS = 2  # per group, addressed alternately: if one is lost, half of the datagrams still arrive


class HeartbeatSender(NamedTuple):
    """A process that sends attempts to workers and therefore takes part in the exchange."""

    ip: str
    zone: str
    may_relay: bool


@dataclass(frozen=True, slots=True)
class Group:
    """The IPs of a group's members, and of its relays in order of preference."""

    members: tuple[str, ...]
    relays: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayPlan:
    """All groups by number, and the group number of each process by its IP."""

    groups: Mapping[int, Group]
    group_of: Mapping[str, int]


def make_plan(senders: Iterable[HeartbeatSender]) -> RelayPlan:
    """Divides each zone into the fewest groups that have about `MAX_MEMBERS` members at most."""
    zones: defaultdict[str, list[HeartbeatSender]] = defaultdict(list)
    for sender in senders:
        zones[sender.zone].append(sender)
    groups: dict[int, Group] = {}
    group_of: dict[str, int] = {}
    for zone, zone_senders in zones.items():
        group_count = math.ceil(len(zone_senders) / MAX_MEMBERS)
        by_index: defaultdict[int, list[HeartbeatSender]] = defaultdict(list)
        for sender in zone_senders:
            by_index[_weight("part", sender.ip) % group_count].append(sender)
        for index, members in by_index.items():
            number = _weight(zone, f"{index}/{group_count}")
            groups[number] = Group(tuple(member.ip for member in members), _relays(number, members))
            group_of.update((member.ip, number) for member in members)
    return RelayPlan(groups, group_of)


def _relays(number: int, members: list[HeartbeatSender]) -> tuple[str, ...]:
    """Selects relays by rendezvous hashing, so that a node that joins or leaves seldom changes them.

    If no member may relay, all members are candidates.
    """
    candidates = [member.ip for member in members if member.may_relay] or [member.ip for member in members]
    return tuple(sorted(candidates, key=lambda ip: _weight(str(number), ip))[:RELAYS])


def _weight(key: str, value: str) -> int:
    return zlib.crc32(f"{key} {value}".encode())
