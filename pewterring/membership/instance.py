"""State shared by the components of one instance: identity, known members and measured loss."""

from dataclasses import dataclass, field

from pewterring.membership.loss import LossEstimate
from pewterring.membership.member_list import MemberList
from pewterring.membership.messages import MemberUpdate, State
from pewterring.membership.settings import ProtocolSettings


@dataclass(slots=True)
class Identity:
    """The identity of an instance: its number in the seed list, its start id and its current incarnation."""

    number: int
    start_id: int
    incarnation: int = 0

    def update(self) -> MemberUpdate:
        """The update that is disseminated about this instance."""
        return MemberUpdate(self.number, self.incarnation, self.start_id, State.ALIVE)


@dataclass(frozen=True, slots=True)
class Instance:
    """The state of one instance, except its probes."""

    identity: Identity
    settings: ProtocolSettings
    members: MemberList = field(default_factory=MemberList)
    loss: LossEstimate = field(default_factory=LossEstimate)
