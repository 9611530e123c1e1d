"""Recovery of the control group from a single surviving member, on the disk of a process that has ended.

`pewterring cluster recover` calls this after it has queried the other machines. Each recovery is recorded in
a file beside the log.
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

RECOVERIES_FILE = "recoveries"  # one line of JSON per recovery, oldest first


class RecoveryRecord(msgspec.Struct, frozen=True):
    """The record of one recovery: the state of the surviving member before it, and the new term."""

    at: str  # UTC, ISO 8601
    member: str
    former: Membership
    last_index: int
    last_term: int
    term: int  # in which the member became the only voter
    format: int = 1


def confirmation_of(survivor: Survivor) -> str:
    """The text that an operator must repeat to confirm; it names the member and the end of its log."""
    return f"{survivor.member}@{survivor.last_term}.{survivor.last_index}"


def read_survivor(disk: Disk, member: str) -> Survivor:
    """Reads the stored state of the surviving member.

    Raises:
        StorageError: The member's files cannot be read.
    """
    storage = DiskGroupStorage(disk, GROUP)
    with closing(storage):
        return survivor_of(member, storage.load())


def recover(disk: Disk, member: str, confirmation: str, now: datetime.datetime) -> RecoveryRecord:
    """Makes the member the only voter of the group: records the recovery, then applies it in one write.

    Raises:
        RecoveryRefusedError: The confirmation does not match the current state, or the member cannot or need
            not continue alone; nothing was changed.
        StorageError: The files cannot be read or written.
    """
    storage = DiskGroupStorage(disk, GROUP)
    with closing(storage):
        survivor = survivor_of(member, storage.load())
        save = plan_recovery(survivor)
        if confirmation != confirmation_of(survivor):
            raise RecoveryRefusedError(
                f"{confirmation} does not match the data on the disk: {confirmation_of(survivor)}"
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
