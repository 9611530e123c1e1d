"""The result of checking a file, and suggestions for unknown keys."""

import difflib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

MIN_SIMILARITY = 0.75  # an unknown key this similar to a known one counts as misspelled


@dataclass(frozen=True, slots=True)
class Findings:
    """A checked file, the problems for which it is rejected, and a note on harmless findings."""

    path: str
    problems: Sequence[str]
    note: str = ""


def nearest_key(key: str, known: Iterable[str], min_similarity: float = MIN_SIMILARITY) -> str:
    """Returns the known key that `key` probably misspells, or an empty string."""
    matches = difflib.get_close_matches(key, list(known), 1, min_similarity)
    return matches[0] if matches else ""


def unknown_key_problem(key: str, suggestion: str) -> str:
    """Returns the message for an unknown key that probably means `suggestion`."""
    return f"{key}: not known; did you mean {suggestion}?"
