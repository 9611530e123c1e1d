"""Decoding and validation of the heartbeats that workers send to control.

Accepted values are committed and sent to all gateways, which connect to the address without checking it.
"""

import ipaddress
from typing import Annotated

import msgspec

from pewterring.distribution.messages import RegistrationState, WorkerRecord

MAX_CAPACITY = 1_000_000  # concurrent requests: more than any worker serves, and sums of it stay exact
MAX_PORT = 65535


class InvalidHeartbeatError(Exception):
    """The body of a heartbeat is invalid; the message names the field. The worker has to send another."""


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that the worker has loaded."""

    name: str = ""
    version: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of a heartbeat. Unknown fields are ignored; `sequence` increases with each call."""

    service: str = msgspec.field(name="backend")  # name on the wire
    address: str  # IP:port
    zone: str = ""
    version: str = ""
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)] = 1
    state: str = RegistrationState.READY
    warm_up_remaining_ms: float = msgspec.field(name="cold_remaining_ms", default=0.0)  # name on the wire
    stage: str = ""
    models: tuple[LoadedModel, ...] = ()
    sequence: int = 0

    def record(self, worker_id: str) -> WorkerRecord:
        """Builds the record to commit for the worker. Any state other than ready counts as draining."""
        return WorkerRecord(
            id=worker_id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            state=RegistrationState.READY
            if self.state == RegistrationState.READY
            else RegistrationState.DRAINING,
            models=tuple(model.name for model in self.models),
        )


_decoder = msgspec.json.Decoder(Heartbeat, strict=False)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decodes the body of a heartbeat.

    Raises:
        InvalidHeartbeatError: The body is malformed, or a gateway could not connect to its address.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise InvalidHeartbeatError(str(error)) from error
    if not _is_address(heartbeat.address):
        raise InvalidHeartbeatError(f"address: not IP:port: {heartbeat.address!r}")
    return heartbeat


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return _is_port(port)


def _is_port(text: str) -> bool:
    """Whether the text is a port number. Checks its length first, as it may have millions of digits."""
    if not (text.isascii() and text.isdecimal()) or len(text) > len(str(MAX_PORT)):
        return False
    return 0 < int(text) <= MAX_PORT
