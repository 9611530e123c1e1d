"""The whole program under seeded schedules of disconnects, drains and reloads (see `schedules`)."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from pewterring.standalone.network.workers import Pool
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import ServerPool
from pewterring.standalone.proxy.service import Service
from tests.standalone.schedules import FULL_LIMITS, MINIMAL_LIMITS, run_schedule

SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_request_is_answered_under_random_schedules(seed: int) -> None:
    violations = run_schedule(seed, FULL_LIMITS if seed % 2 else MINIMAL_LIMITS)
    assert not violations, f"seed {seed}:\n" + "\n".join(violations)


def reuse_connections_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("pewterring.standalone.network.workers.REUSE_DELAY_DIVISOR", float("inf"))


def ignore_draining(patch: pytest.MonkeyPatch) -> None:
    update = ServerPool.update

    def update_as_serving(self: ServerPool, now: float, event: interface.ServerList) -> None:
        servers = tuple(replace(server, mode=interface.Mode.SERVING) for server in event.servers)
        update(self, now, replace(event, servers=servers))

    patch.setattr(ServerPool, "update", update_as_serving)
    patch.setattr(Pool, "retain", lambda self, targets: None)


def close_listener_early(patch: pytest.MonkeyPatch) -> None:
    end = Service.end

    async def close_first(self: Service) -> None:
        assert self.listener is not None
        self.listener.close()
        await end(self)

    patch.setattr(Service, "end", close_first)


@pytest.mark.parametrize(
    ("breakage", "expected"),
    [
        (reuse_connections_at_once, "was answered with"),
        (ignore_draining, "which is draining"),
        (close_listener_early, "could not connect"),
    ],
)
def test_the_schedules_detect_a_broken_program(
    breakage: Callable[[pytest.MonkeyPatch], None], expected: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    breakage(monkeypatch)
    for seed in SEEDS:
        if any(expected in line for line in run_schedule(seed, FULL_LIMITS if seed % 2 else MINIMAL_LIMITS)):
            return
    pytest.fail(f"no seed of {SEEDS} shows it")
