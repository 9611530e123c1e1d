"""What a check finds in a file, and the nearest known key to an unknown one."""

import difflib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SIMILARITY = 0.75  # of keys, from which on one is taken for a slip of the other


@dataclass(frozen=True, slots=True)
class Findings:
    """The file, the problems for which it is refused, and a note on what does no harm."""

    path: str
    problems: Sequence[str]
    note: str = ""


def nearest(key: str, known: Iterable[str], similarity: float = SIMILARITY) -> str:
    """The known key that `key` is probably a slip of, or an empty string."""
    found = difflib.get_close_matches(key, list(known), 1, similarity)
    return found[0] if found else ""


def unknown_key(key: str, meant: str) -> str:
    """The problem of a key that nobody reads."""
    return f"{key}: not known; did you mean {meant}?"
