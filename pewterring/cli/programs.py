"""`pewterring gateway`, `control` and `store` on the command line; `__main__` takes their usual way."""

import argparse

from pewterring.cli.tier import run_program
from pewterring.node.keys import DEFAULT_PATH, SETTINGS_VARIABLE

ABOUT = {
    "gateway": "Run a gateway: clients at listen_addrs.front, readiness and metrics at listen_addrs.ready.",
    "control": "Run a control machine: operator and workers at listen_addrs.control, its log in data_dir.",
    "store": "Run a store of batch jobs: its log in data_dir.",
}
SIGNALS = """
SIGTERM drains for bounds.grace_s seconds at most and ends; SIGHUP reads the settings file again, which is
also done within 2 seconds of a change without a signal. `pewterring config schema --kind settings` lists the
settings with their units and defaults."""


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    name = parser.prog.split()[-1]
    parser.description = ABOUT[name] + "\n" + SIGNALS
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help=f"lines of a.b=value (without it, the file that {SETTINGS_VARIABLE} names, else {DEFAULT_PATH})",
    )
    parser.set_defaults(run=_run, program=name)


def _run(given: argparse.Namespace) -> int:
    return run_program(given.program, given.settings)
