"""Who may join the control group."""

from pewterring.control.membership import ASKED_S, JoinRequests

C, C_EMPTY, D = "10.0.0.3#seed", "10.0.0.3#new", "10.0.0.4#x"


def test_the_newest_wish_of_an_address_counts() -> None:
    joins = JoinRequests()
    joins.ask(0.0, C)
    joins.ask(0.5, C_EMPTY)
    joins.ask(0.5, D)
    candidates = joins.candidates(1.0)
    assert candidates.joining == (C_EMPTY, D)
    assert candidates.current_names == {"10.0.0.3": C_EMPTY, "10.0.0.4": D}
    assert not candidates.decommissioning


def test_a_wish_that_is_not_repeated_is_forgotten() -> None:
    joins = JoinRequests()
    joins.ask(0.0, C)
    joins.ask(1.0, D)
    assert joins.candidates(ASKED_S).joining == (D,)


def test_a_new_leader_begins_without_wishes() -> None:
    joins = JoinRequests()
    joins.ask(0.0, C)
    joins.start()
    assert joins.candidates(0.0).joining == ()
