"""Reads and writes the golden files of this folder: text whose lines hold what programs exchange.

A golden file is written once, by `python -m tests.golden.generate_surfaces`, and from then on compared
exactly.
"""

from collections.abc import Iterable, Mapping
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent / "surfaces"
HEX_LINES = "{name} {data}\n"


def read_text(name: str) -> str:
    """The content of one golden file."""
    return (DIRECTORY / name).read_text(encoding="utf-8")


def write_new(name: str, text: str) -> None:
    """Writes one golden file. Raises FileExistsError where there is one: it is never overwritten."""
    DIRECTORY.mkdir(exist_ok=True)
    with (DIRECTORY / name).open("x", encoding="utf-8", newline="\n") as file:
        file.write(text)


def hex_lines(messages: Mapping[str, bytes]) -> str:
    """One line a message: its name, a blank, its bytes in hexadecimal digits."""
    return "".join(HEX_LINES.format(name=name, data=data.hex()) for name, data in messages.items())


def read_hex_lines(name: str) -> dict[str, bytes]:
    """The messages of a file that `hex_lines` made, by name."""
    pairs = (line.split(" ") for line in read_text(name).splitlines())
    return {message: bytes.fromhex(data) for message, data in pairs}


def sorted_lines(lines: Iterable[str]) -> str:
    """The lines in order, each with its line end."""
    return "".join(f"{line}\n" for line in sorted(lines))
