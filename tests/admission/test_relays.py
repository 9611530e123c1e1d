"""The exchange of heartbeats through relays: digests, plans and rounds."""

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
from pewterring.admission.relay_exchange import EXPIRY_ROUNDS
from pewterring.admission.relay_plan import MAX_MEMBERS, RELAYS, HeartbeatSender, make_plan
from pewterring.standalone.peer_messages import Heartbeat
from tests.admission.relayed_fleet import SERVICE, Fleet

CONVERGENCE_ROUNDS = 6  # from the first heartbeat until all totals include all processes


def heartbeat(limit: float, in_flight: int = 0, share: float = 1.0) -> Heartbeat:
    return Heartbeat(1, 1, limit, in_flight, share, 2.0)


# Digests


def test_a_digest_sums_heartbeats_of_gateways_and_counts_batch_items_separately() -> None:
    digest = summarize([heartbeat(10, 4, 3.0), heartbeat(30, 1, 2.0)], [heartbeat(99, 6)])
    assert digest == Digest(2, (10.0, 30.0), 5, 4.0 + 2.0, 4.0, 6)


def test_the_merged_limit_is_the_lower_median_of_small_groups() -> None:
    for count in range(1, 8):
        limits = random.Random(count).sample(range(100), 2 * count)
        halves = [summarize(map(heartbeat, limits[start::2]), ()) for start in (0, 1)]
        assert merge(halves).limit == sorted(limits)[(len(limits) - 1) // 2]


def test_the_merged_limit_is_close_to_the_median_of_large_groups() -> None:
    rng = random.Random(3)
    groups = [[rng.gauss(400, 40) for _ in range(size)] for size in (90, 103, 30, 128)]
    merged = merge(summarize(map(heartbeat, limits), ()) for limits in groups).limit
    assert merged == pytest.approx(statistics.median(itertools.chain(*groups)), rel=0.03)


def test_a_group_without_gateways_does_not_count_for_the_limit() -> None:
    assert merge([summarize([heartbeat(8)], ()), summarize((), [heartbeat(1, 5)])]) == Totals(
        1, 8, 0, 1.0, 2.0, 5
    )


def test_digests_of_many_services_are_sent_in_several_datagrams() -> None:
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


def test_truncated_datagrams_and_numbers_that_are_not_finite_are_rejected() -> None:
    (data,) = write_fleet_digest(1, 1, 1, {1: Totals(3, 1.0, 4.0, 5.0, 6.0, 7.0)})
    (invalid,) = write_fleet_digest(1, 1, 1, {1: Totals(3, math.nan, 4.0, 5.0, 6.0, 7.0)})
    assert read_digest(invalid) is None
    assert all(read_digest(data[:size]) is None for size in range(len(data)))
    assert read_digest(b"XX1" + data[3:]) is None


# Plans


def senders(count: int, zones: int = 4) -> list[HeartbeatSender]:
    return [
        HeartbeatSender(f"10.0.{index // 256}.{index % 256}", f"zone-{index % zones}", index % 10 > 0)
        for index in range(count)
    ]


def test_groups_do_not_span_zones_and_are_bounded() -> None:
    for count, zones in ((1, 1), (24, 4), (410, 4), (1000, 2)):
        plan = make_plan(senders(count, zones))
        zone_of = {sender.ip: sender.zone for sender in senders(count, zones)}
        assert set(plan.group_of) == set(zone_of)
        for group in plan.groups.values():
            assert len({zone_of[ip] for ip in group.members}) == 1
            assert len(group.members) <= 1.3 * MAX_MEMBERS
            assert 1 <= len(group.relays) <= RELAYS
            assert set(group.relays) <= set(group.members)


def test_the_plan_does_not_depend_on_the_order_of_the_table() -> None:
    table = senders(100)
    plan = make_plan(table)
    random.Random(1).shuffle(table)
    shuffled = make_plan(table)
    assert shuffled.group_of == plan.group_of
    assert {number: group.relays for number, group in shuffled.groups.items()} == {
        number: group.relays for number, group in plan.groups.items()
    }


def test_a_node_that_leaves_changes_the_relays_only_if_it_was_one() -> None:
    table = senders(100)
    plan = make_plan(table)
    relays = {ip for group in plan.groups.values() for ip in group.relays}
    for leaving in table:
        remaining = make_plan(sender for sender in table if sender is not leaving)
        changed = {ip for group in remaining.groups.values() for ip in group.relays} - relays
        assert len(changed) == (leaving.ip in relays)


# The exchange


def expected(fleet: Fleet) -> Totals:
    heartbeats = [process.beat for process in fleet.live() if process.kind == 0]
    reserved = sum(max(each.share, each.out) for each in heartbeats)
    return Totals(
        len(heartbeats), 0.0, sum(each.out for each in heartbeats), reserved, 2.0 * len(heartbeats), 11.0
    )


@pytest.mark.parametrize("gateways", [24, 66, 410])
def test_all_processes_receive_the_totals(gateways: int) -> None:
    fleet = Fleet(gateways)
    fleet.run(CONVERGENCE_ROUNDS)
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
        max_per_round = 1 + (1.3 * MAX_MEMBERS + others) / RELAYS if process.ip in relays else 1
        assert process.sent <= 40 * max_per_round


def test_totals_stay_recent_when_one_relay_of_each_group_is_lost() -> None:
    fleet = Fleet(66)
    fleet.run(CONVERGENCE_ROUNDS)
    fleet.dead = {group.relays[0] for group in fleet.plan.groups.values()}
    for _ in range(2 * EXPIRY_ROUNDS):
        fleet.run(1)
        assert all(fleet.now - process.totals_at <= 1.5 for process in fleet.live())


def test_dead_processes_no_longer_count_once_they_are_removed_from_the_table_of_nodes() -> None:
    fleet = Fleet(66)
    fleet.run(CONVERGENCE_ROUNDS)
    fleet.dead = {group.relays[0] for group in fleet.plan.groups.values()}
    fleet.plan_without(fleet.dead)
    fleet.run(CONVERGENCE_ROUNDS)
    assert all(process.totals[SERVICE]._replace(limit=0.0) == expected(fleet) for process in fleet.live())


def test_an_isolated_zone_expires_from_the_totals_of_the_others() -> None:
    fleet = Fleet(64)
    fleet.run(CONVERGENCE_ROUNDS)
    isolated = set(next(iter(fleet.plan.groups.values())).members)
    fleet.is_lost = lambda source, target: (source in isolated) != (target in isolated)
    fleet.run(EXPIRY_ROUNDS + CONVERGENCE_ROUNDS)
    inside = sum(fleet.processes[ip].kind == 0 for ip in isolated)
    for process in fleet.live():
        assert process.totals[SERVICE].gateways == (inside if process.ip in isolated else 64 - inside)
    fleet.is_lost = lambda _source, _target: False
    fleet.run(CONVERGENCE_ROUNDS)
    assert all(process.totals[SERVICE].gateways == 64 for process in fleet.live())


def test_a_group_that_no_longer_exists_does_not_count() -> None:
    """A zone shrinks to one group instead of several; no process may count in both its old and new group."""
    fleet = Fleet(MAX_MEMBERS + 4, zones=1)
    fleet.run(CONVERGENCE_ROUNDS)
    remaining = list(fleet.processes)[: MAX_MEMBERS - 1]
    fleet.dead = set(fleet.processes) - set(remaining)
    fleet.plan_without(fleet.dead)
    assert len(fleet.plan.groups) == 1
    fleet.run(CONVERGENCE_ROUNDS)
    assert all(process.totals[SERVICE].gateways == len(remaining) for process in fleet.live())


def test_datagrams_that_were_overtaken_or_whose_sender_is_unknown_are_dropped() -> None:
    fleet = Fleet(24)
    fleet.run(CONVERGENCE_ROUNDS)
    process = next(iter(fleet.live()))
    group = fleet.plan.group_of[process.ip]
    relay = next(ip for ip in fleet.plan.groups[group].relays if ip != process.ip)
    totals = dict(process.totals)
    (stale,) = write_fleet_digest(group, 1, 1, {SERVICE: Totals(1, 1.0, 1.0, 1.0, 1.0, 1.0)})
    process.exchange.receive(fleet.now, relay, stale)
    process.exchange.receive(fleet.now, "10.9.9.9", stale)
    process.exchange.receive(fleet.now, relay, b"no digest")
    assert process.totals == totals
    (restarted,) = write_fleet_digest(group, 2, 1, {SERVICE: Totals(1, 1.0, 1.0, 1.0, 1.0, 1.0)})
    process.exchange.receive(fleet.now, relay, restarted)
    assert process.totals[SERVICE].gateways == 1


def test_a_process_that_is_not_yet_in_the_table_of_nodes_sends_nothing() -> None:
    fleet = Fleet(24)
    newcomer = next(iter(fleet.live()))
    fleet.plan_without({newcomer.ip})
    assert newcomer.exchange.round(0.5, newcomer.heartbeat(), 0.5) == []


def test_the_totals_of_many_services_arrive_completely() -> None:
    fleet = Fleet(30)
    services = list(range(40))
    for process in fleet.live():
        process.services = services
    fleet.run(CONVERGENCE_ROUNDS)
    assert all(sorted(process.totals) == services for process in fleet.live())
    assert all(totals.gateways == 30 for process in fleet.live() for totals in process.totals.values())
