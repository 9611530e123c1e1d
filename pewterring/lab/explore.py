"""A small explorer: all interleavings of a few instances of the membership protocol, to a stated depth.

Breadth first over what may happen next: a datagram in flight arrives, is lost, or arrives and stays (a
duplicate); an instance's timer comes due; an instance is cut off for long, crashes, or starts again having
forgotten all. States that look alike are visited once. From each state the fair continuation is played,
nothing lost any more, and has to end in agreement: every running instance holds exactly the running ones to
be there. So no live one stays dead, and no dead one alive.
"""

import copy
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pewterring.membership.outgoing import Datagram
from pewterring.membership.prober import Probe
from pewterring.membership.protocol import MembershipProtocol
from pewterring.membership.settings import ProtocolSettings

FAIR_PERIODS = 80  # of the continuation; suspicion and a few rounds of calls to the dead take some twenty
CUT_PERIODS = 30  # of an instance that hears nobody: it holds all others for dead then
MOST_FLIGHT = 6  # datagrams in flight in one state: more are taken for lost


@dataclass
class Node:
    """One state of all instances and what is between them."""

    now: float
    members: list[MembershipProtocol | None]
    lives: list[int]
    flight: list[tuple[int, int, bytes]] = field(default_factory=list)
    crashes: int = 0
    path: tuple[str, ...] = ()

    def key(self) -> tuple[object, ...]:
        """What tells states apart; counters and exact times don't."""
        views = tuple(
            m and (
                m.identity.incarnation, m.identity.start_id, _probe_key(m.prober.probe),
                tuple(sorted(other.update() for other in m.members.by_number.values())),
                tuple(m.members.queue.members()),
            )
            for m in self.members
        )  # fmt: skip
        return views, tuple(sorted(self.flight)), self.crashes

    def send(self, sender: int, out: list[Datagram]) -> None:
        for to, data in out:
            if len(self.flight) < MOST_FLIGHT:
                self.flight.append((sender, to, data))


def _probe_key(probe: Probe | None) -> tuple[int, int, bool] | None:
    return (probe.member, probe.sent, probe.indirect) if probe else None


class Found(Exception):
    """A state from which the fair continuation does not end in agreement; the text has the way there."""


Make = Callable[[int, int, int], MembershipProtocol]


def fresh(number: int, size: int, start_id: int) -> MembershipProtocol:
    settings = ProtocolSettings(period_s=1.0)
    return MembershipProtocol(number, size, start_id, random.Random(number), settings)


def steps(state: Node, make: Make, most_crashes: int) -> Iterator[tuple[str, Node]]:
    """Each thing that may happen next, as the state after it."""
    for n, (sender, to, data) in enumerate(state.flight):
        for what in ("arrives", "is lost", "arrives twice"):
            after = copy.deepcopy(state)
            if what != "arrives twice":
                after.flight.pop(n)
            node = after.members[to]
            if what != "is lost" and node is not None:
                after.send(to, node.receive(after.now, sender, data))
            yield f"{sender}->{to} {what}", after
    for n, member in enumerate(state.members):
        after = copy.deepcopy(state)
        node = after.members[n]
        if member is None or node is None:
            after.lives[n] += 1
            again = after.members[n] = make(n, len(state.members), 100 * after.lives[n] + n)
            after.send(n, again.tick(after.now))
            yield f"{n} starts again", after
            continue
        after.now = max(after.now, node.due())
        after.send(n, node.tick(after.now))
        yield f"{n} ticks", after
        alone = copy.deepcopy(state)
        cut = alone.members[n]
        assert cut is not None
        end = alone.now + CUT_PERIODS
        while cut.due() < end:  # nothing of what it says arrives
            alone.now = max(alone.now, cut.due())
            cut.tick(alone.now)
        alone.flight = [f for f in alone.flight if n not in f[:2]]
        yield f"{n} is cut off for long", alone
        if state.crashes < most_crashes:
            down = copy.deepcopy(state)
            down.members[n], down.crashes = None, state.crashes + 1
            yield f"{n} crashes", down


def settles(state: Node) -> bool:
    """Plays on with nothing lost; whether all running ones then hold exactly the running ones to be there."""
    after = copy.deepcopy(state)
    end = after.now + FAIR_PERIODS
    running = {n for n, m in enumerate(after.members) if m is not None}

    def agree() -> bool:
        return all(m is None or set(m.present()) == running for m in after.members)

    while after.now < end:
        while after.flight:
            sender, to, data = after.flight.pop(0)
            node = after.members[to]
            if node is not None:
                after.send(to, node.receive(after.now, sender, data))
        if after.now > end - 1 and agree():
            return True
        due = [(m.due(), n) for n, m in enumerate(after.members) if m is not None]
        when, n = min(due)
        after.now = max(after.now, when)
        node = after.members[n]
        assert node is not None
        after.send(n, node.tick(after.now))
    return agree()


def explore(size: int = 3, depth: int = 4, crashes: int = 1, make: Make = fresh) -> tuple[int, int]:
    """How many states were visited and how many steps were tried. Raises Found."""
    first = Node(0.0, [make(n, size, n + 1) for n in range(size)], [0] * size)
    for n, member in enumerate(first.members):
        assert member is not None
        first.send(n, member.tick(0.0))
    seen, layer, tried = {first.key()}, [first], 0
    for _ in range(depth):
        ahead: list[Node] = []
        for state in layer:
            for what, after in steps(state, make, crashes):
                tried += 1
                after.path = (*state.path, what)
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                if not settles(after):
                    raise Found("; ".join(after.path))
                ahead.append(after)
        layer = ahead
    return len(seen), tried
