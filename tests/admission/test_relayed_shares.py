"""Shares that are derived from the totals of the fleet."""

import math

import pytest

from pewterring.admission.digests import Totals
from pewterring.admission.relayed_shares import TOTALS_EXPIRY_S, RelayedShares
from pewterring.admission.service import ServiceAdmission
from pewterring.admission.shares import DEMAND_DECAY_S, HEARTBEAT_PERIOD_S, LEASE_S, Shares
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat

FLEET = 100
LIMIT = 400.0
LATER = 10.0  # seconds from the start, after which a gateway no longer counts as new
TOTALS = Totals(FLEET, LIMIT, 200.0, LIMIT, 200.0, 30.0)


def new_shares(demand: float = 2.0) -> RelayedShares:
    shares = RelayedShares(FLEET, 1)
    shares.started_at = 0.0
    shares.lends = True
    shares.demand = demand
    return shares


def test_the_share_is_proportional_to_demand() -> None:
    for demand in (1.0, 2.0, 8.0):
        shares = new_shares(demand)
        shares.heartbeat(LIMIT, 1)
        shares.receive_totals(LATER, TOTALS, LIMIT)
        assert shares.share == pytest.approx(LIMIT * demand / 200.0)
        assert shares.fleet_limit == LIMIT
        assert shares.peers_in_flight == 199.0


def test_the_share_is_at_least_one_slot() -> None:
    shares = new_shares(0.0)
    shares.receive_totals(LATER, TOTALS, LIMIT)
    assert shares.share == 1.0


def test_shares_shrink_in_proportion_when_too_many_slots_are_reserved() -> None:
    shares = new_shares(8.0)
    shares.heartbeat(LIMIT, 1)
    for _ in range(5):
        shares.receive_totals(LATER, TOTALS._replace(reserved=1.25 * LIMIT), LIMIT)
    assert shares.share == pytest.approx(0.8 * LIMIT * 8.0 / 200.0)


def test_demand_of_gateways_no_longer_heard_still_counts() -> None:
    """Otherwise the rest would take over a zone's shares as soon as a partition isolates its relays."""
    shares = new_shares(2.0)
    shares.heartbeat(LIMIT, 1)
    shares.receive_totals(LATER, TOTALS, LIMIT)
    shares.receive_totals(LATER + HEARTBEAT_PERIOD_S, TOTALS._replace(gateways=50, demand=100.0), LIMIT)
    assert shares.share == pytest.approx(LIMIT / FLEET, rel=0.1)


def test_without_any_relay_the_share_stays_and_idle_slots_are_lent_as_if_all_were_busy() -> None:
    shares = new_shares(2.0)
    shares.receive_totals(LATER, TOTALS, LIMIT)
    share_before = shares.share
    shares.update_share(LATER + TOTALS_EXPIRY_S, LIMIT)
    assert shares.share == pytest.approx(share_before * math.exp(TOTALS_EXPIRY_S / DEMAND_DECAY_S))
    assert shares.peers_in_flight == LIMIT
    assert shares.capacity(0) == pytest.approx(shares.share + shares.LENT * math.sqrt(shares.share) / 2)


def test_a_new_gateway_takes_an_even_share_before_it_has_demand() -> None:
    shares = new_shares(0.0)
    shares.receive_totals(LEASE_S / 2, TOTALS, LIMIT)
    assert shares.share == LIMIT / FLEET


def test_a_heartbeat_received_directly_replaces_the_totals() -> None:
    """When the fleet shrinks below the size that needs relays, heartbeats go to all peers again."""
    shares, plain = new_shares(), Shares(FLEET, 1)
    plain.started_at, plain.lends, plain.demand = 0.0, True, 2.0
    shares.receive_totals(LATER, TOTALS, LIMIT)
    heartbeat = encode_heartbeat(Heartbeat(5, 1, LIMIT, 3, 4.0, 2.0))
    shares.fleet_demand = plain.fleet_demand
    for each in (shares, plain):
        each.receive(LATER + HEARTBEAT_PERIOD_S, 9, heartbeat, LIMIT)
    assert shares.totals is None
    assert (shares.share, shares.peers_in_flight, shares.fleet_limit) == (
        plain.share,
        plain.peers_in_flight,
        plain.fleet_limit,
    )


def test_batch_items_in_the_totals_count_as_attempts_of_other_processes() -> None:
    admission = ServiceAdmission(1, FLEET)
    admission.rescale(0.0, 400, FLEET)
    admission.receive_totals(LATER, TOTALS)
    assert admission.batch_in_flight(LATER) == 30
    assert admission.peers_in_flight(LATER) == 230.0
    assert admission.batch_in_flight(LATER + TOTALS_EXPIRY_S) == 0
