"""Admission of batch items to all services at one store."""

import random

from pewterring.admission.batch import BatchAdmission
from pewterring.routing.admissions import Admissions


class BatchAdmissions(Admissions[BatchAdmission]):
    """One `BatchAdmission` for each service, made when the service is first seen."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(lambda incarnation, _gateways: BatchAdmission(incarnation), rng)
