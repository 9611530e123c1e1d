"""Writes the golden files of datagrams, HTTP, settings, metrics and the command line.

    python -m tests.golden.generate_surfaces NAME...

Without names it lists the files. A file that exists is never overwritten. To change what a golden file
pins, delete it by hand in the same commit, and say there why processes of both versions still understand each
other.
"""

import sys
from collections.abc import Callable, Mapping, Sequence

from tests.golden import datagram_cases
from tests.golden.golden_files import hex_lines, write_new

FILES: Mapping[str, Callable[[], str]] = {
    datagram_cases.GOLDEN_FILE: lambda: hex_lines(datagram_cases.encoded()),
}


def main(names: Sequence[str]) -> int:
    """Writes the named files; returns 1 where one is unknown or there already."""
    if not names:
        print("\n".join(FILES))
        return 0
    for name in names:
        if name not in FILES:
            print(f"{name}: no such golden file", file=sys.stderr)
            return 1
        try:
            write_new(name, FILES[name]())
        except FileExistsError:
            print(f"{name}: is there already and is not overwritten", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
