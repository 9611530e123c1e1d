"""`SegmentIndex`: the first segment that is still needed after a snapshot."""

import pytest

from pewterring.storage.segment_index import SegmentIndex


@pytest.fixture
def segments() -> SegmentIndex:
    """Three segments; entry 5 was written to the second one, truncated, and rewritten to the third."""
    result = SegmentIndex()
    for segment, index in ((1, 2), (2, 4), (2, 5), (3, 5), (3, 7)):
        result.add(segment, index)
    return result


@pytest.mark.parametrize(("index", "first"), [(0, 1), (1, 1), (2, 2), (4, 2), (5, 3), (6, 3), (7, None)])
def test_the_first_segment_with_entries_after_an_index_is_found(
    index: int, first: int | None, segments: SegmentIndex
) -> None:
    assert segments.first_segment_after(index) == first


def test_dropped_segments_are_forgotten(segments: SegmentIndex) -> None:
    segments.drop_before(3)
    assert segments.first_segment_after(0) == 3
    segments.clear()
    assert segments.first_segment_after(0) is None
