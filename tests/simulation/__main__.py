"""`python -m tests.simulation --seed N --schedules M`: plays schedules N to N + M - 1, shrinks what fails."""

import argparse
import os
import sys
import time
from dataclasses import dataclass

from tests.simulation.play import Verdict, play
from tests.simulation.schedule import draw
from tests.simulation.shrink import shrink

PROGRESS_EVERY = 100  # schedules


@dataclass(slots=True)
class _Totals:
    """What the schedules played so far showed."""

    schedules: int = 0
    orders: int = 0  # acknowledged
    failed: int = 0
    repair_s: float = 0.0  # the longest

    def add(self, verdict: Verdict) -> None:
        """Counts one more schedule."""
        self.schedules += 1
        self.orders += verdict.orders
        self.failed += verdict.failed
        self.repair_s = max(self.repair_s, verdict.repair_s)


def main() -> int:
    """Plays the schedules and prints the totals; returns 1 if one failed."""
    arguments = _parse_arguments()
    if os.environ.get("PYTHONHASHSEED") != "0":  # the order of sets is part of a run
        command = [sys.executable, "-m", "tests.simulation", *sys.argv[1:]]
        os.execve(sys.executable, command, os.environ | {"PYTHONHASHSEED": "0"})
    began_s = time.monotonic()
    totals = _play_all(arguments)
    elapsed_s = time.monotonic() - began_s
    print(
        f"{totals.schedules} schedules from seed {arguments.seed}, {totals.orders} orders, "
        f"{totals.failed} failed, {elapsed_s:.0f} s; "
        f"redundancy was whole again {totals.repair_s:.2f} s after a return at the latest"
    )
    return 1 if totals.failed else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.simulation", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first schedule")
    parser.add_argument("--schedules", type=int, default=20)
    parser.add_argument(
        "--changing-limits", action="store_true", help="change the limits of batch jobs during each run"
    )
    parser.add_argument(
        "--rare-snapshots", action="store_true", help="let members go without snapshots for the whole run"
    )
    parser.add_argument("--keep-going", action="store_true", help="play on after failures")
    return parser.parse_args()


def _play_all(arguments: argparse.Namespace) -> _Totals:
    """Plays the schedules in turn, up to the first failure unless it is to keep going."""
    totals = _Totals()
    for seed in range(arguments.seed, arguments.seed + arguments.schedules):
        verdict = play(draw(seed, arguments.changing_limits, arguments.rare_snapshots))
        failed_before = totals.failed
        totals.add(verdict)
        if totals.schedules % PROGRESS_EVERY == 0:
            print(f"seed {seed} played, {failed_before} failed so far", flush=True)
        if not verdict.failed:
            continue
        print(f"seed {seed} failed: {verdict.violations[0]}", flush=True)
        if not arguments.keep_going:
            _print_shortest(verdict)
            break
    return totals


def _print_shortest(verdict: Verdict) -> None:
    shortest = shrink(verdict.schedule, lambda schedule: play(schedule).failed)
    repeated = play(shortest)
    print(f"shortest: {shortest}")
    print("\n".join(("what happened:", *repeated.log, "what was wrong:", *repeated.violations)), flush=True)


if __name__ == "__main__":
    sys.exit(main())
