"""Limits the size of mappings that remember past versions and ids by dropping the oldest entries."""

from itertools import islice
from typing import Any, TypeVar

_Key = TypeVar("_Key")


def drop_oldest(target: dict[_Key, Any], limit: int) -> list[_Key]:
    """Removes the oldest insertions until at most `limit` entries are left; returns the removed keys."""
    dropped = list(islice(target, max(0, len(target) - limit)))
    for key in dropped:
        del target[key]
    return dropped
