"""python -m pewterring.standalone.simulator: runs one GatewayPolicy for each gateway of the simulation.

Reads batches of events from standard input and writes the resulting actions to standard output.
"""

import sys
import traceback
from collections.abc import Iterator
from typing import TextIO

from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.simulator import codec


def reply_lines(batch: codec.Batch, policies: dict[str, GatewayPolicy]) -> Iterator[str]:
    """Yields the reply lines for one batch and updates `policies`, the running gateways by name."""
    for gateway, event in batch.events:
        if isinstance(event, codec.Started):
            policies[gateway] = GatewayPolicy(event.settings, event.seed)
        elif isinstance(event, codec.Killed):
            policies.pop(gateway, None)
        elif gateway not in policies:
            raise codec.WireError(f"event for gateway {gateway!r}, which is not running")
        else:
            try:
                for action in policies[gateway].handle(batch.now, event):
                    yield codec.write_action(gateway, action)
            except Exception as error:
                traceback.print_exc()
                yield codec.write_exception(gateway, repr(error))
    yield "done"


def serve(lines: Iterator[str], output: TextIO) -> None:
    """Replies to each batch in `lines` on `output`. Raises WireError for malformed input."""
    policies: dict[str, GatewayPolicy] = {}
    for batch in codec.read_batches(lines):
        output.write("\n".join(reply_lines(batch, policies)) + "\n")
        output.flush()


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
