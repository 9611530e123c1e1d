"""An event loop in virtual time, for tests of coroutines that wait for timers."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from concurrent.futures import Executor, Future
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances a virtual clock by the time-out instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise AssertionError("all coroutines wait, and no timer is pending")
        self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer whenever no callback is ready."""

    def __init__(self) -> None:
        self._selector_clock = _VirtualTimeSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        return self._selector_clock.now

    def pause_process(self, duration_s: float) -> None:
        """Advances the clock without running callbacks, as if the process were paused."""
        self._selector_clock.now += duration_s


class InlineExecutor(Executor):
    """Does the work at once in the caller's thread; the loop delivers the result in its next iteration."""

    def submit(self, work: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        try:
            future.set_result(work(*args, **kwargs))
        except Exception as error:  # noqa: BLE001 - the future carries any error of its work
            future.set_exception(error)
        return future


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
