"""Measures the loss of round trips, and derives the number of probes from it."""

import math

from pewterring.membership.settings import ProtocolSettings

PROBE_WEIGHT = 0.1  # weight of a new probe in the moving average: about ten probes (5 s) outweigh older ones
NEGLIGIBLE_LOSS = 0.01  # one probe per period is enough below this loss
MAX_LOSS = 0.95  # the calculation assumes no higher loss, since no number of probes would be enough
MIN_DELIVERY = 0.25  # lower bound of the delivery rate: timeouts and repetitions grow at most fourfold


class LossEstimate:
    """An exponential moving average of the fraction of round trips that were lost."""

    def __init__(self) -> None:
        self.fraction = 0.0

    def record(self, lost: float) -> None:
        """Records one probe; `lost` is the fraction of its round trips that got no answer."""
        self.fraction += (lost - self.fraction) * PROBE_WEIGHT

    @property
    def delivery(self) -> float:
        """The fraction of round trips that succeed, at least `MIN_DELIVERY`."""
        return max(MIN_DELIVERY, 1 - self.fraction)

    def probes_per_period(self, settings: ProtocolSettings) -> int:
        """The number of probes per period that keeps the chance of no answer below `unanswered_chance`.

        The result is between 1 and `max_probes`.
        """
        if self.fraction < NEGLIGIBLE_LOSS:
            return 1
        needed = math.ceil(math.log(settings.unanswered_chance) / math.log(min(MAX_LOSS, self.fraction)))
        return max(1, min(settings.max_probes, needed))
