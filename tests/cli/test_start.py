"""A program whose start waits, for room on a full disk, say, and the signal that ends it."""

import asyncio

import pytest

from pewterring.cli.tier import STOP_TIMEOUT_S, _make_when_disk_has_space, _start_unless_stopped
from pewterring.consensus.errors import StorageFullError
from tests.consensus.virtual_time import run

SIGNAL_S = 5.0


class SlowProgram:
    """Its start takes `start_s`, and fails with `error` if there is one."""

    def __init__(self, start_s: float, error: Exception | None = None) -> None:
        self.start_s = start_s
        self.error = error
        self.has_started = False

    async def start(self) -> None:
        await asyncio.sleep(self.start_s)
        if self.error is not None:
            raise self.error
        self.has_started = True

    async def stop(self) -> None:
        pass


def started(program: SlowProgram) -> bool:
    """Starts it, with a signal after a while."""

    async def scenario() -> bool:
        stopped = asyncio.Event()
        asyncio.get_running_loop().call_later(SIGNAL_S, stopped.set)
        return await _start_unless_stopped(program, stopped)

    return run(scenario())


@pytest.mark.parametrize("start_s", [0.0, SIGNAL_S - 0.1, SIGNAL_S + STOP_TIMEOUT_S - 0.1])
def test_a_start_that_ends_in_time_counts(start_s: float) -> None:
    program = SlowProgram(start_s)
    assert started(program)
    assert program.has_started


def test_a_start_that_waits_on_is_given_up_after_the_signal() -> None:
    program = SlowProgram(60.0)
    assert not started(program)
    assert not program.has_started


def test_a_start_that_fails_says_why() -> None:
    with pytest.raises(OSError, match="in use"):
        started(SlowProgram(1.0, OSError("the address is in use")))


def test_a_program_without_room_for_its_identity_is_made_once_there_is_some(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    program, tries = SlowProgram(0.0), []

    def make(*_arguments: object) -> SlowProgram:
        tries.append(asyncio.get_running_loop().time())
        if len(tries) < 4:
            raise StorageFullError("no room")
        return program

    async def scenario() -> object:
        return await _make_when_disk_has_space("control", None, asyncio.Event())  # type: ignore[arg-type]

    monkeypatch.setattr("pewterring.cli.tier._make_program", make)
    assert run(scenario()) is program
    assert len(tries) == 4
    assert tries[-1] > tries[0]
