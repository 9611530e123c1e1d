"""The calls of the operator and the workers, and their answers, apart from how they are carried.

Owns the paths of the HTTP API and the methods that they are called with (docs/serving-tier.md).
"""

import re
from dataclasses import dataclass, field
from enum import Enum

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


class Endpoint(Enum):
    """What can be called: the method, the path, and whether the path goes on with a name."""

    HEARTBEAT = ("POST", HEARTBEAT_PATH, True)
    DEREGISTER = ("POST", DEREGISTER_PATH, True)
    REPLACE_CONFIGURATION = ("POST", REPLACE_PATH, False)
    UPDATE_CONFIGURATION = ("POST", UPDATE_PATH, False)
    READ_CONFIGURATION = ("GET", READ_PATH, False)
    START_DECOMMISSIONING = ("POST", DECOMMISSION_START_PATH, True)
    READ_DECOMMISSIONING = ("GET", DECOMMISSION_STATUS_PATH, True)
    READ_STATUS = ("GET", STATUS_PATH, False)

    def __init__(self, method: str, path: str, takes_name: bool) -> None:
        self.method = method
        self.path = path
        self.takes_name = takes_name


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
    """Returns the number in a `Base-Version` header, or None where there is none."""
    match = _VERSION.fullmatch(text)
    return int(match[1]) if match else None


def error_answer(status: int, reason: str) -> Answer:
    """Returns an answer that is not 2xx and says why."""
    return Answer(status, msgspec.json.encode({"error": reason}))


_ENDPOINTS = tuple(Endpoint)


def endpoint_at(path: str) -> Endpoint | None:
    """Returns the endpoint of a path, also where its name is missing; None for an unknown path."""
    for endpoint in _ENDPOINTS:
        if path.startswith(endpoint.path) if endpoint.takes_name else path == endpoint.path:
            return endpoint
    return None
