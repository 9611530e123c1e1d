"""The whole program under seeded schedules of all that can end at a wrong instant (see `schedules`)."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from pewterring.standalone.network.workers import Pool
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import Fleet
from pewterring.standalone.proxy.service import Service
from tests.standalone.schedules import BARE, FREE, played

SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_owed_is_left_at_any_instant(seed: int) -> None:
    wrong = played(seed, FREE if seed % 2 else BARE)
    assert not wrong, f"seed {seed}:\n" + "\n".join(wrong)


def reuse_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("pewterring.standalone.network.workers.REST_PART", float("inf"))


def no_drain_check(patch: pytest.MonkeyPatch) -> None:
    update = Fleet.update

    def careless(self: Fleet, now: float, event: interface.ServerList) -> None:
        servers = tuple(replace(server, mode=interface.Mode.SERVING) for server in event.servers)
        update(self, now, replace(event, servers=servers))

    patch.setattr(Fleet, "update", careless)
    patch.setattr(Pool, "retain", lambda self, targets: None)


def early_close_of_the_listener(patch: pytest.MonkeyPatch) -> None:
    end = Service.end

    async def hasty(self: Service) -> None:
        assert self.listener is not None
        self.listener.close()
        await end(self)

    patch.setattr(Service, "end", hasty)


@pytest.mark.parametrize(
    ("broken", "shows"),
    [
        (reuse_at_once, "was answered with"),
        (no_drain_check, "which drains"),
        (early_close_of_the_listener, "found a closed door"),
    ],
)
def test_a_breakage_of_the_program_is_caught(
    broken: Callable[[pytest.MonkeyPatch], None], shows: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    broken(monkeypatch)
    for seed in SEEDS:
        if any(shows in line for line in played(seed, FREE if seed % 2 else BARE)):
            return
    pytest.fail(f"no seed of {SEEDS} shows it")
