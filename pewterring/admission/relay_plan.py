"""Which processes gather admission heartbeats for the others: groups within zones, and relays of each group.

All processes that hold the same table of nodes come to the same plan without a word.
"""

import math
import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

MAX_MEMBERS = 128  # of a group: bounds what one relay takes in and sends out
RELAYS = 2  # of a group, each addressed in turn: the loss of one leaves half of the datagrams


class Speaker(NamedTuple):
    """One process that sends attempts to workers."""

    ip: str
    zone: str
    may_relay: bool


@dataclass(frozen=True, slots=True)
class Group:
    """The members of a group and its relays, best first."""

    members: tuple[str, ...]
    relays: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayPlan:
    """All groups by number, and the number of each process's group."""

    groups: Mapping[int, Group]
    group_of: Mapping[str, int]


def make_plan(speakers: Iterable[Speaker]) -> RelayPlan:
    """Divides each zone into as few groups as `MAX_MEMBERS` allows."""
    zones: defaultdict[str, list[Speaker]] = defaultdict(list)
    for speaker in speakers:
        zones[speaker.zone].append(speaker)
    groups: dict[int, Group] = {}
    group_of: dict[str, int] = {}
    for zone, inhabitants in zones.items():
        parts = math.ceil(len(inhabitants) / MAX_MEMBERS)
        divided: defaultdict[int, list[Speaker]] = defaultdict(list)
        for speaker in inhabitants:
            divided[_weight("part", speaker.ip) % parts].append(speaker)
        for part, members in divided.items():
            number = _weight(zone, f"{part}/{parts}")
            groups[number] = Group(tuple(member.ip for member in members), _relays(number, members))
            group_of.update((member.ip, number) for member in members)
    return RelayPlan(groups, group_of)


def _relays(number: int, members: list[Speaker]) -> tuple[str, ...]:
    """The relays of a group, by rendezvous hashing, so that a node that comes or goes seldom changes them.

    A group in which nobody may relay is relayed by its members all the same.
    """
    able = [member.ip for member in members if member.may_relay] or [member.ip for member in members]
    return tuple(sorted(able, key=lambda ip: _weight(str(number), ip))[:RELAYS])


def _weight(key: str, value: str) -> int:
    return zlib.crc32(f"{key} {value}".encode())
