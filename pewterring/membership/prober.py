"""Probes one member per period, indirectly if it does not answer, and relays probes for other members.

SWIM, sections 3.1 (probes, indirect probes) and 4.3 (round-robin over a shuffled list). Extensions: a ping is
repeated within the first half of its period, more often at a higher measured loss, and members that are dead
or unknown are pinged occasionally, so that the fleet reunites after a network partition.
"""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from pewterring.membership.instance import Instance
from pewterring.membership.messages import Kind, Message, State
from pewterring.membership.outgoing import Datagram, MessageBuilder

DIRECT_FRACTION = 0.5  # fraction of a period for direct pings; the rest is for indirect ones
# Pings to each missing member per period, from all members of the fleet together: enough to reunite soon
# after a network partition, few enough that dead members cost little.
MISSING_PINGS_PER_PERIOD = 2


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    member: int
    sequence: int
    next_at: float  # time of its next datagrams
    sent: int = 0  # number of direct pings sent
    indirect: bool = False  # whether other members were requested to ping this one


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping on behalf of another member, kept until its ack is forwarded."""

    requester: int
    sequence: int  # of the requester's own probe
    expires_at: float


class Prober:
    """The current probe, the order of the next ones, and the relays. Acks are matched by sequence number.

    `candidates` are the numbers of all other members of the seed list.
    """

    def __init__(
        self,
        instance: Instance,
        candidates: Sequence[int],
        builder: MessageBuilder,
        rng: random.Random,
    ) -> None:
        self._members = instance.members
        self._loss = instance.loss
        self._settings = instance.settings
        self._candidates = candidates
        self._builder = builder
        self._rng = rng
        self.probe: Probe | None = None
        self._sequence = 0
        self._upcoming: list[int] = []
        self._relays: dict[int, Relay] = {}  # by the sequence of the ping that was sent for the requester

    def due(self) -> float:
        """The time at which the probe must send its next datagrams; infinite without a probe."""
        return self.probe.next_at if self.probe else math.inf

    def begin_period(self, now: float) -> Iterator[Datagram]:
        """Starts the probe of a new period and occasionally pings a missing member."""
        self.probe = None
        present = self._members.present()
        missing = self._missing()
        if missing and self._pings_missing(len(missing), len(present)):
            target = self._rng.choice(missing)
            yield self._builder.build(Kind.PING, 0, 0, target)
        if present:
            self._sequence += 1
            self.probe = Probe(self._next_member(present), self._sequence, next_at=now)
            yield from self.advance(now)

    def _missing(self) -> list[int]:
        """Members known as suspect, dead or left, then those about which nothing is known."""
        known = self._members.by_number
        not_alive = [
            number for number in self._candidates if self._members.state(number) not in (None, State.ALIVE)
        ]
        return not_alive + [number for number in self._candidates if number not in known]

    def _pings_missing(self, missing: int, present: int) -> bool:
        return not present or self._rng.random() < MISSING_PINGS_PER_PERIOD * missing / (present + 1)

    def _next_member(self, present: list[int]) -> int:
        """The next member of a shuffled list: each is probed once before any is probed again."""
        while True:
            if not self._upcoming:
                self._upcoming = present[:]
                self._rng.shuffle(self._upcoming)
            number = self._upcoming.pop()
            state = self._members.state(number)
            if state is not None and state <= State.SUSPECT:
                return number

    def advance(self, now: float) -> list[Datagram]:
        """Returns the datagrams of the probe that are due: pings first, then requests for indirect pings."""
        probe = self.probe
        if probe is None or now < probe.next_at:
            return []
        probes = self._loss.probes_per_period(self._settings)
        if probe.sent < probes:
            probe.sent += 1
            probe.next_at = now + self._settings.period_s * DIRECT_FRACTION / probes
            return [self._ping(probe)]
        if probe.indirect:
            return []
        probe.indirect, probe.next_at = True, math.inf
        return self._ping_requests(probe)

    def _ping(self, probe: Probe) -> Datagram:
        """A ping; to a suspect it carries the suspicion, so that the member can refute it."""
        suspect = self._members.state(probe.member) not in (None, State.ALIVE)
        first = probe.member if suspect else None
        return self._builder.build(Kind.PING, probe.sequence, probe.member, probe.member, first)

    def _ping_requests(self, probe: Probe) -> list[Datagram]:
        others = [number for number in self._members.alive() if number != probe.member]
        chosen = self._rng.sample(others, min(self._settings.indirect_probes, len(others)))
        return [
            self._builder.build(Kind.PING_REQUEST, probe.sequence, probe.member, target) for target in chosen
        ]

    def unanswered(self) -> int | None:
        """Ends the period's probe and returns the member that did not answer it, if any."""
        probe, self.probe = self.probe, None
        return probe.member if probe else None

    def relay(self, now: float, requester: int, request: Message) -> Datagram:
        """Builds a ping on behalf of another member, and remembers to forward its ack."""
        self._sequence += 1
        expires_at = now + self._settings.period_s
        self._relays[self._sequence] = Relay(requester, request.sequence, expires_at)
        return self._builder.build(Kind.PING, self._sequence, request.about, request.about, request.about)

    def expire_relays(self, now: float) -> None:
        """Drops relays whose requester no longer waits for the ack."""
        self._relays = {sequence: relay for sequence, relay in self._relays.items() if now < relay.expires_at}

    def acknowledged(self, ack: Message) -> list[Datagram]:
        """Forwards an ack to the member that requested the ping, or completes this instance's own probe."""
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            return [self._builder.build(Kind.ACK, relay.sequence, ack.about, relay.requester)]
        probe = self.probe
        if probe and probe.sequence == ack.sequence and ack.about == probe.member:
            # One of the pings sent so far was answered, directly or through another member.
            self._loss.record(1.0 if probe.indirect else (probe.sent - 1) / probe.sent)
            self.probe = None
        return []
