"""Membership at several sizes and losses: SWIM as built, plain heartbeats, phi-accrual. Emulated datagrams.

    python benchmarks/membership.py [--sizes 5,50,200,500] [--losses 0,0.1,0.33] [--kinds swim,beats,phi]

For each: datagrams and bytes a second and instance; pairs in which a live one was missed, over two minutes
after a minute's start (false, a share of the looks); the time until the first and the last dropped a killed
one.
"""

import argparse
import time

from pewterring.lab.gossip import Fleet

START_S, WATCH_S, CHECK_INTERVAL_S, MOST_S = 60.0, 120.0, 5.0, 120.0


def play(kind: str, size: int, loss: float, seed: int) -> tuple[float, ...]:
    fleet = Fleet(size, seed, loss, kind=kind)
    fleet.run(START_S)
    sent, octets = fleet.sent, fleet.octets
    missed = looks = 0
    while fleet.engine.now < 1000.0 + START_S + WATCH_S:
        fleet.run(CHECK_INTERVAL_S)
        missed += fleet.wrong()[0]
        looks += size * (size - 1)
    rate, flow = ((x / WATCH_S / size) for x in (fleet.sent - sent, fleet.octets - octets))
    fleet.kill(size // 2)
    killed, first, last = fleet.engine.now, float("nan"), float("nan")
    while fleet.engine.now < killed + MOST_S:
        fleet.run(0.25)
        held = fleet.wrong()[1]
        if held < size - 1 and first != first:
            first = fleet.engine.now - killed
        if held == 0:
            last = fleet.engine.now - killed
            break
    return rate, flow, missed / looks, first, last


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--sizes", default="5,50,200,500")
    parser.add_argument("--losses", default="0,0.1,0.33")
    parser.add_argument("--kinds", default="swim,beats,phi")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    heads = ("kind", "size", "loss", "msgs/s", "bytes/s", "false", "first s", "last s", "wall s")
    print("".join(f"{head:>10}" for head in heads))
    for kind in given.kinds.split(","):
        for size in (int(n) for n in given.sizes.split(",")):
            for loss in (float(x) for x in given.losses.split(",")):
                began = time.perf_counter()
                rate, flow, false, first, last = play(kind, size, loss, given.seed)
                wall = f"{time.perf_counter() - began:.0f}"
                cells = (kind, size, f"{loss:g}", f"{rate:.1f}", f"{flow:.0f}", f"{false:.2%}")
                ends = (f"{first:.1f}", f"{last:.1f}", wall)
                print("".join(f"{cell!s:>10}" for cell in (*cells, *ends)), flush=True)


if __name__ == "__main__":
    main()
