"""The tests' one view of what a group and its core keep private: how much memory the log takes, and the like.

The program has no use for these, so they are no part of its interface.
"""

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.log import Log
from pewterring.consensus.raft import Raft


def raft_of(group: ReplicatedGroup) -> Raft:
    """The core of a group that runs."""
    raft = group._driver.raft  # noqa: SLF001 - see the module
    assert raft is not None
    return raft


def log_of(member: ReplicatedGroup | Raft) -> Log:
    """The log in the memory of a group that runs, or of a core."""
    raft = member if isinstance(member, Raft) else raft_of(member)
    return raft._state.log  # noqa: SLF001 - see the module
