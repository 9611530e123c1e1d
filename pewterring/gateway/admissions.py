"""Admission of live requests to all services at one gateway."""

import random

from pewterring.admission.service import ServiceAdmission
from pewterring.routing.admissions import Admissions


class GatewayAdmissions(Admissions[ServiceAdmission]):
    """One `ServiceAdmission` a service."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(ServiceAdmission, rng)
