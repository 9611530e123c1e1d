"""`pewterring serve` and `check`. `__main__` starts the usual form of `serve` without this module."""

import argparse
import sys

from pewterring.cli.serving import check, serve
from pewterring.standalone.config import CONFIG


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `serve` or `check` to its parser."""
    parser.add_argument(
        "config", nargs="?", metavar="CONFIG", help=f"a JSON file (if omitted, the file named by {CONFIG})"
    )
    runs_gatekeeper = parser.prog.endswith("serve")
    parser.set_defaults(run=_serve if runs_gatekeeper else _check)


def _serve(arguments: argparse.Namespace) -> int:
    status = serve(arguments.config)
    sys.stdout.flush()
    return status


def _check(arguments: argparse.Namespace) -> int:
    return check(arguments.config)
