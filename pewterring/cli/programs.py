"""`pewterring gateway`, `control` and `store`. `__main__` starts their usual forms without this module."""

import argparse

from pewterring.cli.tier import run_program
from pewterring.node.keys import DEFAULT_PATH, SETTINGS_VARIABLE

ABOUT = {
    "gateway": "Run a gateway: clients at listen_addrs.front, readiness and metrics at listen_addrs.ready.",
    "control": "Run a control machine: operator and workers at listen_addrs.control, log in data_dir.",
    "store": "Run a store of batch jobs, with its log in data_dir.",
}
SIGNALS = """
SIGTERM drains for at most bounds.grace_s seconds and exits. SIGHUP reloads the settings file; a change to
it is also noticed within 2 seconds without a signal. `pewterring config schema --kind settings` lists the
settings with their units and defaults."""


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of one program to its parser."""
    name = parser.prog.split()[-1]
    parser.description = ABOUT[name] + "\n" + SIGNALS
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help=f"lines of a.b=value (if omitted, the file named by {SETTINGS_VARIABLE}, else {DEFAULT_PATH})",
    )
    parser.set_defaults(run=_run, program=name)


def _run(arguments: argparse.Namespace) -> int:
    return run_program(arguments.program, arguments.settings)
