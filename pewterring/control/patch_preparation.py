"""Takes each large configuration apart between other events, so that the next patch finds it ready.

A patch that comes earlier takes the configuration apart at once, in the turn that applies it.
"""

import asyncio
import contextlib

from pewterring.configuration.steps import complete_between_events
from pewterring.control.state import ControlState


class PatchPreparation:
    """Owns the task that prepares the newest configuration. All methods are called on the event loop."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._prepared_version = state.version
        self._task: asyncio.Task[None] | None = None

    def state_changed(self) -> None:
        """Begins with the preparation of a new configuration, if none is being prepared."""
        if self._state.version == self._prepared_version or (
            self._task is not None and not self._task.done()
        ):
            return
        self._task = asyncio.get_running_loop().create_task(self._prepare())

    async def stop(self) -> None:
        """Ends the task."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _prepare(self) -> None:
        while self._state.version != self._prepared_version:
            self._prepared_version = self._state.version
            steps = self._state.preparation_steps()
            if steps is not None:
                await complete_between_events(steps)
