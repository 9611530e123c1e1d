"""An event loop whose time passes at once, for coroutines that wait by the clock."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from concurrent.futures import Executor, Future
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class _JumpingSelector(selectors.DefaultSelector):
    """Takes no time to wait, and says how long it would have been."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError("all wait for something that never comes")
        self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer whenever there is nothing to do."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now

    def stand_still(self, duration_s: float) -> None:
        """The process stops in the midst of what it does, as when it is frozen; only the clock goes on."""
        self._jumping.now += duration_s


class InlineExecutor(Executor):
    """Does the work at once, in the caller's thread; its result comes with the next turn of the loop."""

    def submit(self, work: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        try:
            future.set_result(work(*args, **kwargs))
        except Exception as error:  # noqa: BLE001 - a future carries whatever its work raised
            future.set_exception(error)
        return future


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
