"""Bounds the mappings that remember past versions and ids: the oldest entries are dropped."""

from itertools import islice
from typing import Any, TypeVar

_Key = TypeVar("_Key")


def drop_oldest(target: dict[_Key, Any], limit: int) -> list[_Key]:
    """Removes the entries inserted first until `limit` are left; returns the keys removed."""
    dropped = list(islice(target, max(0, len(target) - limit)))
    for key in dropped:
        del target[key]
    return dropped
