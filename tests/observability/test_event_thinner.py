"""Which records of an event are written where it repeats."""

from pewterring.observability.event_thinner import EventThinner


def test_what_was_dropped_is_counted_once() -> None:
    thinner = EventThinner(burst=1, period_s=1.0)
    assert [thinner.admit("e", 0.0) for _ in range(3)] == [0, None, None]
    assert thinner.admit("e", 1.0) == 2
    assert thinner.admit("e", 2.0) == 0


def test_event_names_without_end_do_not_fill_the_memory() -> None:
    thinner = EventThinner()
    assert all(thinner.admit(f"event-{number}", 0.0) == 0 for number in range(10_000))
