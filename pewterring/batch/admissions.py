"""Admission of batch items to all services at one store."""

import random

from pewterring.admission.batch import BatchAdmission
from pewterring.routing.admissions import Admissions


class BatchAdmissions(Admissions[BatchAdmission]):
    """One `BatchAdmission` a service."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(lambda incarnation, gateways: BatchAdmission(incarnation), rng)
