"""SWIM: one instance's failure detector and its view of the fleet, as a state machine without I/O.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002): random probes in rounds, indirect probes, suspicion, incarnations, piggybacked
dissemination. Extensions: more probes per period and a longer suspicion timeout at a higher measured loss
(`prober`, `loss`); dead members are pinged occasionally, so that the fleet reunites after a network
partition; a start id distinguishes a restart from a refutation.

All times are seconds of one monotonic clock, which the caller passes as `now`. If the clock steps back,
nothing changes. If it steps forward, timeouts end early; a member that is suspected for that reason still has
time to refute.
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
LEAVE_FACTOR = 3  # a departure is announced to this many times `indirect_probes` members


class MembershipProtocol:
    """One instance. `receive`, `tick` and `leave` return datagrams, which the caller must send.

    Members are numbered from 0 to `size` - 1 in the order of the seed list; `start_id` must be random and new
    at each start. Raises `MembershipError` if `number` is out of range.
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
        self.conflicts = 0  # number of updates that showed another live instance with this number
        self.left = False
        self._size = size
        self._loss = instance.loss
        self._builder = MessageBuilder(instance)
        others = [other for other in range(size) if other != number]
        self.prober = Prober(instance, others, self._builder, rng)
        self._next_period_at = -math.inf
        self._other_starts: dict[
            int, int
        ] = {}  # latest known incarnation of other start ids with this number

    def present(self) -> list[int]:
        """Numbers of the members that are alive or suspect, including this instance unless it has left."""
        own = [] if self.left else [self.identity.number]
        return sorted([*self.members.present(), *own])

    def state(self, member: int) -> State | None:
        """The state of a member, or None if nothing is known about it."""
        if member == self.identity.number:
            return State.LEFT if self.left else State.ALIVE
        return self.members.state(member)

    def due(self) -> float:
        """The time at which `tick` must be called next."""
        timeouts = [member.since + self._suspicion_s() for member in self.members.suspects()]
        return min([self._next_period_at, self.prober.due(), *timeouts])

    def _suspicion_s(self) -> float:
        """The time in seconds within which a suspect must refute the suspicion.

        The suspicion and its refutation each take several hops, and more if datagrams are lost, so the time
        grows with the measured loss, up to four times.
        """
        settings = self.settings
        widened = 1 / self._loss.delivery
        return settings.suspicion_factor * self.members.scale * settings.period_s * widened

    def tick(self, now: float) -> list[Datagram]:
        """Does the work that is due: ends expired suspicions, continues the probe, begins a new period."""
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
            if now >= member.since + self._suspicion_s():  # same expression as in `due`: rounds equally
                self.members.apply(now, member.update()._replace(state=State.DEAD))

    def _suspect_unanswered(self, now: float) -> None:
        unanswered = self.prober.unanswered()
        known = None if unanswered is None else self.members.by_number.get(unanswered)
        if known and known.state == State.ALIVE:
            self.members.apply(now, known.update()._replace(state=State.SUSPECT))

    def receive(self, now: float, sender: int, data: bytes) -> list[Datagram]:
        """Handles a datagram from the address of member `sender`; returns the answers.

        Invalid datagrams and those from no other member are ignored.
        """
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
            first = sender if self._has_to_refute(sender, message.start_id) else None
            number = self.identity.number
            return [self._builder.build(Kind.ACK, message.sequence, number, sender, first)]
        if message.kind == Kind.PING_REQUEST and self._is_other(message.about):
            return [self.prober.relay(now, sender, message)]
        if message.kind == Kind.ACK:
            return self.prober.acknowledged(message)
        return []

    def _has_to_refute(self, sender: int, start_id: int) -> bool:
        """Whether a sender is known as suspect, dead or left, or with the start id of an earlier start.

        The answer to such a sender always includes what is known about it, so that it can refute it.
        """
        known = self.members.by_number[sender]
        return known.state != State.ALIVE or known.start_id != start_id

    def apply(self, now: float, update: MemberUpdate) -> None:
        """Applies an update received from another instance; wrong updates about this instance are refuted."""
        if self._is_other(update.member):
            self.members.apply(now, update)
        elif update.member == self.identity.number and update.incarnation >= self.identity.incarnation:
            if update.start_id != self.identity.start_id:
                self._record_other_start(update)
                self.refute(update.incarnation)
            elif update.state != State.ALIVE:
                self.refute(update.incarnation)

    def _record_other_start(self, update: MemberUpdate) -> None:
        """Distinguishes an earlier start of this instance from another instance with the same number.

        An earlier start no longer sends anything: if its incarnation still rises, it is another instance.
        """
        latest = self._other_starts.get(update.start_id)
        if latest is not None and update.state == State.ALIVE and update.incarnation > latest:
            self.conflicts += 1
        self._other_starts[update.start_id] = max(update.incarnation, latest or 0)

    def refute(self, incarnation: int) -> None:
        """Raises the own incarnation above that of a wrong update and disseminates it."""
        self.identity.incarnation = min(MAX_NUMBER, incarnation + 1)
        self.members.queue.add(self.identity.number)

    def leave(self) -> list[Datagram]:
        """Announces the departure to some members, which disseminate it. Stops sending and receiving."""
        self.left = True
        identity = self.identity
        message = encode(Message(Kind.LEAVE, identity.incarnation, identity.start_id, 0, identity.number))
        present = self.members.present()
        targets = self.rng.sample(present, min(len(present), LEAVE_FACTOR * self.settings.indirect_probes))
        return [Datagram(target, message) for target in targets]
