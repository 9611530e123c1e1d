"""How fast the emulator is, and what share of that is the decision module's.

    python benchmarks/lab_speed.py [--gatekeepers 10,200] [--workers 200] [--rate 3000] [--seconds 60]

One core. For each size: events and simulated requests a wall second, the cost of a request, the module's part
of it. Figures hold for the machine that printed them; nothing here is asserted in CI.
"""

import argparse
import platform
import time
from collections.abc import Sequence
from pathlib import Path

from pewterring.lab import scenario_file
from pewterring.lab.faults import prepare
from pewterring.lab.policies import POLICIES, LabAction, Policy
from pewterring.standalone.policy import interface as i

CALM = Path(__file__).resolve().parent.parent / "examples" / "lab" / "calm.toml"


class Timed:
    """A policy whose time is taken."""

    spent = 0.0

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.inner: Policy = POLICIES["pewterring"](settings, seed)
        self.reason = ""

    def handle(self, now: float, event: i.Event) -> Sequence[LabAction]:
        began = time.perf_counter()
        actions = self.inner.handle(now, event)
        Timed.spent += time.perf_counter() - began
        self.reason = self.inner.reason
        return actions

    def ceiling(self) -> float:
        return self.inner.ceiling()

    def share(self) -> float:
        return self.inner.share()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--gatekeepers", default="10,200")
    parser.add_argument("--workers", type=int, default=200)
    parser.add_argument("--rate", type=float, default=3000.0)
    parser.add_argument("--seconds", type=float, default=60.0)
    given = parser.parse_args()
    POLICIES["timed"] = Timed
    print(f"{platform.processor() or platform.machine()}, Python {platform.python_version()}, one core")
    print(f"{given.workers} workers, {given.rate:g} requests/s inside the quotas, {given.seconds:g} s")
    heads = ("gatekeepers", "wall s", "events/s", "requests/s", "us/request", "module", "rest us")
    print("".join(f"{head:>12}" for head in heads))
    rests = []
    for count in (int(n) for n in given.gatekeepers.split(",")):
        sets = [f"gatekeepers.count={count}", f"workers.count={given.workers}", f"duration_s={given.seconds}"]
        scenario = scenario_file.load(CALM, [*sets, f"load={{rate = {given.rate}}}"])
        Timed.spent = 0.0
        world = prepare(scenario, 1, "timed")
        began = time.perf_counter()
        result = world.run()
        wall = time.perf_counter() - began
        asked = result.counts["intents"]
        rests.append((wall - Timed.spent) / asked * 1e6)
        row = (
            f"{wall:.1f}",
            f"{result.events / wall:.0f}",
            f"{asked / wall:.0f}",
            f"{wall / asked * 1e6:.0f}",
        )
        more = (f"{Timed.spent / wall:.0%}", f"{rests[-1]:.0f}")
        print("".join(f"{cell:>12}" for cell in (str(count), *row, *more)), flush=True)
    if len(rests) > 1:
        times = rests[-1] / rests[0]
        print(f"beyond the module a request costs {times:.2f} times as much at the last size as at the first")


if __name__ == "__main__":
    main()
