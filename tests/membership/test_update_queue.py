"""Dissemination: those sent least go first, and each ends after its sends."""

from pewterring.membership.update_queue import UpdateQueue


def queue(*members: int) -> UpdateQueue:
    made = UpdateQueue()
    for member in members:
        made.add(member)
    return made


def test_members_that_were_sent_least_go_first() -> None:
    updates = queue(3, 1, 2)
    assert updates.take(2, max_sends=9) == [1, 2]
    assert updates.take(2, max_sends=9) == [3, 1]


def test_a_member_ends_after_its_sends_and_begins_anew_with_something_newer() -> None:
    updates = queue(1)
    assert [updates.take(5, max_sends=2) for _ in range(3)] == [[1], [1], []]
    updates.add(1)
    assert updates.members() == [1]
    updates.discard(1)
    assert updates.take(5, max_sends=2) == []
