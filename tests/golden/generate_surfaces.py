"""Writes the golden files of datagrams, HTTP, settings, metrics and the command line.

    python -m tests.golden.generate_surfaces NAME...

Without names it lists the files. A file that exists is never overwritten. To change what a golden file
pins, delete it by hand in the same commit, and say there why processes of both versions still understand each
other.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from tests.golden import datagram_cases, settings_cases
from tests.golden.golden_files import hex_lines, write_new

FILES: Mapping[str, Callable[[], str]] = {
    datagram_cases.GOLDEN_FILE: lambda: hex_lines(datagram_cases.encoded()),
    settings_cases.NODE_KEYS_FILE: settings_cases.node_keys,
    settings_cases.VARIABLES_FILE: settings_cases.environment_variables,
    settings_cases.CONFIGURATION_KEYS_FILE: settings_cases.configuration_keys,
    **{name: partial(settings_cases.deployment_keys, name) for name in settings_cases.DEPLOYMENT_FILES},
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
