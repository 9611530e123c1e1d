"""The records of a group's log: term and vote, truncations, entries; each one line of JSON."""

from collections.abc import Iterable

import msgspec

from pewterring.consensus.messages import Entry
from pewterring.consensus.persistent import HardState
from pewterring.storage.formats import FORMAT


class HardStateRecord(msgspec.Struct, frozen=True, tag="state"):
    """The term and the vote. Each segment starts with one, so that its format is known first."""

    term: int
    vote: str | None
    format: int = FORMAT


class TruncateRecord(msgspec.Struct, frozen=True, tag="truncate"):
    """The entries from `from_index` on are forgotten."""

    from_index: int


class EntryRecord(msgspec.Struct, frozen=True, tag="entry"):
    """One entry, in place of earlier ones of its index and after."""

    entry: Entry


GroupRecord = HardStateRecord | TruncateRecord | EntryRecord
_encode = msgspec.json.Encoder().encode
# The record of a payload, or `msgspec.MsgspecError` where it is none; bound here: a load calls it per entry.
decode_group_record = msgspec.json.Decoder(GroupRecord).decode


def encode_hard_state(state: HardState) -> bytes:
    """The payload of a term and vote."""
    return _encode(HardStateRecord(state.term, state.vote)) + b"\n"


def encode_changes(
    hard_state: HardState | None, truncate_from: int | None, entries: Iterable[Entry]
) -> list[bytes]:
    """The payloads of one call of `GroupStorage.save`, in the order in which a load replays them."""
    payloads: list[bytes] = []
    if hard_state is not None:
        payloads.append(encode_hard_state(hard_state))
    if truncate_from is not None:
        payloads.append(_encode(TruncateRecord(truncate_from)) + b"\n")
    payloads.extend(_encode(EntryRecord(entry)) + b"\n" for entry in entries)
    return payloads
