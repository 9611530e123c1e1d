"""`pewterring inspect`: what is in a data folder, or in logs of gateways. Changes nothing there."""

import argparse
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from pewterring.cli import inspect_requests
from pewterring.cli.errors import CommandError, UsageError
from pewterring.cli.parser import add_subcommands
from pewterring.consensus.membership import MembershipHistory
from pewterring.consensus.messages import ENTRY_MEMBERS, Entry, Membership
from pewterring.consensus.persistent import LoadedGroup
from pewterring.storage.errors import StorageError
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import IDENTITY_FILE, member_name
from pewterring.storage.log import SEGMENT_SUFFIX
from pewterring.storage.overlay import OverlayDisk
from pewterring.storage.snapshots import SNAPSHOT_SUFFIX

SHOWN_DATA_CHARACTERS = 100  # of an entry in the table; --json shows all
COMMAND_TAG = "type"  # field that names a command

Show = Callable[["StoredGroup", argparse.Namespace], None]


@dataclass(frozen=True, slots=True)
class StoredGroup:
    """One replicated group as it is on disk."""

    name: str
    loaded: LoadedGroup

    @property
    def membership(self) -> MembershipHistory:
        """The members at each index that is kept."""
        state = self.loaded.state
        return MembershipHistory(state.snapshot_membership, state.entries)


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the commands to the parser."""
    parser.description = "Read the data folder of a control machine or a store, or logs of gateways."
    commands = add_subcommands(parser)
    for name, show, about in (
        ("log", _show_log, "the entries of the log after the snapshot"),
        ("snapshot", _show_snapshot, "what the snapshot stands for, and its content with --json"),
        ("members", _show_members, "voters and learners, and the entries that changed them"),
    ):
        added = commands.add_parser(name, help=about, description=about)
        added.add_argument("data_dir", type=Path, metavar="DATA_DIR")
        added.add_argument("--group", default="", help="only this group (without it, all in the folder)")
        added.add_argument("--json", action="store_true", help="one JSON object a line")
        if name == "log":
            added.add_argument("--last", type=int, default=0, metavar="N", help="only the last N entries")
        added.set_defaults(run=_guarded(show))
    about = "late, refused and failed requests in logs of gateways (setting log.requests), by reason"
    inspect_requests.configure(commands.add_parser("requests", help=about, description=about))


def _guarded(show: Show) -> Callable[[argparse.Namespace], None]:
    def run(given: argparse.Namespace) -> None:
        try:
            for group in read_groups(given.data_dir, given.group):
                show(group, given)
        except StorageError as error:
            raise CommandError(str(error)) from error

    return run


def read_groups(folder: Path, only: str = "") -> Iterator[StoredGroup]:
    """The groups in a folder, by name."""
    if not folder.is_dir():
        raise UsageError(f"{folder}: no such folder")
    suffixes = (SEGMENT_SUFFIX, SNAPSHOT_SUFFIX)
    files = [name for name in OverlayDisk(folder).names() if name.endswith(suffixes)]
    names = sorted({name.partition(".")[0] for name in files})
    if only:
        names = [name for name in names if name == only]
    if not names:
        raise UsageError(f"{folder}: no log of {'group ' + only if only else 'a group'} in it")
    for name in names:
        yield StoredGroup(name, DiskGroupStorage(OverlayDisk(folder), name).load())


def member_of(folder: Path) -> str:
    """The tag of the member whose folder it is, or an empty string."""
    disk = OverlayDisk(folder)
    return member_name(folder, "", disk) if IDENTITY_FILE in disk.names() else ""


def _print_json(value: Any) -> None:
    print(orjson.dumps(value).decode())


def _show_log(group: StoredGroup, given: argparse.Namespace) -> None:
    entries = group.loaded.state.entries
    if not given.json:
        state = group.loaded.state
        vote = state.vote or "-"
        print(f"{group.name}: term {state.term}, vote {vote}, snapshot up to {state.snapshot_index}")
    for entry in entries[-given.last :] if given.last > 0 else entries:
        if given.json:
            _print_json(_described(group.name, entry))
            continue
        data = bytes(entry.data).decode("utf-8", "replace")
        cut = data if len(data) <= SHOWN_DATA_CHARACTERS else data[:SHOWN_DATA_CHARACTERS] + "..."
        print(f"{entry.index:>10}  term {entry.term:<6} {entry.kind:<8} {cut}")


def _described(group: str, entry: Entry) -> dict[str, Any]:
    data = orjson.loads(bytes(entry.data))
    return {"group": group, "index": entry.index, "term": entry.term, "kind": entry.kind, "data": data}


def _show_snapshot(group: StoredGroup, given: argparse.Namespace) -> None:
    state, content = group.loaded.state, group.loaded.snapshot
    if given.json:
        said = {"group": group.name, "index": state.snapshot_index, "term": state.snapshot_term}
        _print_json({**said, "content": None if content is None else orjson.loads(content)})
        return
    if content is None:
        print(f"{group.name}: no snapshot")
        return
    print(
        f"{group.name}: up to index {state.snapshot_index}, term {state.snapshot_term}, {len(content)} bytes"
    )
    for name, value in orjson.loads(content).items():
        size = f"{len(value)} entries" if isinstance(value, list | dict) else value
        print(f"  {name:<16} {size}")


def _show_members(group: StoredGroup, given: argparse.Namespace) -> None:
    state, history = group.loaded.state, group.membership
    changes = [(state.snapshot_index, state.snapshot_membership)]
    changes += [
        (entry.index, history.at(entry.index)) for entry in state.entries if entry.kind == ENTRY_MEMBERS
    ]
    if given.json:
        _print_json(
            {
                "group": group.name,
                "own_tag": member_of(given.data_dir).removeprefix("#"),
                "changes": [{"index": index, **_members(membership)} for index, membership in changes],
            }
        )
        return
    print(f"{group.name}: this folder is the member with tag {member_of(given.data_dir) or '-'}")
    for index, membership in changes:
        learners = f"; learners {', '.join(membership.learners)}" if membership.learners else ""
        print(f"{index:>10}  voters {', '.join(membership.voters) or '-'}{learners}")


def _members(membership: Membership) -> dict[str, list[str]]:
    return {"voters": list(membership.voters), "learners": list(membership.learners)}
