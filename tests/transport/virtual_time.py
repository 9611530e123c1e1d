"""Virtual-time event loop for loopback sockets: time advances only when no socket is readable."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")
DELIVERY_S = 0.002  # real time for the kernel to deliver written bytes before the clock advances


class _DeliveringSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is not None and timeout <= 0:
            return super().select(0)
        ready = super().select(DELIVERY_S)
        if ready:
            return ready
        if timeout is None:
            raise AssertionError("deadlock: no timer is pending and no socket is ready")
        self.now += timeout
        return ready


class SocketTimeLoop(asyncio.SelectorEventLoop):
    """Advances the time to the next timer when no socket is ready."""

    def __init__(self) -> None:
        self._delivering = _DeliveringSelector()
        super().__init__(self._delivering)

    def time(self) -> float:
        return self._delivering.now


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=SocketTimeLoop) as runner:
        return runner.run(coroutine)


def now() -> float:
    """Returns the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()
