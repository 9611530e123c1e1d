"""An event loop in virtual time that runs several processes, each of which can be frozen or killed alone.

A context variable identifies the process; tasks, timers and callbacks inherit it. What a frozen process
would run is postponed; what a dead one would run is dropped. An exception that nobody handles is kept in
`errors`, and fails the run.
"""

import asyncio
import contextvars
import heapq
import inspect
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass
from enum import IntEnum
from operator import itemgetter
from typing import Any

_PROCESS: contextvars.ContextVar["Process | None"] = contextvars.ContextVar("process", default=None)

Callback = Callable[..., object]


class Turn(IntEnum):
    """In which order a thawed process resumes: as in asyncio, input comes before timers."""

    OUTPUT = 0  # what it was about to send
    READY = 1
    INPUT = 2
    TIMER = 3


class Process:
    """One incarnation of one program. `host` does its blocking work; its clock has a `rate` and `offset`."""

    def __init__(self, name: str, host: "BlockingHost", rate: float = 1.0, offset: float = 0.0) -> None:
        self.name = name
        self.host = host
        self.alive = True
        self.frozen = False
        self.postponed: list[tuple[Turn, Callable[[], object]]] = []
        self.on_end: list[Callable[[], object]] = []
        self.rate = rate
        self.offset = offset
        self.context = contextvars.copy_context()
        self.context.run(_PROCESS.set, self)

    @property
    def ip(self) -> str:
        """The address of its machine, which its name begins with."""
        return self.name.partition("/")[0]

    def steady(self, now: float) -> float:
        """Converts virtual time to the process's steady clock."""
        return self.offset + self.rate * now

    def true_time(self, steady: float) -> float:
        """Converts a reading of the process's steady clock to virtual time."""
        return (steady - self.offset) / self.rate

    def perform(self, output: Callable[[], object]) -> None:
        """Performs an output: at once, after the freeze, or never if the process is dead."""
        if not self.alive:
            return
        if self.frozen:
            self.postponed.append((Turn.OUTPUT, output))
        else:
            output()


class BlockingHost(ABC):
    """Does the blocking work of the processes that run on it."""

    @abstractmethod
    def run_blocking(self, loop: "VirtualLoop", process: Process, work: Callable[[], Any]) -> Any:
        """Returns a future for the result of `work`."""


@dataclass(slots=True, eq=False)
class _Handle:
    """A scheduled callback: it is run in the context of `process`, at `when_s` of the virtual time."""

    callback: Callback
    args: tuple[Any, ...]
    context: contextvars.Context
    process: Process | None
    when_s: float = 0.0
    turn: Turn = Turn.READY
    is_cancelled: bool = False

    def cancel(self) -> None:
        self.is_cancelled = True

    def cancelled(self) -> bool:
        return self.is_cancelled

    def when(self) -> float:
        return self.when_s


class VirtualLoop(asyncio.AbstractEventLoop):
    """Jumps to the next timer whenever nothing is ready. It has no files, sockets or threads."""

    def __init__(self) -> None:
        self.current: Process | None = None
        self.errors: list[str] = []  # exceptions of callbacks and tasks that nobody handled
        self._now = 0.0
        self._ready: deque[_Handle] = deque()
        self._timers: list[tuple[float, int, _Handle]] = []
        self._sequence = 0
        self._closed = False
        self._tasks: list[asyncio.Task[Any]] = []  # kept, so that none is collected in the middle of a run
        self.create_server_at: Callable[..., Any] | None = None

    # Scheduling

    def time(self) -> float:
        return self._now

    def call_soon(  # type: ignore[override]  # typed more loosely
        self, callback: Callback, *args: Any, context: contextvars.Context | None = None
    ) -> Any:
        if context is None:
            context = contextvars.copy_context()
            process = self.current
        else:
            process = context.get(_PROCESS)
        handle = _Handle(callback, args, context, process)
        if not self._closed:
            self._ready.append(handle)
        return handle

    def call_later(  # type: ignore[override]  # typed more loosely
        self, delay: float, callback: Callback, *args: Any, context: contextvars.Context | None = None
    ) -> Any:
        return self.call_at(self._now + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]  # typed more loosely
        self, when: float, callback: Callback, *args: Any, context: contextvars.Context | None = None
    ) -> Any:
        process = self.current
        if context is None:
            context = contextvars.copy_context()
        else:
            process = context.get(_PROCESS)
        handle = _Handle(callback, args, context, process, when, Turn.TIMER)
        self._push(handle)
        return handle

    def _push(self, handle: _Handle) -> None:
        if not self._closed:
            self._sequence += 1
            heapq.heappush(self._timers, (handle.when_s, self._sequence, handle))

    def call_in(self, process: Process, when: float, callback: Callback, *args: Any) -> None:
        """Has `process` run the callback at `when`, as its kernel would."""
        if process.alive:
            self._push(_Handle(callback, args, process.context, process, when, Turn.INPUT))

    def call_outside(self, when: float, callback: Callback, *args: Any) -> Any:
        """Runs the callback at `when`, outside of any process."""
        return self.call_at(when, callback, *args, context=_OUTSIDE)

    def thaw(self, process: Process) -> None:
        """Resumes the process, first with what was postponed, in the order of `Turn`."""
        process.frozen = False
        postponed, process.postponed = process.postponed, []
        for _, action in sorted(postponed, key=itemgetter(0)):
            process.perform(action)

    # Running

    def run_until(self, end: float, should_continue: Callable[[], bool] = lambda: True) -> None:
        """Runs what is due until `end`, or until `should_continue` returns false."""
        asyncio._set_running_loop(self)  # noqa: SLF001 - asyncio's documented entry for event loops
        try:
            self._run(end, should_continue)
        finally:
            asyncio._set_running_loop(None)  # noqa: SLF001 - as above

    def _run(self, end: float, should_continue: Callable[[], bool]) -> None:
        ready, timers = self._ready, self._timers
        while should_continue():
            while ready:
                self._run_handle(ready.popleft())
            if not timers or timers[0][0] > end:
                self._now = max(self._now, end)
                return
            when, _, handle = heapq.heappop(timers)
            self._now = max(self._now, when)
            if not handle.is_cancelled:
                ready.append(handle)

    def _run_handle(self, handle: _Handle) -> None:
        if handle.is_cancelled:
            return
        process = handle.process
        if process is not None:
            if not process.alive:
                return
            if process.frozen:
                process.postponed.append((handle.turn, lambda: self._ready.append(handle)))
                return
        self.current = process
        try:
            handle.context.run(handle.callback, *handle.args)
        except Exception as error:  # noqa: BLE001 - the outermost edge: each error fails the run
            self.errors.append(f"{process.name if process else 'outside'}: {error!r}")
        finally:
            self.current = None

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return self._closed

    def close(self) -> None:
        """Drops all that is scheduled; nothing runs any more."""
        self._closed = True
        self._ready.clear()
        self._timers.clear()
        for task in self._tasks:
            coroutine: Any = task.get_coro()
            if (
                inspect.iscoroutine(coroutine)
                and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED
            ):
                coroutine.close()  # its process died before it began

    # What asyncio asks of a loop

    def get_debug(self) -> bool:
        return False

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, Any] | Coroutine[Any, Any, Any],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks.append(task)
        return task

    def run_in_executor(  # type: ignore[override]  # typed more loosely
        self, _executor: Any, func: Callable[..., Any], *args: Any
    ) -> Any:
        process = self.current
        assert process is not None, "only processes have blocking work"
        return process.host.run_blocking(self, process, lambda: func(*args))

    async def create_server(self, *arguments: Any, **named: Any) -> Any:
        assert self.create_server_at is not None
        return self.create_server_at(*arguments, **named)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not self._closed:
            self.errors.append(f"{context.get('message')}: {error!r}")

    def _timer_handle_cancelled(self, handle: Any) -> None:
        """Cancelled timers are dropped when they are due."""


_OUTSIDE = contextvars.copy_context()
