"""A large configuration is taken apart between other events, so that a patch of it costs its own size."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import msgspec
import orjson
import pytest

from pewterring.configuration.patch import apply_patch, parse_patch
from pewterring.control import configuration_history
from pewterring.control.commands import (
    Accepted,
    Invalid,
    PatchConfiguration,
    PutConfiguration,
    Result,
    encode_command,
)
from pewterring.control.patch_preparation import PatchPreparation
from pewterring.control.state import ControlState
from tests.configuration.large_documents import large, large_document
from tests.consensus.virtual_time import VirtualTimeLoop

Outcome = TypeVar("Outcome")
ROUTES = 300


def put(state: ControlState, version: int, routes: int = ROUTES) -> None:
    document = large(version, routes)
    result = state.apply(
        version, encode_command(PutConfiguration(state.version, version, str(version), msgspec.Raw(document)))
    )
    assert result == Accepted()


def patch_body(version: int, service: str = "svc0") -> bytes:
    route = large_document(routes=ROUTES + version)["routes"][-1]
    return orjson.dumps({"version": version, "upsert": {"routes": [{**route, "weighted_backends": [
        {"backend": service, "weight": 1}]}]}})  # fmt: skip


def patch(state: ControlState, version: int, service: str = "svc0") -> Result:
    body = msgspec.Raw(patch_body(version, service))
    return state.apply(
        version, encode_command(PatchConfiguration(state.version, version, f"patch-{version}", body))
    )


def run(action: Awaitable[Outcome]) -> Outcome:
    async def awaited() -> Outcome:
        return await action

    with contextlib.closing(VirtualTimeLoop()) as loop:
        return loop.run_until_complete(awaited())


def no_steps(_document: bytes) -> None:
    raise AssertionError("the configuration is taken apart once more")


def test_patches_of_a_prepared_configuration_do_not_take_it_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a patch of one route that held each machine of control for 74 ms and more."""
    state = ControlState()
    preparation = PatchPreparation(state)

    async def scenario() -> None:
        put(state, 1)
        preparation.state_changed()
        await asyncio.sleep(1)

    run(scenario())
    expected = bytes(state.document)
    monkeypatch.setattr(configuration_history, "patchable_steps", no_steps)
    assert isinstance(patch(state, 2, "nobody"), Invalid)
    for version in (2, 3, 4):
        assert patch(state, version) == Accepted()
        expected = apply_patch(expected, parse_patch(patch_body(version)))
        assert bytes(state.document) == expected


def test_a_patch_that_comes_before_the_preparation_ends_has_the_same_result() -> None:
    prepared, unprepared = ControlState(), ControlState()

    async def scenario() -> None:
        preparation = PatchPreparation(prepared)
        put(prepared, 1)
        preparation.state_changed()
        await asyncio.sleep(0)
        assert patch(prepared, 2) == Accepted()
        preparation.state_changed()
        await asyncio.sleep(1)
        assert patch(prepared, 3) == Accepted()
        await preparation.stop()

    run(scenario())
    put(unprepared, 1)
    for version in (2, 3):
        patch(unprepared, version)
    assert prepared.snapshot() == unprepared.snapshot()


def test_a_replaced_configuration_and_a_restored_one_are_prepared_anew() -> None:
    state, other = ControlState(), ControlState()
    put(other, 9, routes=200)

    async def scenario() -> None:
        preparation = PatchPreparation(state)
        changes: list[Callable[[], None]] = [
            partial(put, state, 1),
            partial(put, state, 2, 200),
            partial(state.restore, other.snapshot()),
        ]
        for change in changes:
            change()
            preparation.state_changed()
            await asyncio.sleep(1)
            assert state.preparation_steps() is None
        await preparation.stop()

    run(scenario())
    assert patch(state, 10) == patch(other, 10) == Accepted()
    assert bytes(state.document) == bytes(other.document)


def test_a_small_configuration_is_not_kept_apart() -> None:
    state = ControlState()
    put(state, 1, routes=1)
    assert state.preparation_steps() is None
    assert patch(state, 2) == Accepted()
