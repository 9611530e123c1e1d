"""An order that changes one route among many, as a patch and as a whole configuration.

    python benchmarks/patches.py

Prints, for 500 and 5,000 routes: bytes of the order as it stands in the log, milliseconds of processor time
to check it on arrival, to apply it at one member, and to read the configuration that comes of it at one
gateway, and the bytes that the feed sends to a gateway. No sockets, no disk: the rest of an acknowledgement
is the same for both forms.
"""

import time
from collections.abc import Callable

import msgspec
import orjson

from pewterring.configuration.reader import read_configuration
from pewterring.configuration.validation import ValidatedDocument, validate_configuration, validate_patch
from pewterring.control.commands import (
    Accepted,
    Command,
    PatchConfiguration,
    PutConfiguration,
    encode_command,
)
from pewterring.control.state import ControlState

SIZES = (500, 5000)
REPEATS = 5


def routes(count: int, timeout_ms: int) -> list[dict[str, object]]:
    """Routes of which the first has a timeout of its own."""
    return [
        {
            "name": f"r-{number}",
            "hostname": "h.example",
            "path_prefix": f"/p{number}/",
            "route_type": "idempotent",
            "timeout_ms": timeout_ms if number == 0 else 5000,
            "backend": "s",
        }
        for number in range(count)
    ]


def document(version: int, count: int) -> bytes:
    """A whole configuration."""
    services = [{"name": "s"}]
    return orjson.dumps({"version": version, "routes": routes(count, version), "backends": services})


def patch(version: int) -> bytes:
    """The same change as a patch."""
    return orjson.dumps({"version": version, "upsert": {"routes": routes(1, version)}})


def put_of(wanted: ValidatedDocument) -> Command:
    """The command of a whole configuration on version 1."""
    return PutConfiguration(1, wanted.version, wanted.digest, msgspec.Raw(wanted.document))


def patch_of(wanted: ValidatedDocument) -> Command:
    """The command of a patch of version 1."""
    return PatchConfiguration(1, wanted.version, wanted.digest, msgspec.Raw(wanted.document))


def least_ms(action: Callable[[], object]) -> float:
    """Processor time of the quickest of some runs."""
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        action()
        times.append(time.process_time() - began)
    return 1000 * min(times)


def measure(form: str, count: int) -> None:
    """Prints one line."""
    check, command_of = (validate_configuration, put_of) if form == "whole" else (validate_patch, patch_of)
    body = document(2, count) if form == "whole" else patch(2)
    first = validate_configuration(document(1, count))
    base = ControlState()
    base.apply(1, encode_command(PutConfiguration(0, 1, first.digest, msgspec.Raw(first.document))))
    snapshot = base.snapshot()
    command = encode_command(command_of(check(body)))

    def applied() -> bytes:
        state = ControlState()
        state.restore(snapshot)
        assert state.apply(2, command) == Accepted()
        return bytes(state.document)

    def restored() -> None:
        ControlState().restore(snapshot)

    apply_ms = max(0.0, least_ms(applied) - least_ms(restored))
    result = applied()
    print(
        f"{count:>6} {form:<6} log {len(command):>7} B  check {least_ms(lambda: check(body)):8.2f} ms"
        f"  apply {apply_ms:7.2f} ms  gateway {least_ms(lambda: read_configuration(result)):8.2f} ms"
        f"  feed {len(result):>7} B"
    )


if __name__ == "__main__":
    for size in SIZES:
        for kind in ("whole", "patch"):
            measure(kind, size)
