"""Admission of live requests at one gateway: concurrency limit and priority order for each service."""

import random

from pewterring.admission.service import ServiceAdmission
from pewterring.routing.admissions import Admissions


class GatewayAdmissions(Admissions[ServiceAdmission]):
    """Owns one `ServiceAdmission` for each service."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(ServiceAdmission, rng)
