"""When a partition without a leader is reported."""

from pewterring.batch.leaderless_watch import LEADERLESS_WARNING_S, REPEAT_S, LeaderlessWatch


def test_a_group_without_a_leader_is_reported_once_in_a_while() -> None:
    watch = LeaderlessWatch()
    assert watch.overdue_s(10.0, has_leader=False) is None
    assert watch.overdue_s(10.0 + LEADERLESS_WARNING_S, has_leader=False) == LEADERLESS_WARNING_S
    assert watch.overdue_s(11.0 + LEADERLESS_WARNING_S, has_leader=False) is None
    repeated_at = 10.0 + LEADERLESS_WARNING_S + REPEAT_S
    assert watch.overdue_s(repeated_at, has_leader=False) == repeated_at - 10.0


def test_a_leader_ends_the_absence() -> None:
    watch = LeaderlessWatch()
    watch.overdue_s(0.0, has_leader=False)
    assert watch.overdue_s(LEADERLESS_WARNING_S, has_leader=True) is None
    assert watch.overdue_s(LEADERLESS_WARNING_S + 1.0, has_leader=False) is None
