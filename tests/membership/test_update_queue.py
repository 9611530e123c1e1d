"""Dissemination: updates sent least often go first, and each is removed after its last send."""

from pewterring.membership.update_queue import UpdateQueue


def queue(*members: int) -> UpdateQueue:
    updates = UpdateQueue()
    for member in members:
        updates.add(member)
    return updates


def test_members_sent_least_often_go_first() -> None:
    updates = queue(3, 1, 2)
    assert updates.take(2, max_sends=9) == [1, 2]
    assert updates.take(2, max_sends=9) == [3, 1]


def test_a_member_is_removed_after_its_last_send_and_restarts_with_a_new_update() -> None:
    updates = queue(1)
    assert [updates.take(5, max_sends=2) for _ in range(3)] == [[1], [1], []]
    updates.add(1)
    assert updates.members() == [1]
    updates.discard(1)
    assert updates.take(5, max_sends=2) == []
