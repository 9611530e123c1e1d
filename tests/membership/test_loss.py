"""The measured loss, and the number of probes derived from it."""

import pytest

from pewterring.membership.loss import MIN_DELIVERY, LossEstimate
from pewterring.membership.settings import ProtocolSettings


def estimate(fraction: float) -> LossEstimate:
    loss = LossEstimate()
    loss.fraction = fraction
    return loss


@pytest.mark.parametrize(("fraction", "probes"), [(0.0, 1), (0.005, 1), (0.1, 2), (0.3, 4), (1.0, 4)])
def test_probes_in_a_period_rise_with_the_loss_up_to_a_limit(fraction: float, probes: int) -> None:
    assert estimate(fraction).probes_per_period(ProtocolSettings()) == probes


def test_the_estimate_moves_towards_the_recorded_loss() -> None:
    loss = estimate(0.0)
    loss.record(1.0)
    assert loss.fraction == pytest.approx(0.1)
    for _ in range(100):
        loss.record(1.0)
    assert loss.fraction > 0.99
    assert loss.delivery == MIN_DELIVERY
