"""What a worker says of itself in a heartbeat."""

import msgspec

from pewterring.distribution.messages import WorkerRecord

READY = "ready"
DRAINING = "draining"


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
    capacity: int = 1
    state: str = READY
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
            state=READY if self.state == READY else DRAINING,
            models=tuple(model.name for model in self.models),
        )


_decoder = msgspec.json.Decoder(Heartbeat, strict=False)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decodes a heartbeat, or raises `InvalidHeartbeat`."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidHeartbeat(str(error)) from error
