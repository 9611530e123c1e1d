"""`python -m tests.simulation --seed N --schedules M`: plays schedules N to N + M - 1, shrinks what fails."""

import argparse
import os
import sys
import time

from tests.simulation.play import Verdict, play
from tests.simulation.schedule import draw
from tests.simulation.shrink import shrink

PROGRESS_EVERY = 100  # schedules


def main() -> int:
    """Returns 1 if a schedule failed."""
    parser = argparse.ArgumentParser(prog="python -m tests.simulation", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first schedule")
    parser.add_argument("--schedules", type=int, default=20)
    parser.add_argument("--keep-going", action="store_true", help="play on after failures")
    arguments = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":  # the order of sets is part of a run
        command = [sys.executable, "-m", "tests.simulation", *sys.argv[1:]]
        os.execve(sys.executable, command, os.environ | {"PYTHONHASHSEED": "0"})
    began_s = time.monotonic()
    failed = orders = 0
    repair_s = 0.0
    for seed in range(arguments.seed, arguments.seed + arguments.schedules):
        verdict = play(draw(seed))
        orders += verdict.orders
        repair_s = max(repair_s, verdict.repair_s)
        if (seed - arguments.seed + 1) % PROGRESS_EVERY == 0:
            print(f"seed {seed} played, {failed} failed so far", flush=True)
        if not verdict.failed:
            continue
        failed += 1
        print(f"seed {seed} failed: {verdict.violations[0]}", flush=True)
        if not arguments.keep_going:
            _print_shortest(verdict)
            break
    played = seed - arguments.seed + 1
    took = time.monotonic() - began_s
    print(
        f"{played} schedules from seed {arguments.seed}, {orders} orders, {failed} failed, {took:.0f} s; "
        f"redundancy was whole again {repair_s:.2f} s after a return at the latest"
    )
    return 1 if failed else 0


def _print_shortest(verdict: Verdict) -> None:
    shortest = shrink(verdict.schedule, lambda schedule: play(schedule).failed)
    repeated = play(shortest)
    print(f"shortest: {shortest}")
    print("\n".join(("what happened:", *repeated.log, "what was wrong:", *repeated.violations)), flush=True)


if __name__ == "__main__":
    sys.exit(main())
