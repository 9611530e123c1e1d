"""`pewterring version`."""

import argparse

from pewterring import __version__


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    parser.set_defaults(run=_version)


def _version(_given: argparse.Namespace) -> None:
    print(f"pewterring {__version__}")
