"""Each invariant of the lab catches a policy that breaks its rule, and the real one breaks none."""

from collections.abc import Callable
from typing import Any

import pytest

from pewterring.lab import schema
from pewterring.lab.policies import POLICIES, Baseline, LabAction
from pewterring.standalone.policy import interface as i
from tests.lab.scenarios import play, small


class Mute(Baseline):
    """Holds every seventh request for ever."""

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        if isinstance(event, i.Request) and event.id % 7 == 0:
            return []
        return super().handle(now, event)


class SecondThoughts(Baseline):
    """Refuses, then sends all the same."""

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        if isinstance(event, i.Request):
            return [i.Refuse(event.id), i.Send(event.id, self.serving[0])]
        return super().handle(now, event)


class Stubborn(Baseline):
    """Sends whatever failed once more."""

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        if isinstance(event, i.Outcome) and not event.no_more and event.attempt == 0:
            return [i.Send(event.id, self.rng.choice(self.serving))]
        return super().handle(now, event)


class Glib(Baseline):
    """Says of all that failed that it may be asked again."""

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        actions = super().handle(now, event)
        return [i.Refuse(a.id) if isinstance(a, i.Fail) else a for a in actions]


class Copies(Baseline):
    """Two attempts of each request at once."""

    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        actions = super().handle(now, event)
        return [a for a in actions for _ in range(1 + isinstance(a, i.Send))]


class Deaf(Baseline):
    """Never lets go of a worker that it has once been told of."""

    def listed(self, event: i.ServerList) -> None:
        self.servers.update((s.id, s) for s in event.servers)
        self.serving = sorted(self.servers)


class Newest(Baseline):
    """All to the worker that started last."""

    def listed(self, event: i.ServerList) -> None:
        super().listed(event)
        self.serving = sorted(self.serving, key=lambda id: self.servers[id].came_up)[-1:]


class Chatty(Baseline):
    def handle(self, now: float, event: i.Event) -> list[LabAction]:
        talk: list[LabAction] = [i.Tell(None, bytes(257))] if isinstance(event, i.Request) else []
        return talk + super().handle(now, event)


RELEASE = [{"kind": "release", "at_s": 1.0, "for_s": 1.0, "part": 0.5, "batches": 2, "drain_s": 3.0}]
SPOILT = [{"kind": "spoilt_answers", "at_s": 1.0, "part": 1.0, "share": 0.3}]
CAPPED = [
    {"name": "capped", "refill": 1.0, "depth": 4.0, "cap_rate": 1.0, "cap_depth": 4.0, "cap_slack": 0.5}
]
WRONG: list[tuple[Callable[[i.Settings, int], Any], int, dict[str, Any], str]] = [
    (Mute, 1, {}, "has not answered"),
    (SecondThoughts, 1, {}, "does not hold"),
    (Stubborn, 2, {"faults": SPOILT}, "again"),
    (Glib, 2, {"faults": SPOILT}, "refused as harmless"),
    (Copies, 2, {"gatekeepers": {"count": 2, "may_duplicate": False}}, "copies are not allowed"),
    (Deaf, 3, {"faults": RELEASE}, "after its end was told"),
    (Newest, 4, {"faults": RELEASE, "load": {"rate": 120.0}}, "from those told"),
    (
        type("All", (Baseline,), {}),
        5,
        {"plans": CAPPED, "customers": {"heavy": 0.9, "full": 0.0, "spiky": 0.0}},
        "stands at",
    ),
    (Chatty, 6, {}, "257 bytes"),
]


@pytest.mark.parametrize(
    ("policy", "rule", "changes", "said"), WRONG, ids=[f"{rule}-{p.__name__}" for p, rule, _, _ in WRONG]
)
def test_a_wrong_policy_is_caught(
    policy: Any, rule: int, changes: dict[str, Any], said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(POLICIES, "wrong", policy)
    result, world = play(small(**changes), policy="wrong")
    assert world.broken is not None and world.broken.rule == rule, result.broken
    assert said in result.broken
    if rule in (1, 2, 3, 5):
        assert world.broken.request > 0
    assert play(small(**changes), policy="wrong")[0].broken == result.broken  # its seed shows it again


KINDS = [str(f.__struct_config__.tag) for f in schema.FAULTS]


@pytest.mark.parametrize("kind", KINDS)
def test_the_real_module_keeps_the_rules_in_each_fault(kind: str) -> None:
    fault: dict[str, Any] = {"kind": kind, "at_s": 1.5, "for_s": 1.5}
    if kind == "zone_cut":
        fault["zone"] = "b"
    result, world = play(small(faults=[fault]))
    assert not result.broken
    counts = result.counts
    # Each client's request has come to an end, and what was taken was checked.
    assert counts["served"] > 0
    assert world.rules.checked[1] > 0
    assert sum(len(h.calls) + len(h.out) for h in world.hosts) == 0
    assert all(w.in_service == 0 and w.lined_up == 0 for w in world.workers if w.state == "up")
