"""The engine's interface on the event loop's clock: what a run plans happens in real time."""

import asyncio
from collections.abc import Callable
from typing import Any

from pewterring.lab.engine import START, Engine


class RealEngine(Engine):
    """`now` is the loop's clock, begun at START. `due` is when what happens now was to happen: open-loop
    arrivals count from there, however late the loop comes to them (no coordinated omission)."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.began = loop, loop.time()
        self.events, self.planned = 0, 0.0
        self.latest = 0.0  # the longest that anything had to wait for the loop, in seconds
        self.failed: list[BaseException] = []

    @property
    def now(self) -> float:  # type: ignore[override]
        return START + self.loop.time() - self.began

    @property
    def due(self) -> float:
        return self.planned or self.now

    def at(self, when: float, what: Callable[..., None], *given: Any) -> None:
        self.loop.call_at(self.began + when - START, self.do, when, what, given)

    def after(self, delay: float, what: Callable[..., None], *given: Any) -> None:
        self.at(self.now + delay, what, *given)

    def do(self, when: float, what: Callable[..., None], given: tuple[Any, ...]) -> None:
        self.events += 1
        self.latest = max(self.latest, self.now - when)
        self.planned = when
        try:
            what(*given)
        except Exception as error:
            self.failed.append(error)
        finally:
            self.planned = 0.0
