"""Every path to a final answer, and which retries each outcome allows for each kind of effect."""

import pytest

from pewterring.standalone.policy import interface
from tests.standalone.helpers import (
    DEADLINE,
    LIMITS,
    SERVERS,
    PolicyDriver,
    final_answers,
    sends,
    server,
    settings,
)

MAY_HAVE_RUN = [
    interface.Code.INTERNAL,
    interface.Code.DEADLINE_EXCEEDED,
    interface.Code.ABORTED,
    interface.Code.CANCELLED,
]
NEVER_RAN = [interface.Code.RESOURCE_EXHAUSTED, interface.Code.UNAVAILABLE, interface.Code.TOO_LATE]
CLASSES = ["pure", "token-all", "token-zone", "token-cell", "once"]


def kinds(actions: list[interface.Action]) -> list[type]:
    return [type(a) for a in actions]


def test_a_served_request_needs_no_action_of_the_policy() -> None:
    driver = PolicyDriver()
    assert driver.end(driver.sent(), interface.Code.OK) == []
    assert not driver.policy.requests
    assert driver.policy.in_flight == 0


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("code", NEVER_RAN)
def test_a_request_that_never_ran_is_sent_to_another_server(cls: str, code: interface.Code) -> None:
    driver = PolicyDriver()
    first = driver.sent(cls)
    (again,) = driver.end(first, code)
    assert isinstance(again, interface.Send)
    assert again.server != first.server


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("code", NEVER_RAN)
def test_a_request_without_attempts_left_that_never_ran_is_refused(cls: str, code: interface.Code) -> None:
    driver = PolicyDriver(settings(limits=interface.Limits(max_attempts=1)))
    assert kinds(driver.end(driver.sent(cls), code)) == [interface.Refuse]


@pytest.mark.parametrize("code", MAY_HAVE_RUN)
@pytest.mark.parametrize("cls", CLASSES)
def test_a_request_that_may_have_run_is_retried_only_if_its_class_allows(
    cls: str, code: interface.Code
) -> None:
    driver = PolicyDriver()
    first = driver.sent(cls)
    actions = driver.end(first, code)
    if cls == "once":
        assert kinds(actions) == [interface.Fail]
        return
    (again,) = actions
    assert isinstance(again, interface.Send)
    here, there = SERVERS[first.server], SERVERS[again.server]
    assert cls != "token-zone" or there.zone == here.zone
    assert cls != "token-cell" or there.cell == here.cell


@pytest.mark.parametrize("code", MAY_HAVE_RUN)
@pytest.mark.parametrize(
    ("cls", "final"),
    [
        ("pure", interface.Refuse),
        ("token-all", interface.Refuse),
        ("token-zone", interface.Fail),
        ("token-cell", interface.Fail),
        ("once", interface.Fail),
    ],
)
def test_a_request_that_may_have_run_is_never_refused(cls: str, code: interface.Code, final: type) -> None:
    driver = PolicyDriver(settings(limits=interface.Limits(max_attempts=1)))
    assert kinds(driver.end(driver.sent(cls), code)) == [final]


@pytest.mark.parametrize("cls", ["token-all", "token-zone", "token-cell"])
def test_a_token_request_is_not_retried_after_its_repeat_window(cls: str) -> None:
    driver = PolicyDriver()
    first = driver.sent(cls)
    driver.now += 2.0
    assert not sends(driver.end(first, interface.Code.INTERNAL))


def test_a_token_request_leaves_its_group_only_while_no_attempt_may_have_run() -> None:
    alone = (server(0, "a", 0), server(1, "b", 1))
    driver = PolicyDriver(servers=alone)
    first = driver.sent("token-cell")
    (again,) = driver.end(first, interface.Code.UNAVAILABLE)
    assert isinstance(again, interface.Send)
    assert again.server != first.server
    third = driver.end(again, interface.Code.INTERNAL, attempt=1)
    assert [s.server for s in sends(third)] in ([], [again.server])


def test_a_side_effect_request_fails_once_a_retry_may_have_run() -> None:
    driver = PolicyDriver()
    first = driver.sent("once")
    (again,) = driver.end(first, interface.Code.UNAVAILABLE)
    assert isinstance(again, interface.Send)
    assert kinds(driver.end(again, interface.Code.INTERNAL, attempt=1)) == [interface.Fail]


def test_a_request_is_refused_at_once_if_no_server_is_known() -> None:
    driver = PolicyDriver(servers=())
    assert kinds(driver.ask()) == [interface.Refuse]


def test_requests_are_refused_if_all_servers_are_draining() -> None:
    driver = PolicyDriver()
    first = driver.sent()
    drain = tuple(interface.Server(s.id, s.zone, s.cell, interface.Mode.DRAINING) for s in SERVERS)
    driver.do(interface.ServerList(interface.ListForm.CHANGES, drain))
    assert kinds(driver.ask()) == [interface.Refuse]
    assert kinds(driver.end(first, interface.Code.UNAVAILABLE)) == [interface.Refuse]


def test_servers_in_slow_start_get_few_requests_and_the_rest_are_refused() -> None:
    driver = PolicyDriver(servers=tuple(server(n, came_up=99.9) for n in range(4)))
    answers = [driver.ask()[0] for _ in range(20)]
    assert 0 < len(sends(answers)) <= 8
    assert len(final_answers(answers)) == 20 - len(sends(answers))


def test_the_deadline_passes_with_an_attempt_in_flight() -> None:
    driver = PolicyDriver()
    first = driver.sent()
    driver.now += DEADLINE
    assert kinds(driver.end(first, interface.Code.DEADLINE_EXCEEDED)) == [interface.Fail]


def test_two_attempts_in_flight_at_the_deadline_give_one_answer() -> None:
    driver = PolicyDriver()
    driver.serve(10)
    first = driver.sent()
    driver.now += 3.0
    (copy,) = sends(driver.do(interface.TimerDue(2)))
    driver.now += 1.0
    assert driver.end(first, interface.Code.DEADLINE_EXCEEDED) == []
    assert kinds(driver.end(copy, interface.Code.DEADLINE_EXCEEDED, attempt=1)) == [interface.Fail]


def test_a_disconnected_client_frees_its_slot_only_when_the_attempt_ends() -> None:
    driver = PolicyDriver()
    first = driver.sent()
    assert driver.do(interface.Expired(first.id)) == [interface.Cancel(first.id, 0)]
    assert driver.policy.in_flight == 1
    assert driver.end(first, interface.Code.CANCELLED) == []
    assert driver.policy.in_flight == 0
    assert not driver.policy.attempts


def test_attempts_are_cancelled_only_if_allowed() -> None:
    driver = PolicyDriver(settings(limits=interface.Limits(max_attempts=2)))
    assert driver.do(interface.Expired(driver.sent().id)) == []


def test_late_outcomes_and_unknown_ids_are_ignored() -> None:
    driver = PolicyDriver()
    first = driver.sent()
    driver.end(first, interface.Code.OK)
    assert driver.end(first, interface.Code.INTERNAL) == []
    assert driver.do(interface.Expired(first.id)) == []
    assert driver.do(interface.Expired(999)) == []
    assert driver.do(interface.Outcome(999, 0, 1, interface.Code.OK, 0.1, True)) == []
    assert driver.do(interface.ProbeResult(999, interface.Code.OK, 0.1)) == []
    assert driver.policy.in_flight == 0


def test_a_started_stream_cancels_its_duplicates_and_is_not_retried() -> None:
    driver = PolicyDriver()
    driver.serve(10)
    first = driver.sent("stream")
    driver.now += 3.0
    (copy,) = sends(driver.do(interface.TimerDue(2)))
    assert driver.do(interface.StreamStarted(first.id, 0, first.server, 3.0)) == [
        interface.Cancel(first.id, 1)
    ]
    assert driver.end(copy, interface.Code.CANCELLED, attempt=1) == []
    assert driver.end(first, interface.Code.ABORTED, last=True) == []
    assert not driver.policy.requests


def test_a_request_of_an_unknown_class_is_never_sent_twice() -> None:
    driver = PolicyDriver()
    first = driver.sent("stranger")
    assert kinds(driver.end(first, interface.Code.INTERNAL)) == [interface.Fail]


def test_retry_after_is_given_only_if_clients_honour_it() -> None:
    driver = PolicyDriver(servers=())
    (refusal,) = driver.ask()
    assert isinstance(refusal, interface.Refuse)
    assert 0 < refusal.retry_after <= LIMITS.max_retry_after
    driver = PolicyDriver(settings(limits=interface.Limits(max_attempts=2)), servers=())
    assert [(a.id, a.retry_after) for a in driver.ask() if isinstance(a, interface.Refuse)] == [(1, 0.0)]


def test_extra_attempts_have_a_budget() -> None:
    driver = PolicyDriver()
    for _ in range(200):
        first = driver.sent()
        for again in sends(driver.end(first, interface.Code.INTERNAL)):
            driver.end(again, interface.Code.OK, attempt=1)
    extras = 0
    for _ in range(200):
        more = sends(driver.end(driver.sent(), interface.Code.INTERNAL))
        extras += len(more)
        for a in more:
            driver.end(a, interface.Code.OK, attempt=1)
    assert 0 < extras <= 200 * driver.policy.RETRY_RATIO + 1


def test_a_retry_needs_a_free_slot() -> None:
    driver = PolicyDriver()
    first = driver.sent()
    driver.policy.shares.share = 0.0
    assert kinds(driver.end(first, interface.Code.INTERNAL)) == [interface.Refuse]


def test_overdue_attempts_hold_no_slot_but_their_requests_are_answered() -> None:
    driver = PolicyDriver()
    driver.serve(40)
    endless = [driver.sent("once") for _ in range(5)]
    assert driver.policy.in_flight == 5
    driver.now += driver.policy.LOST * 0.1 + 0.1
    driver.do(interface.TimerDue(2))
    assert driver.policy.in_flight == 0
    for s in endless:
        assert kinds(driver.end(s, interface.Code.DEADLINE_EXCEEDED)) == [interface.Fail]
    driver.do(interface.TimerDue(2))
    assert driver.policy.in_flight == 0


def test_retry_after_is_the_expected_time_until_a_slot_is_free() -> None:
    """That is the usual latency: with a fixed half second the retry came after the client's deadline."""
    driver = PolicyDriver()
    driver.serve(20, latency=0.1)
    driver.policy.ceiling.limit = 0.0
    (refusal,) = driver.ask()
    assert isinstance(refusal, interface.Refuse)
    assert refusal.retry_after == pytest.approx(0.1)
