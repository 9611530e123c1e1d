"""The process's budget of descriptors: who may open one, and which idle connection goes when few are left.

A request counts as taken as soon as the system has accepted its connection, whether or not the program has:
left in the system's queue it would be lost. So accepting goes on to the last descriptor, whoever comes is at
least told no, and no more requests are held than have a descriptor on both sides.
"""

import os
import resource
from collections.abc import Callable
from typing import Protocol

SPARE = 6  # for the listening socket, the peers' one, and what the library opens in passing


class Shedder(Protocol):
    """Who keeps idle connections."""

    def oldest(self) -> float:
        """Since when the one that has idled longest idles; infinity where none does."""

    def shed(self) -> None:
        """Closes that one."""


class Descriptors:
    def __init__(self, limit: int) -> None:
        self.all = max(6, min(limit, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - in_use() - SPARE)
        self.hard = self.all - max(2, self.all // 8)  # the rest is for accepting alone
        self.soft = self.hard - max(1, self.hard // 8)  # from here on each new connection costs an idle one
        self.calls = max(1, self.hard // 2)
        self.used = 0
        self.shedders: list[Shedder] = []
        self.freed: Callable[[], None] = lambda: None

    def take(self, accepting: bool = False) -> bool:
        """One more connection. A descriptor that is shed comes free a moment later, so it is shed early."""
        if self.used >= self.soft:
            self.shed()
        if self.used >= (self.all if accepting else self.hard):
            return False
        self.used += 1
        return True

    def shed(self) -> None:
        oldest = min(self.shedders, key=lambda shedder: shedder.oldest(), default=None)
        if oldest is not None and oldest.oldest() < float("inf"):
            oldest.shed()

    def give_back(self) -> None:
        self.used -= 1
        self.freed()


def in_use() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 16
