"""A storage in memory whose disk can be full, and a network of members on such disks."""

from collections.abc import Sequence

from pewterring.consensus.errors import StorageFullError
from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup
from pewterring.consensus.types import RaftLimits
from tests.consensus.group_network import NAMES, SMALL_LIMITS, Network
from tests.consensus.memory_storage import MemoryStorage


class LimitedStorage(MemoryStorage):
    """Has no space for entries while `full`, and none for snapshots while `snapshots_full`."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        super().__init__(voters)
        self.full = False
        self.snapshots_full = False
        self.refused = 0

    def load(self) -> LoadedGroup:
        self._check_space(self.full)  # a new log begins with its first records
        return super().load()

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        self._check_space(self.full)
        super().save(hard_state, truncate_from, entries)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self._check_space(self.full or self.snapshots_full)
        super().save_snapshot(index, term, membership, data)

    def _check_space(self, is_full: bool) -> None:
        if is_full:
            self.refused += 1
            raise StorageFullError("no space")


def limited_network(
    voters: tuple[str, ...] = NAMES, limits: RaftLimits = SMALL_LIMITS
) -> tuple[Network, dict[str, LimitedStorage]]:
    network = Network(voters, limits)
    disks = {name: LimitedStorage(voters) for name in voters}
    for name, disk in disks.items():
        network.add(name, disk)
    return network, disks
