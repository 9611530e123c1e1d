"""Health by worker and class: one class may go unanswered where the others are served."""

import dataclasses

import pytest

from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import HEALTH_TICK
from tests.standalone.helpers import LIMITS, Drive, sends, server, settings

ONE = (server(1), server(3))


def warm(d: Drive) -> None:
    d.serve(40)
    for _ in range(20):
        d.now += 0.1
        d.end(d.sent("once"), interface.Code.OK)


def unanswered(d: Drive, cls: str, past: float = 1.5) -> tuple[interface.Send, list[interface.Action]]:
    """A request that waits for so long, beside others that are answered."""
    first = d.sent(cls)
    done: list[interface.Action] = []
    other = "pure" if cls == "once" else "once"
    for _ in range(int(past / 0.1)):
        d.now += 0.1
        for send in sends(d.ask(other)):
            d.end(send, interface.Code.OK)
        done += d.do(interface.TimerDue(HEALTH_TICK))
    return first, done


def served_at(d: Drive, server: int, cls: str, count: int) -> int:
    """How many of so many requests, one after the other, go to that server."""
    got = 0
    for _ in range(count):
        d.now += 0.02
        send = d.sent(cls)
        got += send.server == server
        d.end(send, interface.Code.OK)
    return got


def test_a_class_goes_elsewhere_where_it_is_left_unanswered_and_the_others_stay() -> None:
    """At each answer of another class the worker counted as well again: half of one class's requests waited
    at workers that served the rest as usual (cludo-main rough-2).
    """
    d = Drive(servers=ONE)
    warm(d)
    first, _ = unanswered(d, "once")
    d.do(interface.Outcome(first.id, 0, first.server, interface.Code.CANCELLED, 1.0))
    assert served_at(d, first.server, "once", 20) == 0
    assert served_at(d, first.server, "pure", 40) >= 10


def test_what_must_not_run_twice_is_given_up_on_once_its_answer_is_worth_nothing() -> None:
    d = Drive(servers=ONE)
    warm(d)
    first, done = unanswered(d, "once")
    assert interface.Cancel(first.id, 0) in done
    assert not sends(done)
    ended = d.do(interface.Outcome(first.id, 0, first.server, interface.Code.CANCELLED, 1.0))
    assert ended == [interface.Fail(first.id)]


def test_it_is_not_given_up_on_while_its_answer_would_still_be_wanted() -> None:
    d = Drive(servers=ONE)
    warm(d)
    _, done = unanswered(d, "once", past=0.9)  # the aim is a second
    assert not [a for a in done if isinstance(a, interface.Cancel)]


@pytest.mark.parametrize("duplicate", [True, False])
def test_what_may_be_repeated_is_sent_elsewhere_with_one_attempt_out_where_copies_are_barred(
    duplicate: bool,
) -> None:
    """Where no second copy is allowed a request waited at a silent worker until its client gave up."""
    limits = dataclasses.replace(LIMITS, may_duplicate=duplicate)
    d = Drive(settings(limits=limits), ONE)
    warm(d)
    first, done = unanswered(d, "pure")
    if duplicate:
        (copy,) = sends(done)
    else:
        assert interface.Cancel(first.id, 0) in done
        assert not sends(done)
        (copy,) = sends(d.do(interface.Outcome(first.id, 0, first.server, interface.Code.CANCELLED, 1.0)))
    assert copy.id == first.id
    assert copy.server != first.server


def test_a_fault_speaks_for_a_class_of_which_nothing_came_back_lately() -> None:
    d = Drive(servers=ONE)
    d.serve(10)
    d.end(d.sent("once"), interface.Code.OK)
    d.now += 60.0
    for _ in range(12):
        d.now += 0.01
        send = d.sent("pure")
        d.end(send, interface.Code.INTERNAL if send.server == 1 else interface.Code.OK, last=True)
    node = d.gatekeeper.fleet.nodes[1]
    assert d.gatekeeper.fleet.symptoms(node.health_of("once"), d.now)[1] > 0.05
