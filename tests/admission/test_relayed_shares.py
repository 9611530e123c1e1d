"""Shares that go by the totals of the fleet."""

import math

import pytest

from pewterring.admission.digests import Totals
from pewterring.admission.relayed_shares import TOTALS_S, RelayedShares
from pewterring.admission.service import ServiceAdmission
from pewterring.admission.shares import BEAT_S, GHOST_S, LEASE_S, Shares
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat

FLEET = 100
CEILING = 400.0
LATER = 10.0  # past the time in which a gateway counts as new
CALM = Totals(FLEET, CEILING, 200.0, CEILING, 200.0, 30.0)


def shares(demand: float = 2.0) -> RelayedShares:
    made = RelayedShares(FLEET, 1)
    made.began = 0.0
    made.lends = True
    made.demand = demand
    return made


def test_the_share_follows_demand() -> None:
    for demand in (1.0, 2.0, 8.0):
        held = shares(demand)
        held.beat(CEILING, 1)
        held.hear_totals(LATER, CALM, CEILING)
        assert held.share == pytest.approx(CEILING * demand / 200.0)
        assert held.whole == CEILING
        assert held.elsewhere == 199.0


def test_the_floor_is_one_slot() -> None:
    held = shares(0.0)
    held.hear_totals(LATER, CALM, CEILING)
    assert held.share == 1.0


def test_all_give_way_by_their_parts_where_too_much_is_reserved() -> None:
    held = shares(8.0)
    held.beat(CEILING, 1)
    for _ in range(5):
        held.hear_totals(LATER, CALM._replace(reserved=1.25 * CEILING), CEILING)
    assert held.share == pytest.approx(0.8 * CEILING * 8.0 / 200.0)


def test_demand_of_gateways_unheard_counts_on() -> None:
    """Else those that are heard would take the parts of a zone at a stroke when its relays are cut off."""
    held = shares(2.0)
    held.beat(CEILING, 1)
    held.hear_totals(LATER, CALM, CEILING)
    held.hear_totals(LATER + BEAT_S, CALM._replace(gateways=50, demand=100.0), CEILING)
    assert held.share == pytest.approx(CEILING / FLEET, rel=0.1)


def test_cut_off_from_all_relays_it_keeps_its_share_and_borrows_as_if_all_were_busy() -> None:
    held = shares(2.0)
    held.hear_totals(LATER, CALM, CEILING)
    share = held.share
    held.divide(LATER + TOTALS_S, CEILING)
    assert held.share == pytest.approx(share * math.exp(TOTALS_S / GHOST_S))
    assert held.elsewhere == CEILING
    assert held.room(0) == pytest.approx(held.share + held.LENT * math.sqrt(held.share) / 2)


def test_a_new_gateway_takes_its_part_before_it_has_demand() -> None:
    held = shares(0.0)
    held.hear_totals(LEASE_S / 2, CALM, CEILING)
    assert held.share == CEILING / FLEET


def test_a_peer_heard_directly_takes_the_place_of_totals() -> None:
    """Where the fleet shrinks below the size that needs relays, heartbeats go to all again."""
    held, plain = shares(), Shares(FLEET, 1)
    plain.began, plain.lends, plain.demand = 0.0, True, 2.0
    held.hear_totals(LATER, CALM, CEILING)
    beat = encode_heartbeat(Heartbeat(5, 1, CEILING, 3, 4.0, 2.0))
    held.total = plain.total
    for each in (held, plain):
        each.hear(LATER + BEAT_S, 9, beat, CEILING)
    assert held.totals is None
    assert (held.share, held.elsewhere, held.whole) == (plain.share, plain.elsewhere, plain.whole)


def test_batch_items_of_the_totals_count_as_attempts_elsewhere() -> None:
    admission = ServiceAdmission(1, FLEET)
    admission.rescale(0.0, 400, FLEET)
    admission.hear_totals(LATER, CALM)
    assert admission.batch_out(LATER) == 30
    assert admission.elsewhere(LATER) == 230.0
    assert admission.batch_out(LATER + TOTALS_S) == 0
