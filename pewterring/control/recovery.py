"""Recovery of the control group at the one member that goes on, on the disk of a process that has ended.

`pewterring cluster recover` calls this after it has asked the other machines. Owns the file that records each
recovery beside the log.
"""

import datetime
from contextlib import closing

import msgspec

from pewterring.consensus.errors import RecoveryRefusedError
from pewterring.consensus.messages import Membership
from pewterring.consensus.recovery import Survivor, plan_recovery, survivor_of
from pewterring.control.member_storage import GROUP
from pewterring.storage.disk import Disk
from pewterring.storage.group import DiskGroupStorage

RECOVERIES_FILE = "recoveries"  # one JSON line each, oldest first


class RecoveryRecord(msgspec.Struct, frozen=True):
    """One recovery, as it is recorded: what the member had, and what the group has been since."""

    at: str  # UTC, ISO 8601
    member: str
    former: Membership
    last_index: int
    last_term: int
    term: int  # in which the member became the only voter
    format: int = 1


def confirmation_of(survivor: Survivor) -> str:
    """What an operator repeats to confirm: it names the member and the end of its log."""
    return f"{survivor.member}@{survivor.last_term}.{survivor.last_index}"


def read_survivor(disk: Disk, member: str) -> Survivor:
    """Reads what the member has.

    Raises:
        StorageError: its files cannot be read.
    """
    storage = DiskGroupStorage(disk, GROUP)
    with closing(storage):
        return survivor_of(member, storage.load())


def recover(disk: Disk, member: str, confirmation: str, now: datetime.datetime) -> RecoveryRecord:
    """Makes the member the only voter of the group. It is recorded first, and then done in one write.

    Raises:
        RecoveryRefusedError: the confirmation is of another state, or the member cannot or need not go on
            alone; nothing was changed.
        StorageError: the files cannot be read or written.
    """
    storage = DiskGroupStorage(disk, GROUP)
    with closing(storage):
        survivor = survivor_of(member, storage.load())
        save = plan_recovery(survivor)
        if confirmation != confirmation_of(survivor):
            raise RecoveryRefusedError(
                f"{confirmation} is not what is on the disk now: {confirmation_of(survivor)}"
            )
        record = RecoveryRecord(
            at=now.isoformat(timespec="seconds"),
            member=member,
            former=survivor.membership,
            last_index=survivor.last_index,
            last_term=survivor.last_term,
            term=save.hard_state.term,
        )
        _append(disk, record)
        storage.save(save.hard_state, None, (save.entry,))
        return record


def _append(disk: Disk, record: RecoveryRecord) -> None:
    known = RECOVERIES_FILE in disk.names()
    with closing(disk.open(RECOVERIES_FILE) if known else disk.create(RECOVERIES_FILE)) as file:
        file.write(msgspec.json.encode(record) + b"\n")
        file.sync()
    disk.sync_folder()
