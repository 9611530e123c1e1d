"""The measured loss of round trips, and what it asks for."""

import math

from pewterring.membership.settings import ProtocolSettings

MEMORY = 0.1  # weight of one probe in the measured loss: some ten probes, five seconds, outweigh the past
NEGLIGIBLE_LOSS = 0.01  # below it one probe a period is enough
MAX_LOSS = 0.95  # reckoned with: above it no number of probes helps
MIN_DELIVERY = 0.25  # reckoned with: time-outs and repeats widen up to four times


class LossEstimate:
    """A moving average of the fraction of round trips that were lost."""

    def __init__(self) -> None:
        self.fraction = 0.0

    def record(self, lost: float) -> None:
        """Takes in one probe, `lost` being the fraction of its round trips without an answer."""
        self.fraction += (lost - self.fraction) * MEMORY

    @property
    def delivery(self) -> float:
        """The fraction of round trips that arrive."""
        return max(MIN_DELIVERY, 1 - self.fraction)

    def probes_per_period(self, settings: ProtocolSettings) -> int:
        """So many that a live member goes unanswered at most as often as `unanswered_chance`."""
        if self.fraction < NEGLIGIBLE_LOSS:
            return 1
        needed = math.ceil(math.log(settings.unanswered_chance) / math.log(min(MAX_LOSS, self.fraction)))
        return max(1, min(settings.max_probes, needed))
