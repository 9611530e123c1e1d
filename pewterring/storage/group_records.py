"""The records of a group's log: hard states, truncations and entries, each encoded as one line of JSON."""

from collections.abc import Iterable

import msgspec

from pewterring.consensus.messages import Entry
from pewterring.consensus.persistent import HardState
from pewterring.storage.formats import FORMAT


class HardStateRecord(msgspec.Struct, frozen=True, tag="state"):
    """The term and the vote. Each segment starts with one, so that a load checks the format first."""

    term: int
    vote: str | None
    format: int = FORMAT


class TruncateRecord(msgspec.Struct, frozen=True, tag="truncate"):
    """The entries from `from_index` onwards are deleted."""

    from_index: int


class EntryRecord(msgspec.Struct, frozen=True, tag="entry"):
    """One entry. Before an entry is overwritten, a `TruncateRecord` is written."""

    entry: Entry


GroupRecord = HardStateRecord | TruncateRecord | EntryRecord
_encode = msgspec.json.Encoder().encode
# Decodes a payload; raises `msgspec.MsgspecError` if it is invalid. A bound method, as a load calls it for
# each entry.
decode_group_record = msgspec.json.Decoder(GroupRecord).decode


def encode_hard_state(state: HardState) -> bytes:
    """Returns the payload of a `HardStateRecord`."""
    return _encode(HardStateRecord(state.term, state.vote)) + b"\n"


def encode_changes(
    hard_state: HardState | None, truncate_from: int | None, entries: Iterable[Entry]
) -> list[bytes]:
    """Returns the payloads for one call of `GroupStorage.save`, in the order in which a load replays them."""
    payloads: list[bytes] = []
    if hard_state is not None:
        payloads.append(encode_hard_state(hard_state))
    if truncate_from is not None:
        payloads.append(_encode(TruncateRecord(truncate_from)) + b"\n")
    payloads.extend(_encode(EntryRecord(entry)) + b"\n" for entry in entries)
    return payloads
