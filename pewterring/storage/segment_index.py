"""Index of the log entries in each segment, used to find the segments that a snapshot makes obsolete."""


class SegmentIndex:
    """The highest entry index written to each segment, including entries that were truncated later."""

    def __init__(self) -> None:
        self._highest: dict[int, int] = {}  # entry index by segment number

    def clear(self) -> None:
        """Forgets all segments."""
        self._highest.clear()

    def add(self, segment: int, index: int) -> None:
        """Records that the entry at `index` was written to `segment`."""
        self._highest[segment] = max(index, self._highest.get(segment, 0))

    def first_segment_after(self, index: int) -> int | None:
        """Returns the first segment with entries after `index`, or None if there is no such segment."""
        return min((segment for segment, highest in self._highest.items() if highest > index), default=None)

    def drop_before(self, segment: int) -> None:
        """Forgets the segments before `segment`."""
        self._highest = {number: index for number, index in self._highest.items() if number >= segment}
