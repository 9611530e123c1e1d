"""A way back for a group whose majority has lost its disks: one member goes on alone, as operators decide.

Raft cannot decide this by itself: from one member, lost disks look like machines that are cut off. The
survivor gets an entry that makes it the only voter, in a term far above any that the lost members can have
reached. From then on it leads by its own vote, and others join as they always do.

What may be lost: whatever only the lost members had. What must never happen: a lost member that returns with
its old disk. Enough of these are a majority of the old group, and go on beside the new one.
"""

from dataclasses import dataclass

from pewterring.consensus.errors import RecoveryRefusedError
from pewterring.consensus.membership import MembershipHistory, encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup

# Elections raise the term three times a second at most: this is more than come in days without a majority.
RECOVERY_TERM_STEP = 1_000_000


@dataclass(frozen=True, slots=True)
class Survivor:
    """What one member has on its disk, as far as a recovery goes by it."""

    member: str
    term: int
    last_index: int
    last_term: int
    membership: Membership

    @property
    def majority(self) -> int:
        """How many voters can elect a leader without a recovery."""
        return len(self.membership.voters) // 2 + 1

    @property
    def other_voters(self) -> tuple[str, ...]:
        """All voters but this one."""
        return tuple(voter for voter in self.membership.voters if voter != self.member)


@dataclass(frozen=True, slots=True)
class RecoverySave:
    """What is to be saved at the survivor, in one call of its storage."""

    hard_state: HardState
    entry: Entry


def survivor_of(member: str, loaded: LoadedGroup) -> Survivor:
    """Describes what the member of that name has on its disk."""
    state = loaded.state
    last = state.entries[-1] if state.entries else None
    return Survivor(
        member=member,
        term=state.term,
        last_index=last.index if last else state.snapshot_index,
        last_term=last.term if last else state.snapshot_term,
        membership=MembershipHistory(state.snapshot_membership, state.entries).current,
    )


def plan_recovery(survivor: Survivor) -> RecoverySave:
    """Plans what makes the survivor the only voter.

    Raises:
        RecoveryRefusedError: it was no voter, so that it may lack anything, or it needs nobody else.
    """
    voters = survivor.membership.voters
    if survivor.member not in voters:
        raise RecoveryRefusedError(
            f"{survivor.member} is no voter of {', '.join(voters) or 'any group'}: recover at a voter"
        )
    if survivor.majority == 1:
        raise RecoveryRefusedError(f"{survivor.member} is a majority by itself: start it")
    term = survivor.term + RECOVERY_TERM_STEP
    alone = Membership(voters=(survivor.member,))
    entry = Entry(survivor.last_index + 1, term, ENTRY_MEMBERS, encode_membership(alone))
    return RecoverySave(HardState(term, None), entry)
