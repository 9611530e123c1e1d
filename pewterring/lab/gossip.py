"""Many instances of the membership protocol in simulated time, and two others to compare it with.

The way between them loses a share of the datagrams, delays the rest, cuts groups off, and each takes in no
more than a stated number a second. One seed, one run.
"""

import math
import random
from collections import deque
from typing import Protocol

from pewterring.lab.engine import START, Engine
from pewterring.lab.stores import Store
from pewterring.lab.streams import Stream
from pewterring.membership.messages import State
from pewterring.membership.outgoing import Datagram
from pewterring.membership.protocol import MembershipProtocol
from pewterring.membership.settings import ProtocolSettings


class Detector(Protocol):
    """What a protocol of membership looks like from outside."""

    def due(self) -> float: ...

    def tick(self, now: float) -> list[Datagram]: ...

    def receive(self, now: float, sender: int, data: bytes) -> list[Datagram]: ...

    def present(self) -> list[int]: ...


class Heartbeats:
    """Each tells every other that it is there, as often as the intake carries, and drops who is silent for
    too long: after `patience` periods, or by phi-accrual, after a silence whose chance under the intervals
    seen is 10^-8."""

    PATIENCE, WINDOW = 6.0, 32

    def __init__(self, me: int, size: int, intake: float, rng: random.Random, accrual: bool = False) -> None:
        self.me, self.size, self.accrual = me, size, accrual
        self.period = max(0.5, (size - 1) / max(1e-9, 0.8 * intake))
        self.next_at = START + rng.random() * self.period
        self.heard: dict[int, float] = {}
        self.gaps: dict[int, deque[float]] = {}
        self.looked = START

    def due(self) -> float:
        return self.next_at

    def tick(self, now: float) -> list[Datagram]:
        self.looked = now
        if now < self.next_at:
            return []
        self.next_at = now + self.period
        return [Datagram(n, b"H") for n in range(self.size) if n != self.me]

    def receive(self, now: float, sender: int, data: bytes) -> list[Datagram]:
        if sender in self.heard:
            self.gaps.setdefault(sender, deque(maxlen=self.WINDOW)).append(now - self.heard[sender])
        self.heard[sender] = self.looked = now
        return []

    def present(self) -> list[int]:
        return sorted([self.me, *(n for n, at in self.heard.items() if self.looked - at < self.longest(n))])

    def longest(self, member: int) -> float:
        gaps = self.gaps.get(member)
        if not self.accrual or not gaps or len(gaps) < 4:
            return self.PATIENCE * self.period
        mean = sum(gaps) / len(gaps)
        spread = math.sqrt(sum((g - mean) ** 2 for g in gaps) / len(gaps))
        return mean + 5.6 * max(spread, self.period / 4)  # a normal tail of 10^-8


class Fleet:
    """`size` instances, started within a second. Counts what is sent, and what each held wrongly."""

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float = 0.0,
        delay: tuple[float, float] = (0.004, 0.02),
        intake: float = 100.0,
        kind: str = "swim",
        settings: ProtocolSettings | None = None,
    ) -> None:
        self.size, self.seed, self.loss, self.delay, self.intake = size, seed, loss, delay, intake
        self.kind, self.settings = kind, settings or ProtocolSettings()
        self.engine = Engine()
        self.streams = [Stream(seed, "instance", n) for n in range(size)]
        self.nodes: list[Detector | None] = [None] * size
        self.lives = [0] * size
        self.planned = [0] * size
        self.side = [0] * size  # instances hear only those of their side
        self.intakes = [Store(intake, intake, START) for _ in range(size)]
        self.sent = self.octets = self.dropped = 0
        for n in range(size):
            self.engine.after(self.streams[n].uniform(), self.start, n)

    def start(self, n: int) -> None:
        """From nothing: a first start, or one after a kill."""
        self.lives[n] += 1
        rng = random.Random(self.streams[n].seed64())
        if self.kind == "swim":
            node: Detector = MembershipProtocol(n, self.size, rng.getrandbits(32), rng, self.settings)
        else:
            node = Heartbeats(n, self.size, self.intake, rng, self.kind == "phi")
        self.nodes[n] = node
        self.turn(n, node, node.tick(self.engine.now))

    def kill(self, n: int) -> None:
        self.nodes[n] = None
        self.lives[n] += 1

    def turn(self, n: int, node: Detector, out: list[Datagram]) -> None:
        for to, data in out:
            self.send(n, to, data)
        self.planned[n] += 1
        self.engine.at(node.due(), self.tick, n, self.lives[n], self.planned[n])

    def tick(self, n: int, life: int, planned: int) -> None:
        node = self.nodes[n]
        if node is not None and life == self.lives[n] and planned == self.planned[n]:
            self.turn(n, node, node.tick(self.engine.now))

    def send(self, a: int, b: int, data: bytes) -> None:
        self.sent += 1
        self.octets += len(data)
        stream = self.streams[a]
        if self.loss and stream.uniform() < self.loss:
            return
        self.engine.after(stream.uniform(*self.delay), self.arrive, a, b, data)

    def arrive(self, a: int, b: int, data: bytes) -> None:
        node, now = self.nodes[b], self.engine.now
        if node is None or self.side[a] != self.side[b]:
            return
        if not self.intakes[b].take(now, 1.0):
            self.dropped += 1
            return
        self.turn(b, node, node.receive(now, a, data))

    def run(self, seconds: float) -> None:
        self.engine.run(self.engine.now + seconds)

    def views(self) -> list[set[int]]:
        """Whom each running instance holds to be there."""
        now = self.engine.now
        for node in self.nodes:
            if isinstance(node, Heartbeats):
                node.looked = now
        return [set(node.present()) for node in self.nodes if node is not None]

    def wrong(self) -> tuple[int, int]:
        """Pairs in which a running one is missed, and in which one that is gone is still held."""
        running = {n for n, node in enumerate(self.nodes) if node is not None}
        views = self.views()
        return sum(len(running - v) for v in views), sum(len(v - running) for v in views)

    def declared(self, since: float) -> int:
        """Times since then that a running instance was declared dead by another (swim alone)."""
        return sum(
            change.at >= since
            and change.update.state == State.DEAD
            and self.nodes[change.update.member] is not None
            for node in self.nodes
            if isinstance(node, MembershipProtocol)
            for change in node.members.changes
        )
