"""Heartbeats by relays: plans, digests and the exchange."""

import itertools
import math
import random
import statistics

import pytest

from pewterring.admission.digests import (
    MAX_BYTES,
    Digest,
    Totals,
    merge,
    read_digest,
    summarize,
    write_fleet_digest,
    write_group_digest,
)
from pewterring.admission.relay_exchange import KEPT_ROUNDS
from pewterring.admission.relay_plan import MAX_MEMBERS, RELAYS, Speaker, make_plan
from pewterring.standalone.peer_messages import Heartbeat
from tests.admission.relayed_fleet import SERVICE, Fleet

SETTLED = 6  # rounds from the first heartbeat until all know of all


def beat(limit: float, out: int = 0, share: float = 1.0) -> Heartbeat:
    return Heartbeat(1, 1, limit, out, share, 2.0)


# Digests


def test_a_digest_sums_what_gateways_say_and_keeps_batch_items_apart() -> None:
    digest = summarize([beat(10, 4, 3.0), beat(30, 1, 2.0)], [beat(99, 6)])
    assert digest == Digest(2, (10.0, 30.0), 5, 4.0 + 2.0, 4.0, 6)


def test_the_merged_limit_is_the_lower_median_of_small_groups() -> None:
    for count in range(1, 8):
        limits = random.Random(count).sample(range(100), 2 * count)
        halves = [summarize(map(beat, limits[part::2]), ()) for part in (0, 1)]
        assert merge(halves).limit == sorted(limits)[(len(limits) - 1) // 2]


def test_the_merged_limit_is_close_to_the_median_of_large_groups() -> None:
    rng = random.Random(3)
    groups = [[rng.gauss(400, 40) for _ in range(size)] for size in (90, 103, 30, 128)]
    merged = merge(summarize(map(beat, limits), ()) for limits in groups).limit
    assert merged == pytest.approx(statistics.median(itertools.chain(*groups)), rel=0.03)


def test_a_group_without_gateways_does_not_count_for_the_limit() -> None:
    assert merge([summarize([beat(8)], ()), summarize((), [beat(1, 5)])]) == Totals(1, 8, 0, 1.0, 2.0, 5)


def test_digests_of_many_services_travel_in_several_datagrams() -> None:
    digests = {number: Digest(3, (1.0, 2.0), 4.0, 5.0, 6.0, 7.0) for number in range(100)}
    totals = {number: Totals(3, 1.0, 4.0, 5.0, 6.0, 7.0) for number in range(100)}
    read_digests: dict[int, Digest] = {}
    read_totals: dict[int, Totals] = {}
    for data in write_group_digest(9, 8, 7, digests) + write_fleet_digest(9, 8, 7, totals):
        assert len(data) <= MAX_BYTES
        message = read_digest(data)
        assert message is not None
        assert (message.group, message.incarnation, message.sequence) == (9, 8, 7)
        read_digests.update(message.digests)
        read_totals.update(message.totals)
    assert read_digests == digests
    assert read_totals == totals


def test_what_is_cut_or_no_number_is_no_digest() -> None:
    (data,) = write_fleet_digest(1, 1, 1, {1: Totals(3, 1.0, 4.0, 5.0, 6.0, 7.0)})
    (bad,) = write_fleet_digest(1, 1, 1, {1: Totals(3, math.nan, 4.0, 5.0, 6.0, 7.0)})
    assert read_digest(bad) is None
    assert all(read_digest(data[:size]) is None for size in range(len(data)))
    assert read_digest(b"XX1" + data[3:]) is None


# Plans


def speakers(count: int, zones: int = 4) -> list[Speaker]:
    return [Speaker(f"10.0.{n // 256}.{n % 256}", f"zone-{n % zones}", n % 10 > 0) for n in range(count)]


def test_groups_lie_within_zones_and_are_bounded() -> None:
    for count, zones in ((1, 1), (24, 4), (410, 4), (1000, 2)):
        plan = make_plan(speakers(count, zones))
        zone_of = {speaker.ip: speaker.zone for speaker in speakers(count, zones)}
        assert set(plan.group_of) == set(zone_of)
        for group in plan.groups.values():
            assert len({zone_of[ip] for ip in group.members}) == 1
            assert len(group.members) <= 1.3 * MAX_MEMBERS
            assert 1 <= len(group.relays) <= RELAYS
            assert set(group.relays) <= set(group.members)


def test_the_order_of_the_table_changes_nothing() -> None:
    table = speakers(100)
    plan = make_plan(table)
    random.Random(1).shuffle(table)
    other = make_plan(table)
    assert other.group_of == plan.group_of
    assert {n: group.relays for n, group in other.groups.items()} == {
        n: group.relays for n, group in plan.groups.items()
    }


def test_a_node_that_goes_changes_relays_only_where_it_was_one() -> None:
    table = speakers(100)
    plan = make_plan(table)
    relays = {ip for group in plan.groups.values() for ip in group.relays}
    for gone in table:
        rest = make_plan(speaker for speaker in table if speaker is not gone)
        changed = {ip for group in rest.groups.values() for ip in group.relays} - relays
        assert len(changed) == (gone.ip in relays)


# The exchange


def expected(fleet: Fleet) -> Totals:
    beats = [process.beat for process in fleet.live() if process.kind == 0]
    reserved = sum(max(beat.share, beat.out) for beat in beats)
    return Totals(len(beats), 0.0, sum(beat.out for beat in beats), reserved, 2.0 * len(beats), 11.0)


@pytest.mark.parametrize("gateways", [24, 66, 410])
def test_all_learn_the_totals(gateways: int) -> None:
    fleet = Fleet(gateways)
    fleet.run(SETTLED)
    limits = sorted(process.beat.limit for process in fleet.processes.values() if process.kind == 0)
    for process in fleet.live():
        totals = process.totals[SERVICE]
        assert totals._replace(limit=0.0) == expected(fleet)
        assert totals.limit == pytest.approx(limits[(len(limits) - 1) // 2], rel=0.03)


def test_members_send_one_datagram_a_round_and_relays_a_bounded_number() -> None:
    fleet = Fleet(410)
    relays = {ip for group in fleet.plan.groups.values() for ip in group.relays}
    fleet.run(40)
    others = RELAYS * (len(fleet.plan.groups) - 1)
    for process in fleet.live():
        most = 1 + (1.3 * MAX_MEMBERS + others) / RELAYS if process.ip in relays else 1
        assert process.sent <= 40 * most


def test_the_loss_of_one_relay_of_each_group_is_not_noticed() -> None:
    fleet = Fleet(66)
    fleet.run(SETTLED)
    fleet.dead = {group.relays[0] for group in fleet.plan.groups.values()}
    for _ in range(2 * KEPT_ROUNDS):
        fleet.run(1)
        assert all(fleet.now - process.told_at <= 1.5 for process in fleet.live())


def test_the_dead_count_no_more_once_the_table_of_nodes_says_so() -> None:
    fleet = Fleet(66)
    fleet.run(SETTLED)
    fleet.dead = {group.relays[0] for group in fleet.plan.groups.values()}
    fleet.plan_without(fleet.dead)
    fleet.run(SETTLED)
    assert all(process.totals[SERVICE]._replace(limit=0.0) == expected(fleet) for process in fleet.live())


def test_a_zone_that_is_cut_off_ages_out_of_the_totals_of_the_others() -> None:
    fleet = Fleet(64)
    fleet.run(SETTLED)
    lost = set(next(iter(fleet.plan.groups.values())).members)
    fleet.is_cut = lambda source, target: (source in lost) != (target in lost)
    fleet.run(KEPT_ROUNDS + SETTLED)
    inside = sum(fleet.processes[ip].kind == 0 for ip in lost)
    for process in fleet.live():
        assert process.totals[SERVICE].gateways == (inside if process.ip in lost else 64 - inside)
    fleet.is_cut = lambda _source, _target: False
    fleet.run(SETTLED)
    assert all(process.totals[SERVICE].gateways == 64 for process in fleet.live())


def test_a_group_that_the_table_has_no_longer_counts_no_more() -> None:
    """One zone of `MAX_MEMBERS` and more is divided anew: nobody counts in the old and the new group."""
    fleet = Fleet(MAX_MEMBERS + 4, zones=1)
    fleet.run(SETTLED)
    kept = list(fleet.processes)[: MAX_MEMBERS - 1]
    fleet.dead = set(fleet.processes) - set(kept)
    fleet.plan_without(fleet.dead)
    assert len(fleet.plan.groups) == 1
    fleet.run(SETTLED)
    assert all(process.totals[SERVICE].gateways == len(kept) for process in fleet.live())


def test_strangers_and_overtaken_datagrams_are_dropped() -> None:
    fleet = Fleet(24)
    fleet.run(SETTLED)
    process = next(iter(fleet.live()))
    group = fleet.plan.group_of[process.ip]
    relay = next(ip for ip in fleet.plan.groups[group].relays if ip != process.ip)
    told = dict(process.totals)
    (stale,) = write_fleet_digest(group, 1, 1, {SERVICE: Totals(1, 1.0, 1.0, 1.0, 1.0, 1.0)})
    process.exchange.receive(fleet.now, relay, stale)
    process.exchange.receive(fleet.now, "10.9.9.9", stale)
    process.exchange.receive(fleet.now, relay, b"no digest")
    assert process.totals == told
    (restarted,) = write_fleet_digest(group, 2, 1, {SERVICE: Totals(1, 1.0, 1.0, 1.0, 1.0, 1.0)})
    process.exchange.receive(fleet.now, relay, restarted)
    assert process.totals[SERVICE].gateways == 1


def test_a_process_that_is_not_in_the_table_yet_sends_nothing() -> None:
    fleet = Fleet(24)
    newcomer = next(iter(fleet.live()))
    fleet.plan_without({newcomer.ip})
    assert newcomer.exchange.round(0.5, newcomer.heartbeat(), 0.5) == []


def test_many_services_are_known_whole() -> None:
    fleet = Fleet(30)
    services = list(range(40))
    for process in fleet.live():
        process.services = services
    fleet.run(SETTLED)
    assert all(sorted(process.totals) == services for process in fleet.live())
    assert all(totals.gateways == 30 for process in fleet.live() for totals in process.totals.values())
