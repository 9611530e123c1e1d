"""The process's budget of file descriptors: limits new connections and closes idle ones when few are left.

A request counts as accepted once the kernel has accepted its connection, even before the process has: left in
the kernel's queue it would be lost. So connections are accepted down to the last descriptor, each client gets
at least a rejection, and only requests with a descriptor on both the client and the worker side are pending.
"""

import os
import resource
from collections.abc import Callable

SPARE = 6  # descriptors: listening socket, peer socket, discovery (two at once), two for short-lived uses


class Descriptors:
    """Counts the file descriptors of connections and decides when idle connections are closed."""

    def __init__(self, limit: int, taken: int | None = None) -> None:
        """`taken`: descriptors already open. With None they are counted and SPARE more are reserved."""
        if taken is None:
            limit, taken = min(limit, resource.getrlimit(resource.RLIMIT_NOFILE)[0]), in_use() + SPARE
        self.all = max(6, limit - taken)
        self.hard = self.all - max(2, self.all // 8)  # the rest is reserved for accepting clients
        self.soft = self.hard - max(1, self.hard // 8)  # from here on each new connection closes an idle one
        self.calls = max(1, self.hard // 2)
        self.used = 0
        # Each closes one idle connection and returns whether there was one. Client connections that have been
        # idle for a while come first: most of them carry one request or none. Worker connections come next,
        # and recently used client connections last: the close may cross the client's next request, which the
        # client retries only once.
        self.shed_rested: Callable[[], bool] = lambda: False
        self.shed_early: Callable[[], bool] = lambda: False
        self.shed_late: Callable[[], bool] = lambda: False
        self.freed: Callable[[], None] = lambda: None

    def take(self, accepting: bool = False) -> bool:
        """Reserves a descriptor for a new connection; False where none is left.

        Closing an idle connection frees its descriptor only a moment later, so closing starts early.
        """
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
        """Descriptors begin to run out: client connections that have been idle for a while are closed."""
        return self.used >= self.soft * 3 // 4

    @property
    def crowded(self) -> bool:
        """Few descriptors are left: connections are closed as soon as they are not needed."""
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
