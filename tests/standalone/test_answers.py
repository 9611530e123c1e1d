"""Every path to a final answer, and what each outcome allows for each kind of effect."""

import pytest

from pewterring.standalone.policy import interface as i
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

MAY_HAVE_RUN = [i.Code.INTERNAL, i.Code.DEADLINE_EXCEEDED, i.Code.ABORTED, i.Code.CANCELLED]
NEVER_RAN = [i.Code.RESOURCE_EXHAUSTED, i.Code.UNAVAILABLE, i.Code.TOO_LATE]
CLASSES = ["pure", "token-all", "token-zone", "token-cell", "once"]


def kinds(actions: list[i.Action]) -> list[type]:
    return [type(a) for a in actions]


def test_served_needs_no_answer_of_ours() -> None:
    d = PolicyDriver()
    assert d.end(d.sent(), i.Code.OK) == []
    assert not d.policy.requests
    assert d.policy.in_flight == 0


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("code", NEVER_RAN)
def test_proven_not_run_is_sent_again_elsewhere(cls: str, code: i.Code) -> None:
    d = PolicyDriver()
    first = d.sent(cls)
    (again,) = d.end(first, code)
    assert isinstance(again, i.Send)
    assert again.server != first.server


@pytest.mark.parametrize("cls", CLASSES)
@pytest.mark.parametrize("code", NEVER_RAN)
def test_attempts_exhausted_all_proven_not_run_is_refused(cls: str, code: i.Code) -> None:
    d = PolicyDriver(settings(limits=i.Limits(max_attempts=1)))
    assert kinds(d.end(d.sent(cls), code)) == [i.Refuse]


@pytest.mark.parametrize("code", MAY_HAVE_RUN)
@pytest.mark.parametrize("cls", CLASSES)
def test_after_it_may_have_run(cls: str, code: i.Code) -> None:
    d = PolicyDriver()
    first = d.sent(cls)
    actions = d.end(first, code)
    if cls == "once":
        assert kinds(actions) == [i.Fail]
        return
    (again,) = actions
    assert isinstance(again, i.Send)
    here, there = SERVERS[first.server], SERVERS[again.server]
    assert cls != "token-zone" or there.zone == here.zone
    assert cls != "token-cell" or there.cell == here.cell


@pytest.mark.parametrize("code", MAY_HAVE_RUN)
@pytest.mark.parametrize(
    ("cls", "final"),
    [
        ("pure", i.Refuse),
        ("token-all", i.Refuse),
        ("token-zone", i.Fail),
        ("token-cell", i.Fail),
        ("once", i.Fail),
    ],
)
def test_refusal_never_where_failure_is_due(cls: str, code: i.Code, final: type) -> None:
    d = PolicyDriver(settings(limits=i.Limits(max_attempts=1)))
    assert kinds(d.end(d.sent(cls), code)) == [final]


@pytest.mark.parametrize("cls", ["token-all", "token-zone", "token-cell"])
def test_token_not_repeated_after_its_window(cls: str) -> None:
    d = PolicyDriver()
    first = d.sent(cls)
    d.now += 2.0
    assert not sends(d.end(first, i.Code.INTERNAL))


def test_token_outside_its_group_only_while_nothing_may_have_run() -> None:
    alone = (server(0, "a", 0), server(1, "b", 1))
    d = PolicyDriver(servers=alone)
    first = d.sent("token-cell")
    (again,) = d.end(first, i.Code.UNAVAILABLE)
    assert isinstance(again, i.Send)
    assert again.server != first.server
    third = d.end(again, i.Code.INTERNAL, attempt=1)
    assert [s.server for s in sends(third)] in ([], [again.server])


def test_once_stays_failed_though_a_later_attempt_never_ran() -> None:
    d = PolicyDriver()
    first = d.sent("once")
    (again,) = d.end(first, i.Code.UNAVAILABLE)
    assert isinstance(again, i.Send)
    assert kinds(d.end(again, i.Code.INTERNAL, attempt=1)) == [i.Fail]


def test_no_server_known_is_refused_at_once() -> None:
    d = PolicyDriver(servers=())
    assert kinds(d.ask()) == [i.Refuse]


def test_all_draining_is_refused_and_nothing_sent_on() -> None:
    d = PolicyDriver()
    first = d.sent()
    drain = tuple(i.Server(s.id, s.zone, s.cell, i.Mode.DRAINING) for s in SERVERS)
    d.do(i.ServerList(i.ListForm.CHANGES, drain))
    assert kinds(d.ask()) == [i.Refuse]
    assert kinds(d.end(first, i.Code.UNAVAILABLE)) == [i.Refuse]


def test_all_cold_is_served_a_little_and_refused_beyond() -> None:
    d = PolicyDriver(servers=tuple(server(n, came_up=99.9) for n in range(4)))
    answers = [d.ask()[0] for _ in range(20)]
    assert 0 < len(sends(answers)) <= 8
    assert len(final_answers(answers)) == 20 - len(sends(answers))


def test_deadline_reached_while_an_attempt_is_out() -> None:
    d = PolicyDriver()
    first = d.sent()
    d.now += DEADLINE
    assert kinds(d.end(first, i.Code.DEADLINE_EXCEEDED)) == [i.Fail]


def test_two_attempts_out_at_the_deadline_give_one_answer() -> None:
    d = PolicyDriver()
    d.serve(10)
    first = d.sent()
    d.now += 3.0
    (copy,) = sends(d.do(i.TimerDue(2)))
    d.now += 1.0
    assert d.end(first, i.Code.DEADLINE_EXCEEDED) == []
    assert kinds(d.end(copy, i.Code.DEADLINE_EXCEEDED, attempt=1)) == [i.Fail]


def test_client_gone_frees_the_slot_only_when_the_attempt_ends() -> None:
    d = PolicyDriver()
    first = d.sent()
    assert d.do(i.Expired(first.id)) == [i.Cancel(first.id, 0)]
    assert d.policy.in_flight == 1
    assert d.end(first, i.Code.CANCELLED) == []
    assert d.policy.in_flight == 0
    assert not d.policy.attempts


def test_cancel_only_where_allowed() -> None:
    d = PolicyDriver(settings(limits=i.Limits(max_attempts=2)))
    assert d.do(i.Expired(d.sent().id)) == []


def test_late_outcome_and_unknown_ids_are_passed_over() -> None:
    d = PolicyDriver()
    first = d.sent()
    d.end(first, i.Code.OK)
    assert d.end(first, i.Code.INTERNAL) == []
    assert d.do(i.Expired(first.id)) == []
    assert d.do(i.Expired(999)) == []
    assert d.do(i.Outcome(999, 0, 1, i.Code.OK, 0.1, True)) == []
    assert d.do(i.ProbeResult(999, i.Code.OK, 0.1)) == []
    assert d.policy.in_flight == 0


def test_started_stream_drops_its_copies_and_is_not_sent_again() -> None:
    d = PolicyDriver()
    d.serve(10)
    first = d.sent("stream")
    d.now += 3.0
    (copy,) = sends(d.do(i.TimerDue(2)))
    assert d.do(i.StreamStarted(first.id, 0, first.server, 3.0)) == [i.Cancel(first.id, 1)]
    assert d.end(copy, i.Code.CANCELLED, attempt=1) == []
    assert d.end(first, i.Code.ABORTED, last=True) == []
    assert not d.policy.requests


def test_unknown_class_is_never_sent_twice() -> None:
    d = PolicyDriver()
    first = d.sent("stranger")
    assert kinds(d.end(first, i.Code.INTERNAL)) == [i.Fail]


def test_advice_only_where_clients_hear_it() -> None:
    d = PolicyDriver(servers=())
    (refusal,) = d.ask()
    assert isinstance(refusal, i.Refuse)
    assert 0 < refusal.retry_after <= LIMITS.max_retry_after
    d = PolicyDriver(settings(limits=i.Limits(max_attempts=2)), servers=())
    assert [(a.id, a.retry_after) for a in d.ask() if isinstance(a, i.Refuse)] == [(1, 0.0)]


def test_extra_attempts_have_a_budget() -> None:
    d = PolicyDriver()
    for _ in range(200):
        first = d.sent()
        for again in sends(d.end(first, i.Code.INTERNAL)):
            d.end(again, i.Code.OK, attempt=1)
    extras = 0
    for _ in range(200):
        more = sends(d.end(d.sent(), i.Code.INTERNAL))
        extras += len(more)
        for a in more:
            d.end(a, i.Code.OK, attempt=1)
    assert 0 < extras <= 200 * d.policy.RETRY_RATIO + 1


def test_a_further_attempt_needs_a_slot() -> None:
    d = PolicyDriver()
    first = d.sent()
    d.policy.shares.share = 0.0
    assert kinds(d.end(first, i.Code.INTERNAL)) == [i.Refuse]


def test_endless_attempts_hold_no_slot_but_still_get_their_answer() -> None:
    d = PolicyDriver()
    d.serve(40)
    endless = [d.sent("once") for _ in range(5)]
    assert d.policy.in_flight == 5
    d.now += d.policy.LOST * 0.1 + 0.1
    d.do(i.TimerDue(2))
    assert d.policy.in_flight == 0
    for s in endless:
        assert kinds(d.end(s, i.Code.DEADLINE_EXCEEDED)) == [i.Fail]
    d.do(i.TimerDue(2))
    assert d.policy.in_flight == 0


def test_who_finds_no_slot_is_told_to_come_back_when_one_comes_free() -> None:
    """After a usual latency: told half a second, its next try came past the time in which it is wanted."""
    d = PolicyDriver()
    d.serve(20, latency=0.1)
    d.policy.ceiling.limit = 0.0
    (refusal,) = d.ask()
    assert isinstance(refusal, i.Refuse)
    assert refusal.retry_after == pytest.approx(0.1)
