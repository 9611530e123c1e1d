"""What a worker says of itself in a heartbeat."""

import ipaddress
from typing import Annotated

import msgspec

from pewterring.distribution.messages import RegistrationState, WorkerRecord

MAX_CAPACITY = 1_000_000
MAX_PORT = 65535


class InvalidHeartbeat(Exception):
    """The body of a heartbeat cannot be used."""


class LoadedModel(msgspec.Struct, frozen=True):
    """One model that the worker holds."""

    name: str = ""
    version: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of a heartbeat. Unknown fields are ignored; `sequence` rises with each call."""

    backend: str
    address: str  # IP:port
    zone: str = ""
    version: str = ""
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)] = 1
    state: str = RegistrationState.READY
    cold_remaining_ms: float = 0.0
    stage: str = ""
    models: tuple[LoadedModel, ...] = ()
    sequence: int = 0

    def record(self, worker_id: str) -> WorkerRecord:
        """What is kept of the worker. Any state other than ready counts as draining."""
        return WorkerRecord(
            id=worker_id,
            service=self.backend,
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
    """Decodes a heartbeat, or raises `InvalidHeartbeat`.

    What is taken goes to all gateways, which connect to the address as it stands.
    """
    try:
        heartbeat = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise InvalidHeartbeat(str(error)) from error
    if not _is_address(heartbeat.address):
        raise InvalidHeartbeat(f"address: not IP:port: {heartbeat.address!r}")
    return heartbeat


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return (
        port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT)) and 0 < int(port) <= MAX_PORT
    )
