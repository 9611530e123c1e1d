"""The calls of operators and workers and their answers, independent of the transport.

Defines the paths of the HTTP API and the HTTP method of each (docs/serving-tier.md).
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

# A version has at most 20 digits (64 bits). Python refuses to convert numbers of thousands of digits.
_VERSION = re.compile("0*([0-9]{1,20})")


class Endpoint(Enum):
    """The endpoints of the API: HTTP method, path, and whether the path ends with a name."""

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
    """One call. `path` contains no query; `base_version` is the value of the header `Base-Version`."""

    method: str
    path: str
    base_version: str = ""
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call: HTTP status, and a body in JSON."""

    status: int
    body: bytes = b"{}"


ACKNOWLEDGED = Answer(200)


def read_base_version(text: str) -> int | None:
    """Returns the number in a `Base-Version` header, or None if the text is not a number."""
    match = _VERSION.fullmatch(text)
    return int(match[1]) if match else None


def error_answer(status: int, reason: str) -> Answer:
    """Returns an answer with an error status and the reason."""
    return Answer(status, msgspec.json.encode({"error": reason}))


_ENDPOINTS = tuple(Endpoint)


def endpoint_at(path: str) -> Endpoint | None:
    """Returns the endpoint of a path, even if the name at its end is missing; None for an unknown path."""
    for endpoint in _ENDPOINTS:
        if path.startswith(endpoint.path) if endpoint.takes_name else path == endpoint.path:
            return endpoint
    return None
