"""Access of the tests to private state of a group and its Raft core, such as the log in memory.

The program itself does not need this state, so it is not part of the public interface.
"""

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.log import Log
from pewterring.consensus.raft import Raft


def raft_of(group: ReplicatedGroup) -> Raft:
    """Returns the Raft core of a running group."""
    raft = group._driver.raft  # noqa: SLF001 - see the module docstring
    assert raft is not None
    return raft


def log_of(member: ReplicatedGroup | Raft) -> Log:
    """Returns the in-memory log of a running group or of a Raft core."""
    raft = member if isinstance(member, Raft) else raft_of(member)
    return raft._state.log  # noqa: SLF001 - see the module docstring
