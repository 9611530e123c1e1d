"""Health by server and class: a server may leave one class unanswered and serve the others."""

import dataclasses

import pytest

from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import HEALTH_TICK
from tests.standalone.helpers import LIMITS, PolicyDriver, sends, server, settings

TWO_SERVERS = (server(1), server(3))


def warm_up(driver: PolicyDriver) -> None:
    driver.serve(40)
    for _ in range(20):
        driver.now += 0.1
        driver.end(driver.sent("once"), interface.Code.OK)


def leave_unanswered(
    driver: PolicyDriver, cls: str, duration: float = 1.5
) -> tuple[interface.Send, list[interface.Action]]:
    """Leaves a request unanswered for `duration` seconds, while others are answered."""
    first = driver.sent(cls)
    actions: list[interface.Action] = []
    other = "pure" if cls == "once" else "once"
    for _ in range(int(duration / 0.1)):
        driver.now += 0.1
        for send in sends(driver.ask(other)):
            driver.end(send, interface.Code.OK)
        actions += driver.do(interface.TimerDue(HEALTH_TICK))
    return first, actions


def count_sends(driver: PolicyDriver, server: int, cls: str, count: int) -> int:
    """Counts how many of `count` consecutive requests go to that server."""
    total = 0
    for _ in range(count):
        driver.now += 0.02
        send = driver.sent(cls)
        total += send.server == server
        driver.end(send, interface.Code.OK)
    return total


def test_a_class_left_unanswered_goes_elsewhere_while_the_others_stay() -> None:
    """Each answer to another class made the server count as healthy again: half of one class's requests
    waited at servers that served the rest as usual (cludo-main rough-2).
    """
    driver = PolicyDriver(servers=TWO_SERVERS)
    warm_up(driver)
    first, _ = leave_unanswered(driver, "once")
    driver.do(interface.Outcome(first.id, 0, first.server, interface.Code.CANCELLED, 1.0))
    assert count_sends(driver, first.server, "once", 20) == 0
    assert count_sends(driver, first.server, "pure", 40) >= 10


def test_a_request_that_must_not_run_twice_is_cancelled_once_its_answer_is_worthless() -> None:
    driver = PolicyDriver(servers=TWO_SERVERS)
    warm_up(driver)
    first, actions = leave_unanswered(driver, "once")
    assert interface.Cancel(first.id, 0) in actions
    assert not sends(actions)
    ended = driver.do(interface.Outcome(first.id, 0, first.server, interface.Code.CANCELLED, 1.0))
    assert ended == [interface.Fail(first.id)]


def test_a_request_is_not_cancelled_while_its_answer_still_has_value() -> None:
    driver = PolicyDriver(servers=TWO_SERVERS)
    warm_up(driver)
    _, actions = leave_unanswered(driver, "once", duration=0.9)  # the latency target is one second
    assert not [a for a in actions if isinstance(a, interface.Cancel)]


@pytest.mark.parametrize("duplicate", [True, False])
def test_a_repeatable_request_moves_to_another_server_with_or_without_duplicates(
    duplicate: bool,
) -> None:
    """Without duplicates a request used to wait at an unresponsive server until its client gave up."""
    limits = dataclasses.replace(LIMITS, may_duplicate=duplicate)
    driver = PolicyDriver(settings(limits=limits), TWO_SERVERS)
    warm_up(driver)
    first, actions = leave_unanswered(driver, "pure")
    if duplicate:
        (second,) = sends(actions)
    else:
        assert interface.Cancel(first.id, 0) in actions
        assert not sends(actions)
        (second,) = sends(
            driver.do(interface.Outcome(first.id, 0, first.server, interface.Code.CANCELLED, 1.0))
        )
    assert second.id == first.id
    assert second.server != first.server


def test_an_error_counts_for_classes_without_a_recent_outcome() -> None:
    driver = PolicyDriver(servers=TWO_SERVERS)
    driver.serve(10)
    driver.end(driver.sent("once"), interface.Code.OK)
    driver.now += 60.0
    for _ in range(12):
        driver.now += 0.01
        send = driver.sent("pure")
        driver.end(send, interface.Code.INTERNAL if send.server == 1 else interface.Code.OK, last=True)
    state = driver.policy.pool.servers[1]
    assert driver.policy.pool.symptoms(state.health_of("once"), driver.now)[1] > 0.05
