"""Recovery of a group after a majority lost its disks: on an operator's decision, one member continues alone.

Raft cannot decide this by itself, because one member cannot tell lost disks from a network partition. The
recovery appends an entry to the survivor's log that makes it the only voter, in a term far above any that the
lost members can have reached. From then on it is elected by its own vote, and other members join as usual.

Entries that only the lost members had may be lost. A lost member must never return with its old disk: enough
of them form a majority of the old group, which would continue beside the new one.
"""

from dataclasses import dataclass

from pewterring.consensus.errors import RecoveryRefusedError
from pewterring.consensus.membership import MembershipHistory, encode_membership
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup

# Elections raise the term at most three times per second, so days without a majority stay below this step.
RECOVERY_TERM_STEP = 1_000_000


@dataclass(frozen=True, slots=True)
class Survivor:
    """The stored state of the surviving member, as far as a recovery depends on it."""

    member: str
    term: int
    last_index: int
    last_term: int
    membership: Membership

    @property
    def majority(self) -> int:
        """Number of voters that can elect a leader without a recovery."""
        return len(self.membership.voters) // 2 + 1

    @property
    def other_voters(self) -> tuple[str, ...]:
        """All voters but this one."""
        return tuple(voter for voter in self.membership.voters if voter != self.member)


@dataclass(frozen=True, slots=True)
class RecoverySave:
    """The changes to save on the survivor, in one call of its storage."""

    hard_state: HardState
    entry: Entry


def survivor_of(member: str, loaded: LoadedGroup) -> Survivor:
    """Returns a description of the stored state `loaded` of `member`."""
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
    """Returns the changes that make the survivor the only voter.

    Raises:
        RecoveryRefusedError: the survivor is not a voter, so that it may lack committed entries, or it is a
            majority by itself.
    """
    voters = survivor.membership.voters
    if survivor.member not in voters:
        raise RecoveryRefusedError(
            f"{survivor.member} is no voter of {', '.join(voters) or 'any group'}: run this on a voter"
        )
    if survivor.majority == 1:
        raise RecoveryRefusedError(f"{survivor.member} is a majority by itself: start it without a recovery")
    term = survivor.term + RECOVERY_TERM_STEP
    sole_voter = Membership(voters=(survivor.member,))
    entry = Entry(survivor.last_index + 1, term, ENTRY_MEMBERS, encode_membership(sole_voter))
    return RecoverySave(HardState(term, None), entry)
