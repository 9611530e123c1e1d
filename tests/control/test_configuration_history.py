"""Which configurations are accepted, and the results of repeated requests."""

import pytest

from pewterring.control.commands import Accepted, Conflict, NotAbove, OutcomeUnknown
from pewterring.control.state import ControlState
from tests.control.records import apply, put


def test_a_configuration_is_accepted_only_with_the_current_base_and_a_higher_version() -> None:
    state = ControlState()
    assert apply(state, put(0, 5)) == Accepted()
    assert apply(state, put(5, 7)) == Accepted()
    assert apply(state, put(5, 9)) == Conflict(7)
    assert apply(state, put(0, 1)) == Conflict(7)
    assert apply(state, put(7, 7, limits={"max_header_bytes": 9})) == NotAbove(7)
    assert apply(state, put(7, 6)) == NotAbove(7)
    assert state.version == 7


def test_of_two_requests_with_the_same_base_one_is_accepted() -> None:
    state = ControlState()
    apply(state, put(0, 5))
    one = put(5, 7, limits={"max_header_bytes": 1000})
    other = put(5, 7, limits={"max_header_bytes": 2000})
    assert apply(state, one) == Accepted()
    assert apply(state, other) == Conflict(7)
    assert bytes(state.document) == bytes(one.document)


def test_a_repeated_accepted_configuration_is_acknowledged() -> None:
    state = ControlState()
    first, second = put(0, 5), put(5, 7)
    apply(state, first)
    assert apply(state, first) == Accepted(repeated=True)
    apply(state, second)
    assert apply(state, first) == Accepted(repeated=True)
    assert state.version == 7
    restored = ControlState()
    restored.restore(state.snapshot())
    assert apply(restored, first) == Accepted(repeated=True)


def test_a_configuration_too_old_to_be_remembered_is_neither_accepted_nor_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("pewterring.control.configuration_history.REMEMBERED_VERSIONS", 3)
    state = ControlState()
    commands = [put(base, base + 2) for base in range(0, 10, 2)]
    for command in commands:
        assert apply(state, command) == Accepted()
    restored = ControlState()
    restored.restore(state.snapshot())
    for each in (state, restored):
        for command in commands[:2]:
            assert apply(each, command) == OutcomeUnknown()
        for command in commands[2:]:
            assert apply(each, command) == Accepted(repeated=True)
        assert apply(each, put(2, 4, limits={})) == OutcomeUnknown()
        assert apply(each, put(4, 5)) == Conflict(10)
        assert apply(each, put(10, 8, limits={})) == NotAbove(10)
        assert each.version == 10


def test_only_a_change_that_can_never_be_accepted_is_outdated(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pewterring.control.configuration_history.REMEMBERED_VERSIONS", 2)
    state = ControlState()
    assert not state.is_outdated(0, 5)
    for base, version in ((0, 3), (3, 5), (5, 7)):
        apply(state, put(base, version))
    accepted = put(3, 5)
    assert not state.is_outdated(7, 9)  # it may be accepted now
    assert not state.is_outdated(8, 9)  # its base may become current
    assert state.is_outdated(5, 9)
    assert not state.is_outdated(3, 5)  # it may repeat an accepted change
    assert not state.is_outdated(3, 5, accepted.digest)
    assert state.is_outdated(3, 5, "another digest")
    assert not state.is_outdated(0, 3)  # the digest that was accepted is forgotten
    assert not state.is_outdated(0, 2)
