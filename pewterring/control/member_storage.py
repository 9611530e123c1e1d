"""The identity and the storage of this machine's member of the control group.

Owns the decision who the first voters are: at the first start of all, the machines that `seed_nodes` names.
What may go wrong: the data folder belongs to another machine, is damaged, or its disk is full; `StorageError`
says which file.
"""

from pathlib import Path

from pewterring.consensus.messages import Membership
from pewterring.node.settings import NodeSettings
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name

GROUP = "control"  # prefix of the group's files, and its name in messages and logs
FIRST_TAG = "seed"  # of the first voters, whose names all must know


def open_member_storage(settings: NodeSettings, data_dir: Path) -> tuple[str, DiskGroupStorage]:
    """Returns the member's name, `IP#tag`, and its storage.

    A machine that bootstraps the cluster with an empty folder begins with all seeds as voters. A folder that
    has a tag keeps it: one that lost its disk comes back under another name and must be admitted.

    Raises:
        StorageError: The folder cannot be read or written, or is another machine's.
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
