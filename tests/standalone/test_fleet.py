"""Servers: the list, drains, cold budget, symptoms and recovery."""

import dataclasses
import random

import pytest

from pewterring.standalone.policy import interface
from tests.standalone.helpers import RULES, SERVERS, Drive, sends, server, settings


def shares_of(
    d: Drive,
    count: int,
    latency: dict[int, float] | None = None,
    bad: dict[int, interface.Code] | None = None,
) -> dict[int, int]:
    """How many of that many requests went first to each server, eight being out at a time.

    `bad` names servers that answer so; further attempts are served.
    """
    got: dict[int, int] = {}
    out: list[interface.Send] = []
    for n in range(count + 8):
        d.now += 0.01
        if n % 10 == 0:
            d.tick()
        if n < count:
            for s in sends(d.ask()):
                got[s.server] = got.get(s.server, 0) + 1
                out.append(s)
        if len(out) > 8 or n >= count:
            for s in out[:1]:
                took = (latency or {}).get(s.server, 0.1)
                for m in sends(d.end(s, (bad or {}).get(s.server, interface.Code.OK), took=took)):
                    d.end(m, interface.Code.OK, attempt=1)
            del out[:1]
    return got


def test_even_where_all_are_alike() -> None:
    got = shares_of(Drive(), 800)
    assert set(got) == set(range(8))
    assert max(got.values()) < 2 * min(got.values())


def test_nothing_to_a_server_listed_draining_deleted_or_left_out() -> None:
    d = Drive()
    changes = (
        interface.Server(0, "a", 0, interface.Mode.DRAINING),
        interface.Server(1, "b", 1, interface.Mode.DELETED),
    )
    d.do(interface.ServerList(interface.ListForm.CHANGES, changes))
    assert not {0, 1} & set(shares_of(d, 100))
    d.do(interface.ServerList(interface.ListForm.WHOLE, SERVERS[4:]))
    assert set(shares_of(d, 100)) == {4, 5, 6, 7}
    d.do(interface.ServerList(interface.ListForm.FAILED))
    assert set(shares_of(d, 100)) == {4, 5, 6, 7}


def test_a_retry_does_not_go_to_a_server_that_drains_meanwhile() -> None:
    d = Drive(servers=SERVERS[:2])
    first = d.sent()
    other = 1 - first.server
    d.do(
        interface.ServerList(
            interface.ListForm.CHANGES, (interface.Server(other, mode=interface.Mode.DRAINING),)
        )
    )
    assert other not in [s.server for s in sends(d.end(first, interface.Code.UNAVAILABLE))]


def test_cold_server_gets_its_part_and_never_tips() -> None:
    """What one gatekeeper sends in any window stays below its part of the budget of the rule."""
    d = Drive()
    shares_of(d, 600)
    d.do(interface.ServerList(interface.ListForm.CHANGES, (server(9, came_up=d.now),)))
    start, hits, warm = d.now, [], 0
    while d.now < start + RULES.cold:
        got = shares_of(d, 10)
        hits += [d.now] * got.get(9, 0)
        warm += 10 - got.get(9, 0)
    capacity = warm / 8 / RULES.cold  # a warm server takes at least this
    for at in hits:
        window = [h for h in hits if at <= h < at + RULES.tip_after]
        present = RULES.cold_share + (1 - RULES.cold_share) * (at - start) / RULES.cold
        assert len(window) <= RULES.fall_multiple * present * capacity * RULES.tip_after + 1
    assert len(hits) > 5


def test_cold_server_that_rejects_at_once_is_not_hammered() -> None:
    d = Drive()
    shares_of(d, 300)
    d.do(interface.ServerList(interface.ListForm.CHANGES, (server(9, came_up=d.now),)))
    got = shares_of(d, 200, bad={9: interface.Code.RESOURCE_EXHAUSTED})
    assert got.get(9, 0) <= 200 / 9


def test_slow_server_gets_less_and_recovers_by_real_traffic() -> None:
    d = Drive()
    shares_of(d, 200)
    slow = shares_of(d, 800, latency={3: 1.0})
    assert slow.get(3, 0) < 50
    d.now += 30.0
    again = shares_of(d, 800)
    assert again.get(3, 0) > 50


def test_fast_errors_attract_no_traffic() -> None:
    got = shares_of(Drive(), 800, bad={3: interface.Code.INTERNAL})
    assert 0 < got.get(3, 0) < 40


def test_turned_away_as_full_counts_less_than_an_error() -> None:
    full = shares_of(Drive(), 800, bad={3: interface.Code.RESOURCE_EXHAUSTED}).get(3, 0)
    error = shares_of(Drive(), 800, bad={3: interface.Code.INTERNAL}).get(3, 0)
    assert full > error


def test_all_in_trouble_alike_are_all_still_used() -> None:
    """Ejection is relative: when every server errs none is left out."""
    d = Drive()
    got = shares_of(d, 400, bad=dict.fromkeys(range(8), interface.Code.INTERNAL))
    assert set(got) == set(range(8))


def silence(d: Drive) -> tuple[interface.Send, list[interface.Action]]:
    """One server stops answering while the others go on."""
    d.serve(40)
    first = d.sent()
    told: list[interface.Action] = []
    for _ in range(60):
        d.now += 0.05
        told += d.do(interface.TimerDue(2))
    return first, told


def test_silent_server_is_avoided_probed_and_its_request_copied() -> None:
    d = Drive()
    first, told = silence(d)
    (copy,) = sends(told)
    assert copy.id == first.id
    assert copy.server != first.server
    assert interface.Probe(first.server) in told
    assert first.server not in shares_of(d, 200)


def test_no_copy_where_two_may_not_be_out_or_effects_forbid_it() -> None:
    d = Drive(settings(limits=interface.Limits(max_attempts=3)))
    _, told = silence(d)
    assert not sends(told)
    assert not [a for a in told if isinstance(a, interface.Probe)]
    d = Drive()
    d.serve(40)
    d.sent("once")
    d.now += 3.0
    assert not sends(d.do(interface.TimerDue(2)))


def test_back_from_silence_counts_as_cold() -> None:
    d = Drive()
    first, _ = silence(d)
    d.do(interface.ProbeResult(first.server, interface.Code.OK, 0.01))
    node = d.gatekeeper.fleet.nodes[first.server]
    assert not node.unresponsive
    assert d.gatekeeper.fleet.warmth(node, d.now) < 0.5


def test_brief_standstill_is_not_a_restart() -> None:
    d = Drive()
    first, _ = silence(d)
    node = d.gatekeeper.fleet.nodes[first.server]
    node.health_of("pure").unresponsive_since = d.now - RULES.tip_after / 2
    d.end(first, interface.Code.OK)
    assert d.gatekeeper.fleet.warmth(node, d.now) == 1.0


def test_all_silent_are_still_used() -> None:
    d = Drive()
    d.serve(20)
    for _ in range(5):
        d.sent()
    d.now += 3.0
    d.do(interface.TimerDue(2))
    assert sends(d.ask())


@pytest.mark.parametrize("form", list(interface.ListForm))
def test_asked_discovery_subscribes_and_asks_again_after_a_failure(form: interface.ListForm) -> None:
    d = Drive(settings(ask=True))
    assert interface.Subscribe() in d.first
    timers = [a for a in d.do(interface.ServerList(form, SERVERS)) if isinstance(a, interface.SetTimer)]
    if form != interface.ListForm.FAILED:
        assert timers == []
        return
    (again,) = timers
    assert 0 < again.delay < RULES.ask_within
    assert interface.Subscribe() in d.do(interface.TimerDue(again.label))


def test_gone_servers_are_forgotten_once_their_attempts_end() -> None:
    d = Drive()
    first = d.sent()
    rest = tuple(s for s in SERVERS if s.id != first.server)
    d.do(interface.ServerList(interface.ListForm.WHOLE, rest))
    assert first.server in d.gatekeeper.fleet.nodes
    d.end(first, interface.Code.OK)
    d.do(interface.ServerList(interface.ListForm.WHOLE, rest))
    assert first.server not in d.gatekeeper.fleet.nodes


def test_same_zone_first_where_crossing_costs_and_all_else_is_equal() -> None:
    setup = settings()
    costly = interface.Settings(
        0, 3, "a", setup.classes, setup.plans, setup.limits, setup.rules, price_cross_zone=0.01
    )
    d = Drive(costly)
    d.serve(50)
    used = {id for id, node in d.gatekeeper.fleet.nodes.items() if node.last_answer > 0}
    assert used == {0, 2, 4, 6}


def test_long_streams_are_no_silence() -> None:
    d = Drive()
    d.serve(20)
    first = d.sent("stream")
    d.do(interface.StreamStarted(first.id, 0, first.server, 0.1))
    d.now += 100.0
    d.do(interface.TimerDue(2))
    assert not d.gatekeeper.fleet.nodes[first.server].unresponsive
    assert d.end(first, interface.Code.OK) == []


def test_where_many_send_cold_servers_are_tried_though_warm_ones_look_idle() -> None:
    """Twenty gatekeepers, each with an attempt or two out: by own attempts alone some warm server always
    looks idle, and none would try the cold ones. Six in ten workers replaced left the others in a jam.
    """
    servers = tuple(server(n, came_up=0.0 if n < 8 else 100.0) for n in range(20))
    d = Drive(settings(fleet=20), servers)
    tried: set[int] = set()
    for _ in range(120):  # within six of the ten seconds that they stay cold
        d.now += 0.05
        d.tick()
        for send in sends(d.ask()):
            tried.add(send.server)
            d.end(send, interface.Code.OK)
    assert len(tried & set(range(8, 20))) >= 4


def test_the_parts_of_many_senders_add_up_to_a_cold_server_s_fair_part() -> None:
    """Six in ten servers are new. Chance on top of the budget halved what they got, and a budget reckoned by
    what was wanted instead of what was sent on gave them more than the warm ones: either way half a fleet
    stood in a jam beside an idle one.
    """
    servers = tuple(server(n, came_up=0.0 if n < 24 else 100.0) for n in range(60))
    setups = [dataclasses.replace(settings(me=n, fleet=40), mail_per_s=100.0) for n in range(40)]
    fleet = [Drive(s, servers, seed=n) for n, s in enumerate(setups)]
    sent, fair, rng = dict.fromkeys(range(60), 0), 0.0, random.Random(3)
    for step in range(1, 401):  # eight seconds, seven requests a second each
        for d in fleet:
            d.now = 100.0 + step * 0.02
            if step % 25 == 0:
                d.tick()
            if rng.random() < 0.14:
                for send in sends(d.ask()):
                    sent[send.server] += 1
                    d.end(send, interface.Code.OK, took=0.02)
        fair += (RULES.cold_share + (1 - RULES.cold_share) * step * 0.02 / RULES.cold) / 400
    warm, cold = sum(sent[n] for n in range(24)) / 24, sum(sent[n] for n in range(24, 60)) / 36
    assert 0.7 * fair < cold / warm < 1.25 * fair
