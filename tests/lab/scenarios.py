"""Small scenarios for the tests of the lab."""

from typing import Any

from pewterring.lab import scenario_file, schema
from pewterring.lab.account import Result
from pewterring.lab.faults import prepare
from pewterring.lab.world import World

SMALL: dict[str, Any] = {
    "version": 1,
    "name": "small",
    "duration_s": 6.0,
    "zones": ["a", "b"],
    "gatekeepers": {"count": 4, "start_spread_s": 0.1},
    "workers": {"count": 6, "cold_s": 4.0, "fallen_s": 1.0},
    "discovery": {"notice_s": 0.3, "silent_s": 1.0, "spread_s": 0.1},
    "front": {"notice_s": 0.5},
    "load": {"rate": 60.0},
    "classes": [
        {"name": "read", "share": 0.6, "work_s": 0.05, "aim_s": 0.6, "deadline_s": 2.0},
        {"name": "enter", "share": 0.2, "work_s": 0.05, "aim_s": 0.6, "deadline_s": 2.0, "effect": "keyed"},
        {
            "name": "approve",
            "share": 0.2,
            "work_s": 0.05,
            "aim_s": 0.6,
            "deadline_s": 2.0,
            "effect": "unsafe",
        },
    ],
    "plans": [{"name": "basic", "refill": 1.0, "depth": 4.0, "over_cost": 0.8}],
}


def small(**changes: Any) -> schema.Scenario:
    """The small scenario, with top-level tables changed key by key."""
    tree = {k: dict(v) if isinstance(v, dict) else v for k, v in SMALL.items()}
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(tree.get(key), dict):
            tree[key] |= value
        else:
            tree[key] = value
    return scenario_file.read(tree)


def play(scenario: schema.Scenario, seed: int = 1, policy: str = "") -> tuple[Result, World]:
    world = prepare(scenario, seed, policy)
    return world.run(), world
