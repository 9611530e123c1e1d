"""The process's budget of descriptors: who may open one, and which idle connection goes when few are left.

A request counts as taken as soon as the system has accepted its connection, whether or not the program has:
left in the system's queue it would be lost. So accepting goes on to the last descriptor, whoever comes is at
least told no, and no more requests are held than have a descriptor on both sides.
"""

import os
import resource
from collections.abc import Callable

SPARE = 6  # for the listening socket, the peers' one, discovery (two at once), and two in passing


class Descriptors:
    def __init__(self, limit: int, taken: int | None = None) -> None:
        """`taken`: what is open already; None: it is counted, and some are spared."""
        if taken is None:
            limit, taken = min(limit, resource.getrlimit(resource.RLIMIT_NOFILE)[0]), in_use() + SPARE
        self.all = max(6, limit - taken)
        self.hard = self.all - max(2, self.all // 8)  # the rest is for accepting alone
        self.soft = self.hard - max(1, self.hard // 8)  # from here on each new connection costs an idle one
        self.calls = max(1, self.hard // 2)
        self.used = 0
        # Each closes one idle connection, or says that it has none. First clients' that have rested for a
        # while: most come once, or say nothing. Then workers'. Clients' that rest only now go
        # last: the close may cross the next request, and that is sent again only once.
        self.shed_rested: Callable[[], bool] = lambda: False
        self.shed_early: Callable[[], bool] = lambda: False
        self.shed_late: Callable[[], bool] = lambda: False
        self.freed: Callable[[], None] = lambda: None

    def take(self, accepting: bool = False) -> bool:
        """One more connection. A descriptor that is shed comes free a moment later, so it is shed early."""
        if self.filling:
            self.shed_rested()
        if self.crowded:
            self.shed()
        if self.used >= (self.all if accepting else self.hard):
            return False
        self.used += 1
        return True

    @property
    def filling(self) -> bool:
        """Some room is left: who only holds a connection gives it up before anybody else has to."""
        return self.used >= self.soft * 3 // 4

    @property
    def crowded(self) -> bool:
        """Few are left: connections are kept no longer than they are needed."""
        return self.used >= self.soft

    def shed(self) -> None:
        if not self.shed_early() and self.used >= self.hard:
            self.shed_late()

    def give_back(self) -> None:
        self.used -= 1
        self.freed()


def in_use() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 16
