"""Rows of golden files: an instance of a type, how the program encodes it, and how it decodes it.

A family is one file in `data`. Each of its lines is a row's name, the CRC-32 of the encoded bytes, and the
encoded bytes, with blanks between. The names are literals in the modules of the families, so a renamed type
leaves the files as they are. The checksum finds files that a renaming by script has changed along with the
code.
"""

import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from pewterring.transport.lines import MessageCodec

DATA = Path(__file__).parent / "data"


@dataclass(frozen=True, slots=True)
class Row:
    """One instance. `ends_line` says that the encoded bytes end with a line feed of their own."""

    name: str
    value: Any
    encode: Callable[[], bytes]
    decode: Callable[[bytes], Any]
    ends_line: bool = False


@dataclass(frozen=True, slots=True)
class Family:
    """The rows of one golden file, and the types of which each must have rows."""

    file: str
    rows: tuple[Row, ...]
    types: tuple[type[msgspec.Struct], ...] = ()

    @property
    def path(self) -> Path:
        """Where the golden file is."""
        return DATA / self.file


class GoldenError(Exception):
    """A golden file would be changed by what is to be written to it."""


def message_row(
    codec: MessageCodec, name: str, value: msgspec.Struct, request_id: int = 0, reply_to: int = 0
) -> Row:
    """A message as it is sent: one line with its envelope, which has the ids of request and reply."""

    def decode(line: bytes) -> msgspec.Struct:
        envelope = codec.decode_line(line)
        assert (envelope.id, envelope.reply_to) == (request_id, reply_to)
        return codec.decode(envelope.body)

    return Row(name, value, lambda: codec.line(value, request_id, reply_to), decode, ends_line=True)


def read_family(family: Family) -> dict[str, bytes]:
    """The golden bytes of each row that the file has, by the row's name."""
    ends = {row.name: b"\n" if row.ends_line else b"" for row in family.rows}
    found: dict[str, bytes] = {}
    for line in family.path.read_bytes().splitlines():
        first, checksum, encoded = line.split(b" ", 2)
        name = first.decode()
        assert name not in found, f"{family.file} has {name} twice"
        assert _checksum(encoded) == checksum, f"{family.file}: the bytes of {name} were changed"
        found[name] = encoded + ends.get(name, b"")
    return found


def check_encoding(family: Family, row: Row) -> None:
    """The program encodes the instance as it always did."""
    assert row.encode() == read_family(family)[row.name]


def check_decoding(family: Family, row: Row) -> None:
    """The program reads the golden bytes as the instance."""
    decoded = row.decode(read_family(family)[row.name])
    assert decoded == row.value
    assert type(decoded) is type(row.value)


def check_complete(family: Family) -> None:
    """The file has the rows of the family and no others; each type has a row with all of its fields set.

    A type with optional fields also has a row in which all of them are left out.
    """
    assert sorted(read_family(family)) == sorted(row.name for row in family.rows)
    values = [row.value for row in family.rows]
    for kind in family.types:
        instances = [value for value in values if type(value) is kind]
        assert any(is_populated(value) for value in instances), f"no row sets all fields of {kind.__name__}"
        assert not _optional(kind) or any(_is_short(value) for value in instances), (
            f"no row leaves out the optional fields of {kind.__name__}"
        )


def is_populated(value: Any) -> bool:
    """Whether all fields of the instance, and of records in it, have values other than empty or default."""
    if isinstance(value, msgspec.Struct):
        defaults = _optional(type(value))
        return all(
            getattr(value, name) != defaults.get(name, None) and is_populated(getattr(value, name))
            for name in value.__struct_fields__
        )
    if isinstance(value, tuple):
        return any(is_populated(element) for element in value)
    if isinstance(value, msgspec.Raw):
        return bytes(value) != b"null"
    return bool(value)


def add_rows(family: Family) -> list[str]:
    """Adds the rows that the file does not have yet; returns their names.

    Raises `GoldenError` where a row that it has would be encoded differently now: rows are only ever added.
    """
    known = read_family(family) if family.path.exists() else {}
    changed = [row.name for row in family.rows if row.name in known and row.encode() != known[row.name]]
    if changed:
        raise GoldenError(f"{family.file}: encoded differently now: {', '.join(changed)}")
    added = [row for row in family.rows if row.name not in known]
    with family.path.open("ab") as file:
        file.writelines(_line(row) for row in added)
    return [row.name for row in added]


def ids(rows: Iterable[Row]) -> list[str]:
    """The names of the rows, as ids of parametrized tests."""
    return [row.name for row in rows]


def tag_of(kind: type[msgspec.Struct]) -> object:
    """The name under which a type stands in encoded bytes."""
    return kind.__struct_config__.tag


def check_tags(family: Family, types: Sequence[type[msgspec.Struct]]) -> None:
    """Each tagged type has a row whose name begins with its tag."""
    named = {row.name.partition("-")[0] for row in family.rows if type(row.value) in types}
    assert named == {tag_of(kind) for kind in types}


def _line(row: Row) -> bytes:
    encoded = row.encode()
    assert encoded.endswith(b"\n") == row.ends_line
    assert b"\n" not in encoded[:-1]
    text = encoded.removesuffix(b"\n")
    return b" ".join((row.name.encode(), _checksum(text), text)) + b"\n"


def _checksum(encoded: bytes) -> bytes:
    return b"%08x" % zlib.crc32(encoded)


def _optional(kind: type[msgspec.Struct]) -> dict[str, Any]:
    """The default values of the fields that may be left out."""
    return {
        field.name: field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
        for field in msgspec.structs.fields(kind)
        if not field.required
    }


def _is_short(value: msgspec.Struct) -> bool:
    return all(getattr(value, name) == default for name, default in _optional(type(value)).items())
