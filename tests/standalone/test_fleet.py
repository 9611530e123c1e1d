"""Servers: the list, drains, slow start, health and recovery."""

import dataclasses
import random

import pytest

from pewterring.standalone.policy import interface
from tests.standalone.helpers import RULES, SERVERS, PolicyDriver, sends, server, settings


def first_sends(
    driver: PolicyDriver,
    count: int,
    latency: dict[int, float] | None = None,
    codes: dict[int, interface.Code] | None = None,
) -> dict[int, int]:
    """Counts the first attempts that each server got of `count` requests, with eight in flight at a time.

    Servers in `codes` answer with that code; retries are served.
    """
    counts: dict[int, int] = {}
    in_flight: list[interface.Send] = []
    for n in range(count + 8):
        driver.now += 0.01
        if n % 10 == 0:
            driver.tick()
        if n < count:
            for send in sends(driver.ask()):
                counts[send.server] = counts.get(send.server, 0) + 1
                in_flight.append(send)
        if len(in_flight) > 8 or n >= count:
            for send in in_flight[:1]:
                took = (latency or {}).get(send.server, 0.1)
                for retry in sends(
                    driver.end(send, (codes or {}).get(send.server, interface.Code.OK), took=took)
                ):
                    driver.end(retry, interface.Code.OK, attempt=1)
            del in_flight[:1]
    return counts


def test_equal_servers_get_equal_traffic() -> None:
    counts = first_sends(PolicyDriver(), 800)
    assert set(counts) == set(range(8))
    assert max(counts.values()) < 2 * min(counts.values())


def test_servers_that_drain_or_left_the_list_get_no_traffic() -> None:
    driver = PolicyDriver()
    changes = (
        interface.Server(0, "a", 0, interface.Mode.DRAINING),
        interface.Server(1, "b", 1, interface.Mode.DELETED),
    )
    driver.do(interface.ServerList(interface.ListForm.CHANGES, changes))
    assert not {0, 1} & set(first_sends(driver, 100))
    driver.do(interface.ServerList(interface.ListForm.WHOLE, SERVERS[4:]))
    assert set(first_sends(driver, 100)) == {4, 5, 6, 7}
    driver.do(interface.ServerList(interface.ListForm.FAILED))
    assert set(first_sends(driver, 100)) == {4, 5, 6, 7}


def test_a_retry_does_not_go_to_a_server_that_has_begun_to_drain() -> None:
    driver = PolicyDriver(servers=SERVERS[:2])
    first = driver.sent()
    other = 1 - first.server
    driver.do(
        interface.ServerList(
            interface.ListForm.CHANGES, (interface.Server(other, mode=interface.Mode.DRAINING),)
        )
    )
    assert other not in [s.server for s in sends(driver.end(first, interface.Code.UNAVAILABLE))]


def test_a_cold_server_gets_traffic_but_is_never_overloaded() -> None:
    """In any window a gateway sends no more than its part of what the guarantee allows."""
    driver = PolicyDriver()
    first_sends(driver, 600)
    driver.do(interface.ServerList(interface.ListForm.CHANGES, (server(9, came_up=driver.now),)))
    started_at, cold_sends, warm = driver.now, [], 0
    while driver.now < started_at + RULES.cold:
        counts = first_sends(driver, 10)
        cold_sends += [driver.now] * counts.get(9, 0)
        warm += 10 - counts.get(9, 0)
    capacity = warm / 8 / RULES.cold  # a warm server has at least this capacity
    for start_of_window in cold_sends:
        window = [
            sent_at
            for sent_at in cold_sends
            if start_of_window <= sent_at < start_of_window + RULES.tip_after
        ]
        present_share = (
            RULES.cold_share + (1 - RULES.cold_share) * (start_of_window - started_at) / RULES.cold
        )
        assert len(window) <= RULES.fall_multiple * present_share * capacity * RULES.tip_after + 1
    assert len(cold_sends) > 5


def test_a_cold_server_that_rejects_at_once_is_not_overloaded() -> None:
    driver = PolicyDriver()
    first_sends(driver, 300)
    driver.do(interface.ServerList(interface.ListForm.CHANGES, (server(9, came_up=driver.now),)))
    counts = first_sends(driver, 200, codes={9: interface.Code.RESOURCE_EXHAUSTED})
    assert counts.get(9, 0) <= 200 / 9


def test_a_slow_server_gets_less_and_recovers_by_real_traffic() -> None:
    driver = PolicyDriver()
    first_sends(driver, 200)
    slow = first_sends(driver, 800, latency={3: 1.0})
    assert slow.get(3, 0) < 50
    driver.now += 30.0
    recovered = first_sends(driver, 800)
    assert recovered.get(3, 0) > 50


def test_fast_errors_attract_no_traffic() -> None:
    counts = first_sends(PolicyDriver(), 800, codes={3: interface.Code.INTERNAL})
    assert 0 < counts.get(3, 0) < 40


def test_a_rejection_counts_less_than_an_error() -> None:
    full = first_sends(PolicyDriver(), 800, codes={3: interface.Code.RESOURCE_EXHAUSTED}).get(3, 0)
    error = first_sends(PolicyDriver(), 800, codes={3: interface.Code.INTERNAL}).get(3, 0)
    assert full > error


def test_servers_that_all_fail_are_all_still_used() -> None:
    """Servers are judged relative to each other: when all return errors none is ejected."""
    driver = PolicyDriver()
    counts = first_sends(driver, 400, codes=dict.fromkeys(range(8), interface.Code.INTERNAL))
    assert set(counts) == set(range(8))


def stop_answers(driver: PolicyDriver) -> tuple[interface.Send, list[interface.Action]]:
    """One server stops answering while the others go on."""
    driver.serve(40)
    first = driver.sent()
    actions: list[interface.Action] = []
    for _ in range(60):
        driver.now += 0.05
        actions += driver.do(interface.TimerDue(2))
    return first, actions


def test_an_unresponsive_server_is_avoided_and_probed_and_its_request_duplicated() -> None:
    driver = PolicyDriver()
    first, actions = stop_answers(driver)
    (duplicate,) = sends(actions)
    assert duplicate.id == first.id
    assert duplicate.server != first.server
    assert interface.Probe(first.server) in actions
    assert first.server not in first_sends(driver, 200)


def test_no_duplicate_where_limits_or_effects_forbid_it() -> None:
    driver = PolicyDriver(settings(limits=interface.Limits(max_attempts=3)))
    _, actions = stop_answers(driver)
    assert not sends(actions)
    assert not [a for a in actions if isinstance(a, interface.Probe)]
    driver = PolicyDriver()
    driver.serve(40)
    driver.sent("once")
    driver.now += 3.0
    assert not sends(driver.do(interface.TimerDue(2)))


def test_a_server_that_responds_again_counts_as_cold() -> None:
    driver = PolicyDriver()
    first, _ = stop_answers(driver)
    driver.do(interface.ProbeResult(first.server, interface.Code.OK, 0.01))
    state = driver.policy.pool.servers[first.server]
    assert not state.unresponsive
    assert driver.policy.pool.warmth(state, driver.now) < 0.5


def test_a_brief_pause_does_not_count_as_a_restart() -> None:
    driver = PolicyDriver()
    first, _ = stop_answers(driver)
    state = driver.policy.pool.servers[first.server]
    state.health_of("pure").unresponsive_since = driver.now - RULES.tip_after / 2
    driver.end(first, interface.Code.OK)
    assert driver.policy.pool.warmth(state, driver.now) == 1.0


def test_servers_that_are_all_unresponsive_are_still_used() -> None:
    driver = PolicyDriver()
    driver.serve(20)
    for _ in range(5):
        driver.sent()
    driver.now += 3.0
    driver.do(interface.TimerDue(2))
    assert sends(driver.ask())


@pytest.mark.parametrize("form", list(interface.ListForm))
def test_a_policy_that_requests_the_list_does_so_again_after_a_failure(form: interface.ListForm) -> None:
    driver = PolicyDriver(settings(ask=True))
    assert interface.Subscribe() in driver.first
    timers = [a for a in driver.do(interface.ServerList(form, SERVERS)) if isinstance(a, interface.SetTimer)]
    if form != interface.ListForm.FAILED:
        assert timers == []
        return
    (retry,) = timers
    assert 0 < retry.delay < RULES.ask_within
    assert interface.Subscribe() in driver.do(interface.TimerDue(retry.label))


def test_removed_servers_are_forgotten_once_their_attempts_end() -> None:
    driver = PolicyDriver()
    first = driver.sent()
    rest = tuple(s for s in SERVERS if s.id != first.server)
    driver.do(interface.ServerList(interface.ListForm.WHOLE, rest))
    assert first.server in driver.policy.pool.servers
    driver.end(first, interface.Code.OK)
    driver.do(interface.ServerList(interface.ListForm.WHOLE, rest))
    assert first.server not in driver.policy.pool.servers


def test_servers_of_the_same_zone_come_first_where_crossing_zones_costs() -> None:
    base = settings()
    costly = interface.Settings(
        0, 3, "a", base.classes, base.plans, base.limits, base.rules, price_cross_zone=0.01
    )
    driver = PolicyDriver(costly)
    driver.serve(50)
    used = {id for id, state in driver.policy.pool.servers.items() if state.last_answer > 0}
    assert used == {0, 2, 4, 6}


def test_a_long_stream_does_not_make_its_server_unresponsive() -> None:
    driver = PolicyDriver()
    driver.serve(20)
    first = driver.sent("stream")
    driver.do(interface.StreamStarted(first.id, 0, first.server, 0.1))
    driver.now += 100.0
    driver.do(interface.TimerDue(2))
    assert not driver.policy.pool.servers[first.server].unresponsive
    assert driver.end(first, interface.Code.OK) == []


def test_cold_servers_get_attempts_though_some_warm_server_always_looks_idle() -> None:
    """With 20 gateways, each with an attempt or two in flight, some warm server always looks idle by a
    gateway's own attempts, and the cold ones got nothing: with six in ten servers replaced the others were
    overloaded.
    """
    servers = tuple(server(n, came_up=0.0 if n < 8 else 100.0) for n in range(20))
    driver = PolicyDriver(settings(fleet=20), servers)
    tried: set[int] = set()
    for _ in range(120):  # six seconds, of a warm-up of ten
        driver.now += 0.05
        driver.tick()
        for send in sends(driver.ask()):
            tried.add(send.server)
            driver.end(send, interface.Code.OK)
    assert len(tried & set(range(8, 20))) >= 4


def test_cold_servers_get_their_fair_share_from_many_gateways() -> None:
    """Six in ten servers are new. A random load on top of their tokens halved their share, and tokens from
    the rate of requests instead of the rate forwarded gave them more than the warm ones: either way half of
    the servers were overloaded while the others were idle.
    """
    servers = tuple(server(n, came_up=0.0 if n < 24 else 100.0) for n in range(60))
    setups = [dataclasses.replace(settings(me=n, fleet=40), mail_per_s=100.0) for n in range(40)]
    drivers = [PolicyDriver(setup, servers, seed=n) for n, setup in enumerate(setups)]
    sent, fair_share, rng = dict.fromkeys(range(60), 0), 0.0, random.Random(3)
    for step in range(1, 401):  # eight seconds, seven requests a second at each gateway
        for driver in drivers:
            driver.now = 100.0 + step * 0.02
            if step % 25 == 0:
                driver.tick()
            if rng.random() < 0.14:
                for send in sends(driver.ask()):
                    sent[send.server] += 1
                    driver.end(send, interface.Code.OK, took=0.02)
        fair_share += (RULES.cold_share + (1 - RULES.cold_share) * step * 0.02 / RULES.cold) / 400
    warm, cold = sum(sent[n] for n in range(24)) / 24, sum(sent[n] for n in range(24, 60)) / 36
    assert 0.7 * fair_share < cold / warm < 1.25 * fair_share
