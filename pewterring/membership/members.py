"""SWIM: each instance probes one other a period, through others where it says nothing; what it learns rides
along.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002): random probes in rounds, indirect probes, suspicion, incarnations, piggybacked
dissemination. Ours: probes are repeated within a period as the measured loss asks, suspicion lasts longer
where it is high, the dead are asked now and then, so that a cut heals, and a life number tells a restart
from a refutation.

All times are seconds on one monotonic clock that the caller gives as `now`. A clock that steps back changes
nothing, one that steps forward lets what waited run out early, and suspicion gives the others a period to
refute.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from pewterring.membership.messages import ROOM, Kind, Message, Rumour, State, read, write

Out = tuple[int, bytes]  # to whom, what


@dataclass(frozen=True, slots=True)
class Setup:
    """The figures of the protocol."""

    period_s: float = 0.5  # each instance probes one other in this
    helpers: int = 3  # asked to probe one that says nothing
    suspicion: float = 3.0  # periods, times log2 of the fleet's size, that a suspect has to refute
    retransmit: float = 3.0  # times log2 of the fleet's size that a rumour is told by each who knows it
    forget_s: float = 120.0  # the dead are remembered for this, so that old rumours don't raise them
    doubt: float = 0.01  # the chance that a live one's period goes without an answer; more probes hold it
    tries: int = 4  # probes in one period at most

    def __post_init__(self) -> None:
        for name in ("period_s", "suspicion", "retransmit", "forget_s"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")


class Change(NamedTuple):
    """What an instance has come to hold of another."""

    at: float
    member: int
    state: State
    incarnation: int
    life: int


@dataclass(slots=True)
class Member:
    number: int
    incarnation: int = 0
    life: int = 0
    state: State = State.ALIVE
    since: float = 0.0


@dataclass(slots=True)
class Probe:
    member: int
    sequence: int
    sent: int
    next_at: float
    ends_at: float
    helped: bool = False


class Members:
    """One instance's view. `hear`, `tick` and `leave` return what is to be sent; `changes` grows with what
    it learns."""

    MEMORY = 0.1  # weight of one probe in the measured loss

    def __init__(self, me: int, size: int, life: int, rng: random.Random, setup: Setup = Setup()) -> None:
        """`size`: members are numbered from 0 up to it; the seed list is all of them. `life`: drawn anew
        each start."""
        if not 0 <= me < size:
            raise ValueError(f"member {me} of {size}")
        self.me, self.size, self.life, self.rng, self.setup = me, size, life & 0xFFFFFFFF, rng, setup
        self.incarnation, self.sequence = 0, 0
        self.members: dict[int, Member] = {}  # others of whom anything was heard
        self.round: list[int] = []
        self.probe: Probe | None = None
        self.next_at = -math.inf
        self.told: dict[int, int] = {}  # rumours that are still told, by member: how often they were
        self.relayed: dict[int, tuple[int, int, float]] = {}  # own sequence: whom for, its sequence, until
        self.loss = 0.0  # of round trips, measured
        self.changes: list[Change] = []
        self.conflicts = 0  # times that another under this name was heard of
        self.former: dict[int, int] = {}  # other lives under this name, and their latest incarnation
        self.left = False

    # What it holds

    def alive(self) -> list[int]:
        """Those that are held to be there, the own number among them; suspects are."""
        return sorted([*self.there(), *([] if self.left else [self.me])])

    def there(self) -> list[int]:
        """The others that are held to be there."""
        return [m.number for m in self.members.values() if m.state <= State.SUSPECT]

    def state(self, member: int) -> State | None:
        """None: nothing was ever heard of it."""
        if member == self.me:
            return State.LEFT if self.left else State.ALIVE
        known = self.members.get(member)
        return known.state if known else None

    @property
    def scale(self) -> float:
        return max(1.0, math.log2(len(self.members) + 2))

    def tries(self) -> int:
        """Probes in one period, so that a live member goes without an answer at most as often as `doubt`."""
        if self.loss < 0.01:
            return 1
        return max(
            1, min(self.setup.tries, math.ceil(math.log(self.setup.doubt) / math.log(min(0.95, self.loss))))
        )

    def suspicion_s(self) -> float:
        """How long a suspect has: news of the suspicion and its refutation each need some hops, more where
        these get lost. It widens with what is measured, up to four times."""
        return (
            self.setup.suspicion * self.scale * self.setup.period_s * min(4.0, 1 / max(0.25, 1 - self.loss))
        )

    # What happens

    def due(self) -> float:
        """When `tick` has something to do."""
        waits = [self.next_at]
        if self.probe:
            waits.append(self.probe.next_at)
        waits += [m.since + self.suspicion_s() for m in self.members.values() if m.state == State.SUSPECT]
        return min(waits)

    def tick(self, now: float) -> list[Out]:
        if self.left:
            return []
        out: list[Out] = []
        for m in [m for m in self.members.values() if m.state == State.SUSPECT]:
            if now >= m.since + self.suspicion_s():  # as `due` reckons it, to the last bit
                self.hold(now, m.number, m.incarnation, m.life, State.DEAD)
        for m in [m for m in self.members.values() if m.state >= State.DEAD]:
            if now - m.since > self.setup.forget_s:
                del self.members[m.number]
                self.told.pop(m.number, None)
        self.relayed = {k: r for k, r in self.relayed.items() if now < r[2]}
        if self.probe:
            out += self.press(now, self.probe)
        if now >= self.next_at:
            if self.probe:
                self.missed(now, self.probe)
            self.next_at = now + self.setup.period_s
            out += self.begin(now)
        return out

    def begin(self, now: float) -> Iterator[Out]:
        """The period's probe; and where somebody is dead or was never heard of, now and then a call to one
        such."""
        self.probe = None
        silent = [
            n for n in range(self.size) if n != self.me and (self.state(n) or State.ALIVE) != State.ALIVE
        ]
        silent += [n for n in range(self.size) if n != self.me and n not in self.members]
        there = self.there()
        # Over the fleet each of the silent is called about twice a period: a cut heals soon, the dead cost
        # little.
        if silent and (not there or self.rng.random() < 2 * len(silent) / (len(there) + 1)):
            yield self.rng.choice(silent), self.message(Kind.PING, 0, 0)
        if not there:
            return
        while not self.probe:
            if not self.round:
                self.round = there[:]
                self.rng.shuffle(self.round)
            member = self.round.pop()
            known = self.members.get(member)
            if known and known.state <= State.SUSPECT:
                self.sequence += 1
                ends = now + self.setup.period_s
                self.probe = Probe(member, self.sequence, 0, now, ends)
        yield from self.press(now, self.probe)

    def press(self, now: float, probe: Probe) -> list[Out]:
        """Sends what of a probe is due: the first, its repeats, then the helpers'."""
        out: list[Out] = []
        if now < probe.next_at:
            return out
        tries, part = self.tries(), self.setup.period_s * 0.5
        if probe.sent < tries:
            probe.sent += 1
            probe.next_at = now + part / tries
            known = self.members.get(probe.member)
            first = probe.member if known and known.state != State.ALIVE else -1
            out.append((probe.member, self.message(Kind.PING, probe.sequence, probe.member, first)))
        elif not probe.helped:
            probe.helped, probe.next_at = True, math.inf
            others = [
                m.number for m in self.members.values() if m.state == State.ALIVE and m.number != probe.member
            ]
            for helper in self.rng.sample(others, min(self.setup.helpers, len(others))):
                out.append((helper, self.message(Kind.ASK, probe.sequence, probe.member)))
        return out

    def missed(self, now: float, probe: Probe) -> None:
        self.probe = None
        known = self.members.get(probe.member)
        if known and known.state == State.ALIVE:
            self.hold(now, known.number, known.incarnation, known.life, State.SUSPECT)

    def hear(self, now: float, sender: int, data: bytes) -> list[Out]:
        """A datagram from that member's address. What is not whole or of no member changes nothing."""
        message = read(data)
        if message is None or self.left or not 0 <= sender < self.size or sender == self.me:
            return []
        for rumour in message.rumours:
            self.rumour(now, rumour)
        if message.kind == Kind.LEAVE:
            self.hold(now, sender, message.incarnation, message.life, State.LEFT)
            return []
        self.hold(now, sender, message.incarnation, message.life, State.ALIVE)
        # One that is held to be dead or suspect, or whose former life is still held, hears of that first of
        # all.
        known = self.members[sender]
        doubted = sender if known.state != State.ALIVE or known.life != message.life else -1
        if message.kind == Kind.PING:
            return [(sender, self.message(Kind.ACK, message.sequence, self.me, doubted))]
        if message.kind == Kind.ASK and 0 <= message.about < self.size and message.about != self.me:
            self.sequence += 1
            self.relayed[self.sequence] = (sender, message.sequence, now + self.setup.period_s)
            return [(message.about, self.message(Kind.PING, self.sequence, message.about, message.about))]
        if message.kind == Kind.ACK:
            return self.acknowledged(now, message)
        return []

    def acknowledged(self, now: float, message: Message) -> list[Out]:
        if (relay := self.relayed.pop(message.sequence, None)) is not None:
            asker, sequence, _ = relay
            return [(asker, self.message(Kind.ACK, sequence, message.about))]
        probe = self.probe
        if probe and probe.sequence == message.sequence and message.about == probe.member:
            # Of the pings sent so far one was answered, directly or by a helper.
            lost = (probe.sent - 1) / probe.sent if not probe.helped else 1.0
            self.loss += (lost - self.loss) * self.MEMORY
            self.probe = None
        return []

    def rumour(self, now: float, r: Rumour) -> None:
        if not 0 <= r.member < self.size:
            return
        if r.member != self.me:
            return self.hold(now, r.member, r.incarnation, r.life, r.state)
        if r.life != self.life and r.incarnation >= self.incarnation:
            # A former life of this place, or another instance under its name: this one is the later. A
            # former life can't speak anew: where its incarnation goes on rising, it is another's.
            self.conflicts += r.state == State.ALIVE and r.incarnation > self.former.get(r.life, 0xFFFFFFFF)
            self.former[r.life] = max(r.incarnation, self.former.get(r.life, 0))
            self.refute(r.incarnation)
        elif r.state != State.ALIVE and r.incarnation >= self.incarnation:
            self.refute(r.incarnation)

    def refute(self, incarnation: int) -> None:
        self.incarnation = min(0xFFFFFFFF, incarnation + 1)
        self.told[self.me] = 0

    def hold(self, now: float, number: int, incarnation: int, life: int, state: State) -> None:
        """Takes what is said of another, if it is newer than what is held."""
        known = self.members.get(number)
        if known is None:
            known = self.members[number] = Member(number, incarnation, life, state, now)
            self.told[number] = 0
            self.changes.append(Change(now, number, state, incarnation, life))
            return
        if (incarnation, state) <= (known.incarnation, known.state):
            return
        changed = state != known.state or life != known.life
        known.incarnation, known.life = incarnation, life
        if state != known.state or state == State.SUSPECT:
            known.since = now
        known.state = state
        self.told[number] = 0
        if changed:
            self.changes.append(Change(now, number, state, incarnation, life))

    def leave(self, now: float) -> list[Out]:
        """Says good-bye to some, who tell the rest."""
        there = self.there()
        message = write(Message(Kind.LEAVE, self.incarnation, self.life, 0, self.me))
        self.left = True
        return [(n, message) for n in self.rng.sample(there, min(len(there), 3 * self.setup.helpers))]

    def message(self, kind: Kind, sequence: int, about: int, first: int = -1) -> bytes:
        """With the rumours that were told least; of `first` it is told in any case."""
        most = math.ceil(self.setup.retransmit * self.scale / max(0.25, 1 - self.loss))
        rumours = []
        if first >= 0 and (known := self.members.get(first)) is not None:
            rumours.append(Rumour(known.number, known.incarnation, known.life, known.state))
        for number in sorted(self.told, key=lambda n: (self.told[n], n))[:ROOM]:
            self.told[number] += 1
            if number == self.me:
                rumours.append(Rumour(self.me, self.incarnation, self.life, State.ALIVE))
            elif (known := self.members.get(number)) is not None and number != first:
                rumours.append(Rumour(number, known.incarnation, known.life, known.state))
            if self.told[number] >= most:
                del self.told[number]
        return write(Message(kind, self.incarnation, self.life, sequence, about, tuple(rumours)))
