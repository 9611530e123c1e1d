"""SWIM: one instance's failure detector and its view of the fleet, as a state machine without I/O.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002): random probes in rounds, indirect probes, suspicion, incarnations, piggybacked
dissemination. Ours: probes are repeated within a period as the measured loss asks (`prober`), suspicion lasts
longer where it is high, the dead are called now and then, so that a partition heals, and a start id tells a
restart from a refutation.

All times are seconds on one monotonic clock that the caller gives as `now`. A clock that steps back changes
nothing, one that steps forward lets time-outs end early, and suspicion gives the others a period to refute.
"""

import math
import random

from pewterring.membership.errors import MembershipError
from pewterring.membership.instance import Identity, Instance
from pewterring.membership.messages import (
    MAX_NUMBER,
    Kind,
    MemberUpdate,
    Message,
    State,
    decode,
    encode,
)
from pewterring.membership.outgoing import Datagram, MessageBuilder
from pewterring.membership.prober import Prober
from pewterring.membership.settings import ProtocolSettings

DEFAULT_SETTINGS = ProtocolSettings()
LEAVE_FACTOR = 3  # times the indirect probes: members that hear of a departure at first hand


class MembershipProtocol:
    """One instance. `receive`, `tick` and `leave` return what is to be sent; the caller sends it.

    Members are numbered from 0 up to `size`, which the seed list gives; `start_id` is drawn anew each start.
    """

    def __init__(
        self,
        number: int,
        size: int,
        start_id: int,
        rng: random.Random,
        settings: ProtocolSettings = DEFAULT_SETTINGS,
    ) -> None:
        if not 0 <= number < size:
            raise MembershipError(f"member {number} of {size}")
        instance = Instance(Identity(number, start_id & MAX_NUMBER), settings)
        self.identity = instance.identity
        self.members = instance.members
        self.rng = rng
        self.settings = settings
        self.conflicts = 0  # times that another instance under this number was heard of
        self.left = False
        self._size = size
        self._loss = instance.loss
        self._builder = MessageBuilder(instance)
        others = [other for other in range(size) if other != number]
        self.prober = Prober(instance, others, self._builder, rng)
        self._next_period_at = -math.inf
        self._former_starts: dict[
            int, int
        ] = {}  # other starts under this number, and their latest incarnation

    def present(self) -> list[int]:
        """Numbers of those that count as there, the own among them; suspects do."""
        own = [] if self.left else [self.identity.number]
        return sorted([*self.members.present(), *own])

    def state(self, member: int) -> State | None:
        """None: nothing was ever heard of it."""
        if member == self.identity.number:
            return State.LEFT if self.left else State.ALIVE
        return self.members.state(member)

    def due(self) -> float:
        """When `tick` has something to do."""
        timeouts = [member.since + self._suspicion_s() for member in self.members.suspects()]
        return min([self._next_period_at, self.prober.due(), *timeouts])

    def _suspicion_s(self) -> float:
        """How long a suspect has to refute.

        The suspicion and its refutation each need some hops, more where these get lost: the time widens with
        the measured loss, up to four times.
        """
        settings = self.settings
        widened = 1 / self._loss.delivery
        return settings.suspicion_factor * self.members.scale * settings.period_s * widened

    def tick(self, now: float) -> list[Datagram]:
        """Does what is due: ends suspicions, repeats the probe, begins a period."""
        if self.left:
            return []
        self._end_suspicions(now)
        self.members.forget_dead(now, self.settings.dead_retention_s)
        self.prober.expire_relays(now)
        datagrams = self.prober.advance(now)
        if now >= self._next_period_at:
            self._suspect_unanswered(now)
            self._next_period_at = now + self.settings.period_s
            datagrams += self.prober.begin_period(now)
        return datagrams

    def _end_suspicions(self, now: float) -> None:
        for member in self.members.suspects():
            if now >= member.since + self._suspicion_s():  # as `due` computes it, to the last bit
                self.members.apply(now, member.update()._replace(state=State.DEAD))

    def _suspect_unanswered(self, now: float) -> None:
        unanswered = self.prober.unanswered()
        known = None if unanswered is None else self.members.by_number.get(unanswered)
        if known and known.state == State.ALIVE:
            self.members.apply(now, known.update()._replace(state=State.SUSPECT))

    def receive(self, now: float, sender: int, data: bytes) -> list[Datagram]:
        """A datagram from that member's address. What is not complete or of no member changes nothing."""
        message = decode(data)
        if message is None or self.left or not self._is_other(sender):
            return []
        for update in message.updates:
            self.apply(now, update)
        state = State.LEFT if message.kind == Kind.LEAVE else State.ALIVE
        self.members.apply(now, MemberUpdate(sender, message.incarnation, message.start_id, state))
        return self._answer(now, sender, message)

    def _is_other(self, member: int) -> bool:
        return 0 <= member < self._size and member != self.identity.number

    def _answer(self, now: float, sender: int, message: Message) -> list[Datagram]:
        if message.kind == Kind.PING:
            first = sender if self._is_doubted(sender, message.start_id) else None
            number = self.identity.number
            return [self._builder.build(Kind.ACK, message.sequence, number, sender, first)]
        if message.kind == Kind.PING_REQUEST and self._is_other(message.about):
            return [self.prober.relay(now, sender, message)]
        if message.kind == Kind.ACK:
            return self.prober.acknowledged(message)
        return []

    def _is_doubted(self, sender: int, start_id: int) -> bool:
        """Whether a sender counts as suspect or dead, or an earlier start of it is known.

        It hears of that before all else, so that it can refute it.
        """
        known = self.members.by_number[sender]
        return known.state != State.ALIVE or known.start_id != start_id

    def apply(self, now: float, update: MemberUpdate) -> None:
        """Takes what another instance knows of a member. What is said of this one is refuted."""
        if self._is_other(update.member):
            self.members.apply(now, update)
        elif update.member == self.identity.number and update.incarnation >= self.identity.incarnation:
            if update.start_id != self.identity.start_id:
                self._notice_other_start(update)
                self.refute(update.incarnation)
            elif update.state != State.ALIVE:
                self.refute(update.incarnation)

    def _notice_other_start(self, update: MemberUpdate) -> None:
        """Tells an earlier start of this instance from another instance under its number.

        An earlier start cannot speak anew: where its incarnation goes on rising, it is another's.
        """
        latest = self._former_starts.get(update.start_id)
        if latest is not None and update.state == State.ALIVE and update.incarnation > latest:
            self.conflicts += 1
        self._former_starts[update.start_id] = max(update.incarnation, latest or 0)

    def refute(self, incarnation: int) -> None:
        """Takes an incarnation above the one that something wrong was said of, and disseminates it."""
        self.identity.incarnation = min(MAX_NUMBER, incarnation + 1)
        self.members.queue.add(self.identity.number)

    def leave(self) -> list[Datagram]:
        """Announces the departure to some, who disseminate it. Nothing is sent or taken afterwards."""
        self.left = True
        identity = self.identity
        message = encode(Message(Kind.LEAVE, identity.incarnation, identity.start_id, 0, identity.number))
        present = self.members.present()
        targets = self.rng.sample(present, min(len(present), LEAVE_FACTOR * self.settings.indirect_probes))
        return [Datagram(target, message) for target in targets]
