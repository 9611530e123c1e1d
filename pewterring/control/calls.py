"""A call of the operator or a worker, and the answer, apart from how they are carried."""

import re
from dataclasses import dataclass, field

import msgspec

HEARTBEAT_PATH = "/v1/Instances.Heartbeat/"
DEREGISTER_PATH = "/v1/Instances.Deregister/"
REPLACE_PATH = "/v1/Config.Replace"
UPDATE_PATH = "/v1/Config.Update"
READ_PATH = "/v1/Config.Get"
DECOMMISSION_START_PATH = "/v1/Retire.Start/"
DECOMMISSION_STATUS_PATH = "/v1/Retire.Get/"
STATUS_PATH = "/v1/Tier.Status"

# Versions have 20 digits at most (64 bits). Python refuses to convert numbers of thousands of digits.
_VERSION = re.compile("0*([0-9]{1,20})")


@dataclass(frozen=True, slots=True)
class Call:
    """One call. `path` has no query; `base_version` is the header of that name."""

    method: str
    path: str
    base_version: str = ""
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """What the caller gets; `body` is JSON."""

    status: int
    body: bytes = b"{}"


def read_base_version(text: str) -> int | None:
    """The number in a `Base-Version` header, or None where there is none."""
    match = _VERSION.fullmatch(text)
    return int(match[1]) if match else None


def error_answer(status: int, reason: str) -> Answer:
    """An answer that is not 2xx and says why."""
    return Answer(status, msgspec.json.encode({"error": reason}))


def known_method(path: str) -> str | None:
    """The method that the path is called with, or None for an unknown path."""
    if path in (READ_PATH, STATUS_PATH) or path.startswith(DECOMMISSION_STATUS_PATH):
        return "GET"
    if path in (REPLACE_PATH, UPDATE_PATH) or path.startswith(
        (HEARTBEAT_PATH, DEREGISTER_PATH, DECOMMISSION_START_PATH)
    ):
        return "POST"
    return None
