"""What the parts of one instance share: who it is, whom it knows, what it measured."""

from dataclasses import dataclass, field

from pewterring.membership.loss import LossEstimate
from pewterring.membership.member_list import MemberList
from pewterring.membership.messages import MemberUpdate, State
from pewterring.membership.settings import ProtocolSettings


@dataclass(slots=True)
class Identity:
    """Who an instance is: its number in the seed list, the id of its start, its current incarnation."""

    number: int
    start_id: int
    incarnation: int = 0

    def update(self) -> MemberUpdate:
        """What is disseminated of the instance itself."""
        return MemberUpdate(self.number, self.incarnation, self.start_id, State.ALIVE)


@dataclass(frozen=True, slots=True)
class Instance:
    """The state of one instance apart from its probes."""

    identity: Identity
    settings: ProtocolSettings
    members: MemberList = field(default_factory=MemberList)
    loss: LossEstimate = field(default_factory=LossEstimate)
