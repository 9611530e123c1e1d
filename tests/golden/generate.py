"""Writes golden files: `python -m tests.golden.generate`.

It adds files and rows that are missing, for a message that is new or a format that is new on purpose. It
refuses to change what is there: bytes that were written once are in data folders and on the wire of clusters
that run.
"""

import sys

from tests.golden import (
    batch_commands,
    batch_messages,
    control_calls,
    control_commands,
    feed_messages,
    line_forms,
    member_messages,
    state_snapshots,
)
from tests.golden.rows import Family, GoldenError, add_rows
from tests.golden.stored_data import WRITERS, add_folder

FAMILIES: tuple[Family, ...] = (
    member_messages.FAMILY,
    control_commands.FAMILY,
    batch_commands.FAMILY,
    feed_messages.FAMILY,
    batch_messages.FAMILY,
    line_forms.FAMILY,
    control_calls.FAMILY,
    state_snapshots.FAMILY,
)


def main() -> int:
    """Adds what is missing; returns 1 where something there would have to change."""
    status = 0
    for family in FAMILIES:
        try:
            added = add_rows(family)
        except GoldenError as error:
            print(error, file=sys.stderr)
            status = 1
        else:
            print(f"{family.file}: {len(added)} rows added")
    for name in WRITERS:
        print(f"{name}: {'written' if add_folder(name) else 'is there, and stays as it is'}")
    return status


if __name__ == "__main__":
    sys.exit(main())
