"""Command line: plays orders on a tier of its own each, and prints what was seen."""

import argparse
import asyncio
import os
import random
import sys
import tempfile
from concurrent.futures import Executor, ProcessPoolExecutor
from pathlib import Path

from loguru import logger

from benchmarks.large_configurations.documents import encoded
from benchmarks.large_configurations.load import Load
from benchmarks.large_configurations.operator import Operator
from benchmarks.large_configurations.plays import PLAYS, SESSION_PROCESSES, Run
from benchmarks.large_configurations.tier import NotReadyError, new_tier
from benchmarks.soak.play import free_network
from pewterring.local import sample

FIRST_VERSION = 1  # that of the sample configuration
SETTLE_S = 1.0  # before and after the orders


async def play(name: str, gateways: int, stores: int, folder: Path, builders: Executor) -> str:
    """Plays one of `PLAYS` in an empty folder; returns what was seen in one line."""
    tier = new_tier(free_network(random.Random()), folder, gateways, stores)
    operator, load = Operator(tier), Load(tier)
    try:
        await tier.start()
        first = encoded(sample.configuration)
        await operator.order("Replace", first, 0, 60.0)
        await tier.until_serving()
        load.start()
        await asyncio.sleep(SETTLE_S)
        load.take()
        before = tier.leaders()
        said = await PLAYS[name](Run(tier, builders, operator, FIRST_VERSION))
        await asyncio.sleep(SETTLE_S)
        seen, after = load.take(), tier.leaders()
        await load.stop()
        peaks = ", ".join(f"{program} {peak}" for program, peak in tier.peak_memory_mb().items())
        ended = tier.fleet.ended_by_themselves()
    except NotReadyError as error:
        return f"{name}: {error}"
    finally:
        await tier.stop()
    probes = ", ".join(f"{program} {1000 * s:.0f}" for program, s in sorted(seen.longest_probe_s.items()))
    return (
        f"{name}: {'; '.join(said)}; new leaders: control {after.control - before.control}, "
        f"partition {after.partition - before.partition}; streams {dict(seen.streams)}, "
        f"longest {1000 * seen.longest_stream_s:.0f} ms; longest calls in ms: {probes}; "
        f"peak memory in MB: {peaks}" + "".join(f"; {text}" for text in ended)
    )


def main() -> int:
    """Plays what the command line names; returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.large_configurations", description=__doc__)
    parser.add_argument("plays", nargs="*", choices=[*PLAYS, []], help="default: all")
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--stores", type=int, default=3)
    options = parser.parse_args()
    logger.remove()  # the callers' own lines on connections that end
    print("load", *os.getloadavg(), flush=True)
    for name in options.plays or PLAYS:
        with (
            tempfile.TemporaryDirectory(prefix="pewterring-orders-") as folder,
            ProcessPoolExecutor(max_workers=SESSION_PROCESSES + 1) as builders,
        ):
            seen = asyncio.run(play(name, options.gateways, options.stores, Path(folder), builders))
            print(seen, flush=True)
    print("load", *os.getloadavg(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
