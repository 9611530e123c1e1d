"""The identity and the storage of this machine's member of the control group.

Also determines the first voters: when the cluster is bootstrapped, the machines listed in `seed_nodes`. If
the data folder belongs to another machine or is damaged, or its disk is full, `StorageError` names the file.
"""

from pathlib import Path

from pewterring.consensus.messages import Membership
from pewterring.node.settings import NodeSettings
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name

GROUP = "control"  # the group's name in messages and logs, and the prefix of its files
FIRST_TAG = "seed"  # tag of the first voters; it is fixed because all machines must know their names


def open_member_storage(settings: NodeSettings, data_dir: Path) -> tuple[str, DiskGroupStorage]:
    """Returns the member's name, `IP#tag`, and its storage.

    A machine that bootstraps the cluster with an empty folder starts with all seeds as voters. A tag that is
    already stored in the folder is kept; a machine that lost its disk gets another name and must join again.

    Raises:
        StorageError: The folder cannot be read or written, or belongs to another machine.
    """
    seed_ips = sorted({seed.ip for seed in settings.seeds})
    is_first = settings.bootstrap and settings.ip in seed_ips
    disk = FolderDisk(data_dir)
    member = member_name(data_dir, settings.ip, disk, tag=FIRST_TAG if is_first else None)
    storage = DiskGroupStorage(disk, GROUP)
    if is_first and member == f"{settings.ip}#{FIRST_TAG}":
        storage.load()
        storage.initialize(Membership(tuple(f"{ip}#{FIRST_TAG}" for ip in seed_ips)))
    return member, storage
