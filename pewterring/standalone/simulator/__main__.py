"""python -m pewterring.standalone.simulator: one GatewayPolicy for each instance on the simulator's wire."""

import sys
import traceback
from collections.abc import Iterator
from typing import TextIO

from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.simulator import codec


def answer(batch: codec.Batch, held: dict[str, GatewayPolicy]) -> Iterator[str]:
    """The lines of the reply to one batch; `held` is the instances that run."""
    for who, event in batch.events:
        if isinstance(event, codec.Started):
            held[who] = GatewayPolicy(event.settings, event.seed)
        elif isinstance(event, codec.Killed):
            held.pop(who, None)
        elif who not in held:
            raise codec.WireError(f"an event for {who!r}, which does not run")
        else:
            try:
                for action in held[who].handle(batch.now, event):
                    yield codec.write_action(who, action)
            except Exception as error:
                traceback.print_exc()
                yield codec.write_exception(who, repr(error))
    yield "done"


def serve(lines: Iterator[str], out: TextIO) -> None:
    held: dict[str, GatewayPolicy] = {}
    for batch in codec.read_batches(lines):
        out.write("\n".join(answer(batch, held)) + "\n")
        out.flush()


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    try:
        serve(iter(sys.stdin), sys.stdout)
    except (codec.WireError, UnicodeDecodeError) as error:
        print(f"pewterring.standalone.simulator: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
