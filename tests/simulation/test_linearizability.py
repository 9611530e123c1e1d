"""The linearizability checker: what it accepts, and that it finds each kind of wrong history."""

import pytest

from tests.simulation.history import NONE, History, Order, Outcome, Read, State
from tests.simulation.linearizability import NotLinearizableError, check

FIRST, SECOND, THIRD = State(1, "a"), State(2, "b"), State(3, "c")
OTHER_SECOND = State(2, "other")


def put(state: State, base: int, began_s: float, ended: float, outcome: Outcome = Outcome.DONE) -> Order:
    return Order(state, base, began_s, ended, outcome)


def test_orders_and_reads_one_after_the_other() -> None:
    history = History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3)],
        [Read(NONE, 0, 0.5), Read(FIRST, 1, 2), Read(SECOND, 3, 4)],
    )
    assert check(history) == [NONE, FIRST, SECOND]


def test_a_read_that_overlaps_an_order_may_see_either() -> None:
    for seen in (FIRST, SECOND):
        check(History([put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 5)], [Read(seen, 3, 4)]))


def test_an_order_without_an_answer_may_be_in_force_or_not() -> None:
    unknown = put(SECOND, 1, 2, 3, Outcome.UNKNOWN)
    assert check(History([put(FIRST, 0, 0, 1), unknown], [Read(FIRST, 8, 9)])) == [NONE, FIRST]
    assert check(History([put(FIRST, 0, 0, 1), unknown], [Read(FIRST, 8, 9), Read(SECOND, 9, 10)])) == [
        NONE,
        FIRST,
        SECOND,
    ]


def test_an_order_that_nobody_saw_may_carry_a_later_one() -> None:
    history = History([put(FIRST, 0, 0, 1, Outcome.UNKNOWN), put(SECOND, 1, 2, 3)])
    assert check(history) == [NONE, FIRST, SECOND]


def test_an_order_may_be_acknowledged_again_much_later() -> None:
    check(History([put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3), put(FIRST, 0, 5, 6)]))


def test_a_refusal_while_another_version_was_current() -> None:
    check(History([put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3), put(THIRD, 1, 2, 4, Outcome.REFUSED)]))


WRONG = {
    "a read of what was before, after the acknowledgement": History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3)], [Read(FIRST, 4, 5)]
    ),
    "a read goes back": History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 9, Outcome.UNKNOWN)], [Read(SECOND, 3, 4), Read(FIRST, 5, 6)]
    ),
    "an acknowledged order is lost": History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3)], [Read(FIRST, 90, 91)]
    ),
    "two orders on one base are both taken": History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3), put(THIRD, 1, 2, 3)]
    ),
    "two orders under one number are both taken": History([put(SECOND, 0, 0, 1), put(OTHER_SECOND, 0, 0, 1)]),
    "a state that was never sent": History([put(FIRST, 0, 0, 1)], [Read(SECOND, 2, 3)]),
    "a refused order was in force": History([put(FIRST, 0, 0, 1, Outcome.REFUSED), put(FIRST, 0, 2, 3)]),
    "a proper order is refused and nothing newer ever was": History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3, Outcome.REFUSED)]
    ),
    "a proper order is refused before anything newer was sent": History(
        [put(FIRST, 0, 0, 1), put(THIRD, 1, 2, 3, Outcome.REFUSED), put(SECOND, 1, 5, 6)]
    ),
    "an order is read before it was sent": History([put(FIRST, 0, 5, 6)], [Read(FIRST, 1, 2)]),
    "an order on a version that never was": History([put(FIRST, 0, 0, 1), put(THIRD, 2, 2, 3)]),
    "what was read is gone, though a later order was taken": History(
        [put(FIRST, 0, 0, 1), put(SECOND, 1, 2, 3, Outcome.UNKNOWN), put(THIRD, 1, 5, 6)],
        [Read(SECOND, 3, 4)],
    ),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_wrong_history_is_found(name: str) -> None:
    with pytest.raises(NotLinearizableError):
        check(WRONG[name])
