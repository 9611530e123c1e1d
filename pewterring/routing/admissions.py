"""Admission to all services at one process, updated from the tables and from heartbeats."""

import random
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

from pewterring.admission.datagram import BATCH, GATEWAY, service_number
from pewterring.admission.digests import Totals
from pewterring.distribution.messages import GATEWAY_PROGRAM
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import WorkerChooser


class Admission(Protocol):
    """Admission of live requests or of batch items to one service."""

    def rescale(self, now: float, slots: int, gateways: int, /) -> None:
        """Sets the number of slots of the ready workers, and the number of gateways that share them."""

    def tick(self, now: float) -> None:
        """Updates demand and share. Called once per heartbeat period."""

    def heartbeat(self) -> bytes:
        """Encodes the heartbeat to send."""

    def receive(self, now: float, peer: int, data: bytes) -> None:
        """Takes a heartbeat from a gateway."""

    def receive_batch(self, now: float, peer: int, data: bytes) -> None:
        """Takes a heartbeat from a process that runs batch items."""

    def receive_totals(self, now: float, totals: Totals) -> None:
        """Takes the totals of the fleet."""


AnyAdmission = TypeVar("AnyAdmission", bound=Admission)


class Admissions(Generic[AnyAdmission]):
    """Owns the admission of each service, and passes heartbeats between admissions and the network.

    `make` creates an admission from the incarnation of this process and the number of gateways.
    """

    def __init__(self, make: Callable[[int, int], AnyAdmission], rng: random.Random) -> None:
        self._make = make
        self._incarnation = rng.getrandbits(32)
        self._by_service: dict[str, AnyAdmission] = {}
        self._by_number: dict[int, AnyAdmission] = {}
        self._gateways = 0

    def by_service(self) -> Mapping[str, AnyAdmission]:
        """The admissions by the name of their service."""
        return self._by_service

    def of(self, service: str) -> AnyAdmission:
        """Returns the admission of a service, and creates it if there is none."""
        admission = self._by_service.get(service)
        if admission is None:
            admission = self._make(self._incarnation, self._gateways)
            self._by_service[service] = admission
            self._by_number[service_number(service)] = admission
        return admission

    def update(self, now: float, tables: Tables, chooser: WorkerChooser) -> None:
        """Takes the number of gateways and the slots of ready workers from new tables."""
        self._gateways = sum(node.program == GATEWAY_PROGRAM for node in tables.nodes)
        services = tables.configuration.services if tables.configuration else {}
        for service in services:
            self.of(service).rescale(now, chooser.slots(now, service), self._gateways)

    def tick(self, now: float) -> Mapping[int, bytes]:
        """Updates all demands, and returns the heartbeats to send by service number.

        Called once per heartbeat period.
        """
        heartbeats: dict[int, bytes] = {}
        for number, admission in self._by_number.items():
            admission.tick(now)
            heartbeats[number] = admission.heartbeat()
        return heartbeats

    def receive(self, now: float, kind: int, peer: int, number: int, heartbeat: bytes) -> None:
        """Takes a peer's heartbeat for one service."""
        admission = self._by_number.get(number)
        if admission is None:
            return
        if kind == GATEWAY:
            admission.receive(now, peer, heartbeat)
        elif kind == BATCH:
            admission.receive_batch(now, peer, heartbeat)

    def receive_totals(self, now: float, number: int, totals: Totals) -> None:
        """Takes the totals of the fleet for one service, as relays send them."""
        admission = self._by_number.get(number)
        if admission is not None:
            admission.receive_totals(now, totals)
