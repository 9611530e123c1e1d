"""Command line of the soak."""

import argparse
import sys
from dataclasses import fields

from loguru import logger

from benchmarks.soak.play import Size, run_seed


def main() -> int:
    """Plays the runs and prints what each has seen; returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=1)
    for field in fields(Size):
        parser.add_argument(f"--{field.name}", type=int, default=field.default)
    options = vars(parser.parse_args())
    first, runs = options.pop("seed"), options.pop("runs")
    logger.remove()  # the client's own lines on surplus answers
    broken = 0
    for seed in range(first, first + runs):
        report = run_seed(seed, Size(**options))
        found = report.judge()
        broken += bool(found)
        print(f"seed {seed}: {'; '.join(found) or 'all rules held'} ({report.summary()})", flush=True)
    print(f"{runs} runs, {broken} with a broken rule", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
