"""`pewterring version`: prints the version."""

import argparse

from pewterring import __version__


def configure(parser: argparse.ArgumentParser) -> None:
    """Sets the function of `version` on its parser."""
    parser.set_defaults(run=_version)


def _version(_given: argparse.Namespace) -> None:
    print(f"pewterring {__version__}")
