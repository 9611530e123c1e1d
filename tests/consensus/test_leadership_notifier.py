"""The owner of a group is notified of the begin and the end of each leadership once, in order."""

import pytest

from pewterring.consensus.leadership_notifier import LeadershipNotifier


@pytest.mark.parametrize(
    ("terms", "expected"),
    [
        ((None,), []),
        ((3, 3, None, None), [True, False]),
        ((3, 5), [True, False, True]),
        ((3, None, 5), [True, False, True]),
    ],
)
def test_each_change_of_the_led_term_is_notified_once(
    terms: tuple[int | None, ...], expected: list[bool]
) -> None:
    notifications: list[bool] = []
    notifier = LeadershipNotifier(notifications.append)
    for term in terms:
        notifier.update(term)
    assert notifications == expected
    assert notifier.term == terms[-1]


def test_the_term_is_set_before_the_owner_is_notified() -> None:
    terms: list[int | None] = []
    notifier = LeadershipNotifier(lambda _: terms.append(notifier.term))
    notifier.update(7)
    assert terms == [7]
