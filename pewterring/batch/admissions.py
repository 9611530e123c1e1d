"""Admission of one store's batch items to all services."""

import random

from pewterring.admission.batch import BatchAdmission
from pewterring.routing.admissions import Admissions


class BatchAdmissions(Admissions[BatchAdmission]):
    """One `BatchAdmission` for each service, created when the service is first seen."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(lambda incarnation, _gateways: BatchAdmission(incarnation), rng)
