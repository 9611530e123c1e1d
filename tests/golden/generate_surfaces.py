"""Writes the golden files of datagrams, HTTP, settings, metrics and the command line.

    python -m tests.golden.generate_surfaces NAME...

Without names it lists the files. A file that exists is never overwritten. To change what a golden file
pins, delete it by hand in the same commit, and say there why processes of both versions still understand each
other.
"""

import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path

from tests.golden import (
    command_line_cases,
    datagram_cases,
    http_files,
    line_cases,
    metric_cases,
    request_log_cases,
    settings_cases,
    simulator_wire_cases,
)
from tests.golden.golden_files import hex_lines, write_new


def _printed(arguments: tuple[str, ...]) -> str:
    """What a command prints, beside a data folder made for it."""
    with tempfile.TemporaryDirectory() as folder:
        command_line_cases.make_data_folder(Path(folder))
        return command_line_cases.printed(arguments, Path(folder))


FILES: Mapping[str, Callable[[], str]] = {
    datagram_cases.GOLDEN_FILE: lambda: hex_lines(datagram_cases.encoded()),
    settings_cases.NODE_KEYS_FILE: settings_cases.node_keys,
    settings_cases.VARIABLES_FILE: settings_cases.environment_variables,
    settings_cases.CONFIGURATION_KEYS_FILE: settings_cases.configuration_keys,
    **{name: partial(settings_cases.deployment_keys, name) for name in settings_cases.DEPLOYMENT_FILES},
    metric_cases.GOLDEN_FILE: metric_cases.names_and_labels,
    metric_cases.TEXT_FILE: metric_cases.exposed,
    request_log_cases.GOLDEN_FILE: request_log_cases.encoded,
    **http_files.TRANSCRIPTS,
    line_cases.GOLDEN_FILE: line_cases.written,
    simulator_wire_cases.GOLDEN_FILE: simulator_wire_cases.written,
    command_line_cases.OPTIONS_FILE: command_line_cases.options,
    command_line_cases.STATUSES_FILE: command_line_cases.statuses,
    **{name: partial(_printed, arguments) for name, arguments in command_line_cases.OUTPUTS.items()},
    **{name: partial(command_line_cases.schema, name) for name in command_line_cases.SCHEMAS},
    command_line_cases.STATUS_JSON_FILE: partial(command_line_cases.cluster_status, "--json"),
    command_line_cases.STATUS_TABLE_FILE: command_line_cases.cluster_status,
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
