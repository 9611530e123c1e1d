"""Admission to all services at one gateway: one `ServiceAdmission` a service, kept up with the tables."""

import random
from collections.abc import Mapping

from pewterring.admission.datagram import BATCH, GATEWAY, service_number
from pewterring.admission.digests import Totals
from pewterring.admission.service import ServiceAdmission
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import WorkerChooser

GATEWAY_PROGRAM = "gateway"


class GatewayAdmissions:
    """Finds the admission of a service, and passes heartbeats between them and the network."""

    def __init__(self, rng: random.Random) -> None:
        self._incarnation = rng.getrandbits(32)
        self._by_service: dict[str, ServiceAdmission] = {}
        self._by_number: dict[int, ServiceAdmission] = {}
        self._gateways = 1

    def by_service(self) -> Mapping[str, ServiceAdmission]:
        """All admissions by the name of their service."""
        return self._by_service

    def of(self, service: str) -> ServiceAdmission:
        """The admission of a service; made anew where there is none."""
        admission = self._by_service.get(service)
        if admission is None:
            admission = ServiceAdmission(self._incarnation, self._gateways)
            self._by_service[service] = admission
            self._by_number[service_number(service)] = admission
        return admission

    def update(self, now: float, tables: Tables, chooser: WorkerChooser) -> None:
        """Takes new tables: slots of ready workers, and how many gateways share them."""
        self._gateways = max(1, sum(node.program == GATEWAY_PROGRAM for node in tables.nodes))
        services = tables.configuration.services if tables.configuration else {}
        for service in services:
            self.of(service).rescale(now, chooser.slots(service), self._gateways)

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
