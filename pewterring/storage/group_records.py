"""The records of a group's log: term and vote, truncations, entries; each one line of JSON."""

from collections.abc import Iterable, Iterator

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
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(GroupRecord)


def encode_group_record(record: GroupRecord) -> bytes:
    """The payload of a record of the log."""
    return _ENCODER.encode(record) + b"\n"


def decode_group_record(payload: bytes) -> GroupRecord:
    """The record of a payload.

    Raises:
        msgspec.MsgspecError: it is none.
    """
    return _DECODER.decode(payload)


def encode_hard_state(state: HardState) -> bytes:
    """The payload of a term and vote."""
    return encode_group_record(HardStateRecord(state.term, state.vote))


def encode_changes(
    hard_state: HardState | None, truncate_from: int | None, entries: Iterable[Entry]
) -> Iterator[bytes]:
    """The payloads of one call of `GroupStorage.save`, in the order in which a load replays them."""
    if hard_state is not None:
        yield encode_hard_state(hard_state)
    if truncate_from is not None:
        yield encode_group_record(TruncateRecord(truncate_from))
    for entry in entries:
        yield encode_group_record(EntryRecord(entry))
