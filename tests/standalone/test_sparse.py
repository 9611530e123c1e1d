"""Sparse fleets, too large for heartbeats to all: sampled heartbeats, lent slots, subsets of servers."""

import dataclasses
import random

from pewterring.admission.ceiling import Ceiling
from pewterring.admission.shares import HEARTBEAT_PERIOD_S, Shares
from pewterring.standalone.peer_messages import HEARTBEAT_TAG, Heartbeat, encode_heartbeat
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import ServerPool
from tests.standalone.helpers import CLASSES, SERVERS, PolicyDriver, sends, server, settings

FLEET_SIZE = 300


def start_gateway(me: int, seed: int = 7) -> PolicyDriver:
    return PolicyDriver(settings(me=me, fleet=FLEET_SIZE), seed=seed)


def heartbeat(in_flight: int, incarnation: int, limit: float = 400.0) -> bytes:
    return encode_heartbeat(Heartbeat(incarnation, 1, limit, in_flight, 1.0, 1.0))


def test_each_heartbeat_goes_to_one_random_peer() -> None:
    driver = start_gateway(3)
    messages = [message for _ in range(40) for message in driver.tick(HEARTBEAT_PERIOD_S / 2)]
    assert len(messages) == 40
    assert len({message.peer for message in messages}) > 20
    assert all(message.peer != 3 and message.data[:1] == HEARTBEAT_TAG for message in messages)


def test_idle_slots_are_lent_and_busy_ones_are_not() -> None:
    for in_flight, expected in ((0, 3), (3, 1)):
        driver = start_gateway(3)
        for peer in range(10, 30):
            driver.do(interface.PeerMessage(peer, heartbeat(in_flight, peer)))
        driver.tick(HEARTBEAT_PERIOD_S)
        driver.policy.shares.share = 1.0
        count = sum(len(sends(driver.ask())) for _ in range(10))
        assert count >= 3 if in_flight == 0 else count == expected


def test_peers_heard_represent_the_fleet_and_an_unheard_fleet_counts_as_busy() -> None:
    shares = Shares(FLEET_SIZE, 1, sparse=True)
    shares.started_at = 0.0
    for n in range(10, 20):
        shares.receive(1.0, n, heartbeat(1, n), 400.0)
    shares.update_share(1.0, 400.0)
    assert shares.peers_in_flight == FLEET_SIZE - 1
    shares.update_share(100.0, 400.0)
    assert shares.peers_in_flight == 400.0
    assert shares.capacity(0) < 3.0


def test_servers_are_chosen_in_proportion_to_rating() -> None:
    driver = start_gateway(3)
    double = tuple(dataclasses.replace(s, rating=2.0) for s in SERVERS[:2])
    driver.do(interface.ServerList(interface.ListForm.CHANGES, double))
    counts = [0] * len(SERVERS)
    for _ in range(2000):
        (send,) = sends(driver.ask())
        counts[send.server] += 1
        driver.end(send, interface.Code.OK)
    assert all(1.4 < counts[n] / (sum(counts[2:]) / 6) < 2.8 for n in (0, 1))
    assert all(count > 50 for count in counts)


def test_at_first_only_a_few_gateways_send_to_a_cold_server() -> None:
    drivers = [
        PolicyDriver(settings(me=n, fleet=FLEET_SIZE), (server(9, came_up=99.9),), seed=n)
        for n in range(FLEET_SIZE)
    ]
    at_once = sum(len(sends(driver.ask())) for driver in drivers)
    assert at_once <= 4 * ServerPool.COLD_SENDERS


def test_a_large_fleet_adapts_its_concurrency_limit_as_fast_by_larger_steps() -> None:
    large = Ceiling(FLEET_SIZE)
    large.rescale(80.0, 80)
    start = large.limit
    for _ in range(30):
        large.observe(CLASSES["pure"], 0.05, 1e9)
    assert large.limit > 1.5 * start


def test_a_few_slow_requests_do_not_count_as_queueing() -> None:
    ceiling = Ceiling(3)
    ceiling.rescale(8.0, 8)
    for n in range(640):
        ceiling.observe(CLASSES["pure"], 5.0 if n % 50 == 49 else 0.1, 1e9)
    assert ceiling.mean["pure"] < 0.2


def test_servers_are_in_equally_many_subsets() -> None:
    """With random subsets some servers were in three of forty and some in fourteen."""
    rng, counts = random.Random(4), [0] * 60
    names = [rng.getrandbits(48) for _ in range(60)]
    for me in range(40):
        order = rng.sample(range(60), 60)  # each gateway numbers the servers in its own order
        servers = tuple(
            dataclasses.replace(server(id), common=names[n], zone=str(n)) for id, n in enumerate(order, 1)
        )
        policy = PolicyDriver(settings(me=me, fleet=40), servers, seed=me).policy
        for id in policy.pool.subset:
            counts[order[id - 1]] += 1
    assert min(counts) >= 7
    assert max(counts) <= 9


def test_a_release_changes_few_servers_of_a_subset() -> None:
    rng, moved = random.Random(4), 0
    names = [rng.getrandbits(48) for _ in range(60)]
    names_after = names[18:] + [rng.getrandbits(48) for _ in range(18)]
    for me in range(40):
        subsets = []
        for listed in (names, names_after):
            servers = tuple(dataclasses.replace(server(n), common=n) for n in listed)
            subsets.append(PolicyDriver(settings(me=me, fleet=40), servers).policy.pool.subset)
        moved += len(subsets[1] - subsets[0] - set(names_after[-18:]))
    assert moved <= 40 * 12 / 4  # of the servers that stay, this many joined a subset


def test_a_fleet_is_sparse_from_the_size_at_which_heartbeats_to_all_cost_too_much() -> None:
    """At 42 gateways, where heartbeats to all used up what a gateway can receive, the score G fell suddenly;
    from about fourteen gateways on messages had cost more than they were worth.
    """
    for intake, largest in ((100.0, 13), (200.0, 25)):
        for fleet in (2, 4, largest, largest + 1, 41, 42, 200):
            setup = dataclasses.replace(settings(fleet=fleet), mail_per_s=intake)
            assert PolicyDriver(setup).policy.sparse == (fleet > largest)
