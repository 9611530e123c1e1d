"""An in-memory storage that can run out of disk space, and a network of members with such storages."""

from collections.abc import Sequence

from pewterring.consensus.errors import StorageFullError
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup
from pewterring.consensus.types import RaftLimits
from tests.consensus.group_network import NAMES, SMALL_LIMITS, Network
from tests.consensus.memory_storage import MemoryStorage


class LimitedStorage(MemoryStorage):
    """Rejects all calls while `full`, and only saves of snapshots while `snapshots_full`."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        super().__init__(voters)
        self.full = False
        self.snapshots_full = False
        self.rejected_calls = 0

    def load(self) -> LoadedGroup:
        self._check_space(self.full)  # loading a new group writes the first records of its log
        return super().load()

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        self._check_space(self.full)
        super().save(hard_state, truncate_from, entries)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self._check_space(self.full or self.snapshots_full)
        super().save_snapshot(index, term, membership, data)

    def _check_space(self, is_full: bool) -> None:
        if is_full:
            self.rejected_calls += 1
            raise StorageFullError("no space")


def limited_network(
    voters: tuple[str, ...] = NAMES, limits: RaftLimits = SMALL_LIMITS
) -> tuple[Network, dict[str, LimitedStorage]]:
    network = Network(voters, limits)
    disks = {name: LimitedStorage(voters) for name in voters}
    for name, disk in disks.items():
        network.add(name, disk)
    return network, disks
