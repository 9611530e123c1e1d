"""Admission to all services at one process: one a service, kept up with the tables and with heartbeats."""

import random
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

from pewterring.admission.datagram import BATCH, GATEWAY, service_number
from pewterring.admission.digests import Totals
from pewterring.distribution.messages import GATEWAY_PROGRAM
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import WorkerChooser


class Admission(Protocol):
    """Admission to one service, of live requests or of batch items."""

    def rescale(self, now: float, slots: int, gateways: int, /) -> None:
        """Takes the number of slots of the ready workers, and of gateways that share them."""

    def tick(self, now: float) -> None:
        """Once a heartbeat period."""

    def beat(self) -> bytes:
        """The heartbeat to send."""

    def hear(self, now: float, peer: int, data: bytes) -> None:
        """Takes a gateway's heartbeat."""

    def hear_batch(self, now: float, peer: int, data: bytes) -> None:
        """Takes the heartbeat of a process that runs batch items."""

    def hear_totals(self, now: float, totals: Totals) -> None:
        """Takes the totals of the fleet."""


AnyAdmission = TypeVar("AnyAdmission", bound=Admission)


class Admissions(Generic[AnyAdmission]):
    """Finds the admission of a service, and passes heartbeats between them and the network.

    `make` is given the process's incarnation and the number of gateways.
    """

    def __init__(self, make: Callable[[int, int], AnyAdmission], rng: random.Random) -> None:
        self._make = make
        self._incarnation = rng.getrandbits(32)
        self._by_service: dict[str, AnyAdmission] = {}
        self._by_number: dict[int, AnyAdmission] = {}
        self._gateways = 0

    def by_service(self) -> Mapping[str, AnyAdmission]:
        """All admissions by the name of their service."""
        return self._by_service

    def of(self, service: str) -> AnyAdmission:
        """The admission of a service; made anew where there is none."""
        admission = self._by_service.get(service)
        if admission is None:
            admission = self._make(self._incarnation, self._gateways)
            self._by_service[service] = admission
            self._by_number[service_number(service)] = admission
        return admission

    def update(self, now: float, tables: Tables, chooser: WorkerChooser) -> None:
        """Takes new tables: slots of ready workers, and how many gateways share them."""
        self._gateways = sum(node.program == GATEWAY_PROGRAM for node in tables.nodes)
        services = tables.configuration.services if tables.configuration else {}
        for service in services:
            self.of(service).rescale(now, chooser.slots(now, service), self._gateways)

    def tick(self, now: float) -> Mapping[int, bytes]:
        """Once a heartbeat period: settles demand and gives the heartbeats to send."""
        beats: dict[int, bytes] = {}
        for number, admission in self._by_number.items():
            admission.tick(now)
            beats[number] = admission.beat()
        return beats

    def hear(self, now: float, kind: int, peer: int, number: int, beat: bytes) -> None:
        """Takes one heartbeat of a peer."""
        admission = self._by_number.get(number)
        if admission is None:
            return
        if kind == GATEWAY:
            admission.hear(now, peer, beat)
        elif kind == BATCH:
            admission.hear_batch(now, peer, beat)

    def hear_totals(self, now: float, number: int, totals: Totals) -> None:
        """Takes the totals of the fleet for one service, where relays tell them."""
        admission = self._by_number.get(number)
        if admission is not None:
            admission.hear_totals(now, totals)
