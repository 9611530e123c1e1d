"""Rate limiting of the records of a recurring event."""

from pewterring.observability.event_thinner import EventThinner


def test_the_count_of_dropped_records_is_reported_once() -> None:
    thinner = EventThinner(burst=1, period_s=1.0)
    assert [thinner.admit("e", 0.0) for _ in range(3)] == [0, None, None]
    assert thinner.admit("e", 1.0) == 2
    assert thinner.admit("e", 2.0) == 0


def test_records_are_admitted_beyond_the_maximum_number_of_event_names() -> None:
    thinner = EventThinner()
    assert all(thinner.admit(f"event-{number}", 0.0) == 0 for number in range(10_000))
