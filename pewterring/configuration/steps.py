"""Work that grows with a document, cut into steps between which an event loop handles other events.

A step is bounded by the bytes that it reads, so that heartbeats, leases and streams do not wait for a large
document. Work is written as a generator that yields between its steps and returns its result.
"""

import asyncio
from collections.abc import Generator
from typing import TypeVar

Outcome = TypeVar("Outcome")
Steps = Generator[None, None, Outcome]

STEP_BYTES = 64 * 1024  # of a document, read by compiled code; documents up to this size are read at once


def is_large(document: bytes) -> bool:
    """Whether reading the document takes more than one step."""
    return len(document) > STEP_BYTES


def complete(steps: Steps[Outcome]) -> Outcome:
    """Runs all steps at once and returns their result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            outcome: Outcome = stop.value
            return outcome


async def complete_between_events(steps: Steps[Outcome]) -> Outcome:
    """Runs the steps one by one; the event loop handles other events after each."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            outcome: Outcome = stop.value
            return outcome
        await asyncio.sleep(0)


class StepMeter:
    """Counts the work since the last step ended, in bytes of a document."""

    def __init__(self) -> None:
        self._bytes = 0

    def is_step_full(self, work_bytes: int) -> bool:
        """Counts further work; True, and a new step begins, once the step has its share."""
        self._bytes += work_bytes
        if self._bytes < STEP_BYTES:
            return False
        self._bytes = 0
        return True
