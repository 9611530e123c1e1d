"""Fleets too large for all to hear each other: sampled heartbeats, lent slots, keepers of accounts."""

import dataclasses
import random

from pewterring.admission.ceiling import Ceiling
from pewterring.admission.shares import BEAT_S, Shares
from pewterring.standalone.peer_messages import HEARTBEAT_TAG, Beat, write_beat
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import Fleet
from tests.standalone.helpers import CLASSES, SERVERS, Drive, sends, server, settings

FLEET = 300


def member(me: int, seed: int = 7) -> Drive:
    return Drive(settings(me=me, fleet=FLEET), seed=seed)


def beat(out: int, number: int, limit: float = 400.0) -> bytes:
    return write_beat(Beat(number, 1, limit, out, 1.0, 1.0))


def test_beats_go_to_a_few_whatever_the_size() -> None:
    d = member(3)
    told = [t for _ in range(40) for t in d.tick(BEAT_S / 2)]
    assert len(told) == 40
    assert len({t.peer for t in told}) > 20
    assert all(t.peer != 3 and t.data[:1] == HEARTBEAT_TAG for t in told)


def test_idle_slots_are_lent_and_busy_ones_are_not() -> None:
    for out, served in ((0, 3), (3, 1)):
        d = member(3)
        for n in range(10, 30):
            d.do(interface.PeerMail(n, beat(out, n)))
        d.tick(BEAT_S)
        d.gatekeeper.shares.share = 1.0
        count = sum(len(sends(d.ask())) for _ in range(10))
        assert count >= 3 if out == 0 else count == served


def test_those_heard_speak_for_the_rest_and_unheard_it_counts_as_busy() -> None:
    s = Shares(FLEET, 1, sparse=True)
    s.began = 0.0
    for n in range(10, 20):
        s.hear(1.0, n, beat(1, n), 400.0)
    s.divide(1.0, 400.0)
    assert s.elsewhere == FLEET - 1
    s.divide(100.0, 400.0)
    assert s.elsewhere == 400.0
    assert s.room(0) < 3.0


def test_servers_are_chosen_in_proportion_to_rating() -> None:
    d = member(3)
    double = tuple(dataclasses.replace(s, rating=2.0) for s in SERVERS[:2])
    d.do(interface.ServerList(interface.ListForm.CHANGES, double))
    got = [0] * len(SERVERS)
    for _ in range(2000):
        (send,) = sends(d.ask())
        got[send.server] += 1
        d.end(send, interface.Code.OK)
    assert all(1.4 < got[n] / (sum(got[2:]) / 6) < 2.8 for n in (0, 1))
    assert all(count > 50 for count in got)


def test_a_cold_server_is_at_first_for_a_few_of_the_fleet() -> None:
    drives = [Drive(settings(me=n, fleet=FLEET), (server(9, came_up=99.9),), seed=n) for n in range(FLEET)]
    at_once = sum(len(sends(d.ask())) for d in drives)
    assert at_once <= 4 * Fleet.COLD_SENDERS


def test_large_fleets_move_the_ceiling_as_fast_by_longer_steps() -> None:
    large = Ceiling(FLEET)
    large.rescale(80.0, 80)
    start = large.limit
    for _ in range(30):
        large.observe(CLASSES["pure"], 0.05, 1e9)
    assert large.limit > 1.5 * start


def test_a_costly_request_is_no_queue() -> None:
    c = Ceiling(3)
    c.rescale(8.0, 8)
    for n in range(640):
        c.observe(CLASSES["pure"], 5.0 if n % 50 == 49 else 0.1, 1e9)
    assert c.mean["pure"] < 0.2


def test_each_server_is_near_to_as_many_gatekeepers_as_any_other() -> None:
    """Picked by chance, some servers were near to three of forty gatekeepers and some to fourteen."""
    rng, counts = random.Random(4), [0] * 60
    names = [rng.getrandbits(48) for _ in range(60)]
    for me in range(40):
        order = rng.sample(range(60), 60)  # each numbers them by its own order
        servers = tuple(
            dataclasses.replace(server(id), common=names[n], zone=str(n)) for id, n in enumerate(order, 1)
        )
        gatekeeper = Drive(settings(me=me, fleet=40), servers, seed=me).gatekeeper
        for id in gatekeeper.fleet.subset:
            counts[order[id - 1]] += 1
    assert min(counts) >= 7
    assert max(counts) <= 9


def test_a_release_leaves_most_near_servers_where_they_stay() -> None:
    rng, moved = random.Random(4), 0
    names = [rng.getrandbits(48) for _ in range(60)]
    new = names[18:] + [rng.getrandbits(48) for _ in range(18)]
    for me in range(40):
        near = []
        for listed in (names, new):
            servers = tuple(dataclasses.replace(server(n), common=n) for n in listed)
            near.append(Drive(settings(me=me, fleet=40), servers).gatekeeper.fleet.subset)
        moved += len(near[1] - near[0] - set(new[-18:]))
    assert moved <= 40 * 12 / 4  # of those that stay, so many of what is near came near anew


def test_the_line_to_sparse_fleets_goes_by_what_beats_to_all_would_take() -> None:
    """At 42 gatekeepers, where beats to all filled the intake, G fell at a stroke; messages had cost more
    than they were worth from some fourteen on.
    """
    for intake, most in ((100.0, 13), (200.0, 25)):
        for fleet in (2, 4, most, most + 1, 41, 42, 200):
            setup = dataclasses.replace(settings(fleet=fleet), mail_per_s=intake)
            assert Drive(setup).gatekeeper.sparse == (fleet > most)
