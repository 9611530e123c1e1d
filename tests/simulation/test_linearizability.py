"""The checker itself: what it accepts, and that it finds each kind of wrong history."""

import pytest

from tests.simulation.history import NONE, History, Order, Outcome, Read, State
from tests.simulation.linearizability import NotLinearizable, check

A, B, C = State(1, "a"), State(2, "b"), State(3, "c")
OTHER_B = State(2, "other")


def put(state: State, base: int, began: float, ended: float, outcome: Outcome = Outcome.DONE) -> Order:
    return Order(state, base, began, ended, outcome)


def test_orders_and_reads_one_after_the_other() -> None:
    history = History([put(A, 0, 0, 1), put(B, 1, 2, 3)], [Read(NONE, 0, 0.5), Read(A, 1, 2), Read(B, 3, 4)])
    assert check(history) == [NONE, A, B]


def test_a_read_that_overlaps_an_order_may_see_either() -> None:
    for seen in (A, B):
        check(History([put(A, 0, 0, 1), put(B, 1, 2, 5)], [Read(seen, 3, 4)]))


def test_an_order_without_an_answer_may_be_in_force_or_not() -> None:
    unknown = put(B, 1, 2, 3, Outcome.UNKNOWN)
    assert check(History([put(A, 0, 0, 1), unknown], [Read(A, 8, 9)])) == [NONE, A]
    assert check(History([put(A, 0, 0, 1), unknown], [Read(A, 8, 9), Read(B, 9, 10)])) == [NONE, A, B]


def test_an_order_that_nobody_saw_may_carry_a_later_one() -> None:
    history = History([put(A, 0, 0, 1, Outcome.UNKNOWN), put(B, 1, 2, 3)])
    assert check(history) == [NONE, A, B]


def test_an_order_may_be_acknowledged_again_much_later() -> None:
    check(History([put(A, 0, 0, 1), put(B, 1, 2, 3), put(A, 0, 5, 6)]))


def test_a_refusal_while_another_version_was_current() -> None:
    check(History([put(A, 0, 0, 1), put(B, 1, 2, 3), put(C, 1, 2, 4, Outcome.REFUSED)]))


WRONG = {
    "a read of what was before, after the acknowledgement": History(
        [put(A, 0, 0, 1), put(B, 1, 2, 3)], [Read(A, 4, 5)]
    ),
    "a read goes back": History(
        [put(A, 0, 0, 1), put(B, 1, 2, 9, Outcome.UNKNOWN)], [Read(B, 3, 4), Read(A, 5, 6)]
    ),
    "an acknowledged order is lost": History([put(A, 0, 0, 1), put(B, 1, 2, 3)], [Read(A, 90, 91)]),
    "two orders on one base are both taken": History([put(A, 0, 0, 1), put(B, 1, 2, 3), put(C, 1, 2, 3)]),
    "two orders under one number are both taken": History([put(B, 0, 0, 1), put(OTHER_B, 0, 0, 1)]),
    "a state that was never sent": History([put(A, 0, 0, 1)], [Read(B, 2, 3)]),
    "a refused order was in force": History([put(A, 0, 0, 1, Outcome.REFUSED), put(A, 0, 2, 3)]),
    "a proper order is refused and nothing newer ever was": History(
        [put(A, 0, 0, 1), put(B, 1, 2, 3, Outcome.REFUSED)]
    ),
    "a proper order is refused before anything newer was sent": History(
        [put(A, 0, 0, 1), put(C, 1, 2, 3, Outcome.REFUSED), put(B, 1, 5, 6)]
    ),
    "an order is read before it was sent": History([put(A, 0, 5, 6)], [Read(A, 1, 2)]),
    "an order on a version that never was": History([put(A, 0, 0, 1), put(C, 2, 2, 3)]),
    "what was read is gone, though a later order was taken": History(
        [put(A, 0, 0, 1), put(B, 1, 2, 3, Outcome.UNKNOWN), put(C, 1, 5, 6)], [Read(B, 3, 4)]
    ),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_wrong_history_is_found(name: str) -> None:
    with pytest.raises(NotLinearizable):
        check(WRONG[name])
