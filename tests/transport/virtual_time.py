"""An event loop for loopback sockets whose time passes at once: what can be read is read before it passes."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")
DELIVERY_S = 0.002  # real time that the kernel gets to deliver what was written, before the clock jumps


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
            raise AssertionError("all wait for something that never comes")
        self.now += timeout
        return ready


class SocketTimeLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer when no socket has anything to say."""

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
    """The clock of the running loop."""
    return asyncio.get_running_loop().time()
