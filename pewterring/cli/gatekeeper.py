"""`pewterring serve` and `check` on the command line; `__main__` takes the usual way of `serve`."""

import argparse
import sys

from pewterring.cli.serving import check, serve
from pewterring.standalone.config import CONFIG


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    parser.add_argument(
        "config", nargs="?", metavar="CONFIG", help=f"a JSON file (without it, the one that {CONFIG} names)"
    )
    runs_gatekeeper = parser.prog.endswith("serve")
    parser.set_defaults(run=_serve if runs_gatekeeper else _check)


def _serve(given: argparse.Namespace) -> int:
    status = serve(given.config)
    sys.stdout.flush()
    return status


def _check(given: argparse.Namespace) -> int:
    return check(given.config)
