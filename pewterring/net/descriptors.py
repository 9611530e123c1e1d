"""The process's budget of descriptors: who may open one, and who lets go of idle ones when few are left."""

import os
import resource
from collections.abc import Callable

SPARE = 16  # for what is opened in passing: discovery, name lookups of the library, a log's file


class Descriptors:
    """Counts connections. Accepting stops at `soft`, connecting to workers at `hard`: what has been accepted
    needs a connection on the other side too."""

    def __init__(self, limit: int) -> None:
        self.hard = max(2, min(limit, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - in_use() - SPARE)
        self.soft = self.hard - max(1, self.hard // 8)
        self.used = 0
        self.shedders: list[Callable[[], bool]] = []  # each closes one idle connection, or says it has none
        self.freed: Callable[[], None] = lambda: None

    def take(self, hard: bool) -> bool:
        """One more connection. Near the limit an idle one is shed first; its descriptor comes free soon."""
        if self.used >= self.soft:
            any(shed() for shed in self.shedders)
        if self.used >= (self.hard if hard else self.soft):
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        self.used -= 1
        self.freed()


def in_use() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 16
