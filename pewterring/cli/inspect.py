"""`pewterring inspect`: shows the content of a data folder or of gateway logs, without changing it."""

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

MAX_SHOWN_CHARACTERS = 100  # data of one log entry in the table; --json shows all of it
COMMAND_TAG = "type"  # JSON field with the type of a command

ShowFunction = Callable[["StoredGroup", argparse.Namespace], None]


@dataclass(frozen=True, slots=True)
class StoredGroup:
    """A replicated group as stored on disk."""

    name: str
    loaded: LoadedGroup

    @property
    def membership(self) -> MembershipHistory:
        """The membership at each index that is still stored."""
        state = self.loaded.state
        return MembershipHistory(state.snapshot_membership, state.entries)


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the sub-commands of `inspect` to its parser."""
    parser.description = "Show the content of a control machine's or store's data folder, or of gateway logs."
    commands = add_subcommands(parser)
    for name, show, summary in (
        ("log", _show_log, "show the log entries after the snapshot"),
        (
            "snapshot",
            _show_snapshot,
            "show the index, term and size of the snapshot, and its content with --json",
        ),
        ("members", _show_members, "show voters and learners, and the entries that changed them"),
    ):
        added = commands.add_parser(name, help=summary, description=summary)
        added.add_argument("data_dir", type=Path, metavar="DATA_DIR")
        added.add_argument(
            "--group", default="", help="only this group (if omitted, all groups in the folder)"
        )
        added.add_argument("--json", action="store_true", help="print one JSON object per line")
        if name == "log":
            added.add_argument("--last", type=int, default=0, metavar="N", help="only the last N entries")
        added.set_defaults(run=_with_command_errors(show))
    summary = "count late, refused and failed requests in gateway logs (setting log.requests) by reason"
    inspect_requests.configure(commands.add_parser("requests", help=summary, description=summary))


def _with_command_errors(show: ShowFunction) -> Callable[[argparse.Namespace], None]:
    def run(arguments: argparse.Namespace) -> None:
        try:
            for group in read_groups(arguments.data_dir, arguments.group):
                show(group, arguments)
        except StorageError as error:
            raise CommandError(str(error)) from error

    return run


def read_groups(folder: Path, only_group: str = "") -> Iterator[StoredGroup]:
    """Loads the groups stored in a folder, sorted by name; only the group `only_group` if it is not empty."""
    if not folder.is_dir():
        raise UsageError(f"{folder}: no such folder")
    suffixes = (SEGMENT_SUFFIX, SNAPSHOT_SUFFIX)
    files = [name for name in OverlayDisk(folder).names() if name.endswith(suffixes)]
    names = sorted({name.partition(".")[0] for name in files})
    if only_group:
        names = [name for name in names if name == only_group]
    if not names:
        raise UsageError(f"{folder}: no log of {'group ' + only_group if only_group else 'a group'} in it")
    for name in names:
        yield StoredGroup(name, DiskGroupStorage(OverlayDisk(folder), name).load())


def member_of(folder: Path) -> str:
    """Returns the tag of the member that owns the folder, or an empty string."""
    disk = OverlayDisk(folder)
    return member_name(folder, "", disk) if IDENTITY_FILE in disk.names() else ""


def _print_json(value: Any) -> None:
    print(orjson.dumps(value).decode())


def _show_log(group: StoredGroup, arguments: argparse.Namespace) -> None:
    entries = group.loaded.state.entries
    if not arguments.json:
        state = group.loaded.state
        vote = state.vote or "-"
        print(f"{group.name}: term {state.term}, vote {vote}, snapshot up to {state.snapshot_index}")
    for entry in entries[-arguments.last :] if arguments.last > 0 else entries:
        if arguments.json:
            _print_json(_entry_object(group.name, entry))
            continue
        data = bytes(entry.data).decode("utf-8", "replace")
        shown_data = data if len(data) <= MAX_SHOWN_CHARACTERS else data[:MAX_SHOWN_CHARACTERS] + "..."
        print(f"{entry.index:>10}  term {entry.term:<6} {entry.kind:<8} {shown_data}")


def _entry_object(group: str, entry: Entry) -> dict[str, Any]:
    data = orjson.loads(bytes(entry.data))
    return {"group": group, "index": entry.index, "term": entry.term, "kind": entry.kind, "data": data}


def _show_snapshot(group: StoredGroup, arguments: argparse.Namespace) -> None:
    state, content = group.loaded.state, group.loaded.snapshot
    if arguments.json:
        snapshot_fields = {"group": group.name, "index": state.snapshot_index, "term": state.snapshot_term}
        _print_json({**snapshot_fields, "content": None if content is None else orjson.loads(content)})
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


def _show_members(group: StoredGroup, arguments: argparse.Namespace) -> None:
    state, history = group.loaded.state, group.membership
    changes = [(state.snapshot_index, state.snapshot_membership)]
    changes += [
        (entry.index, history.at(entry.index)) for entry in state.entries if entry.kind == ENTRY_MEMBERS
    ]
    if arguments.json:
        _print_json(
            {
                "group": group.name,
                "own_tag": member_of(arguments.data_dir).removeprefix("#"),
                "changes": [
                    {"index": index, **_membership_object(membership)} for index, membership in changes
                ],
            }
        )
        return
    print(f"{group.name}: this folder is the member with tag {member_of(arguments.data_dir) or '-'}")
    for index, membership in changes:
        learners = f"; learners {', '.join(membership.learners)}" if membership.learners else ""
        print(f"{index:>10}  voters {', '.join(membership.voters) or '-'}{learners}")


def _membership_object(membership: Membership) -> dict[str, list[str]]:
    return {"voters": list(membership.voters), "learners": list(membership.learners)}
