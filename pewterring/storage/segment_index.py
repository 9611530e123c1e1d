"""Which segments of a group's log hold entries after a given index: the others a snapshot makes needless."""


class SegmentIndex:
    """The highest index that was ever written to each segment; entries truncated since count too."""

    def __init__(self) -> None:
        self._highest: dict[int, int] = {}  # by segment

    def clear(self) -> None:
        """Forgets all segments."""
        self._highest.clear()

    def add(self, segment: int, index: int) -> None:
        """Records that the entry `index` is in a segment."""
        self._highest[segment] = max(index, self._highest.get(segment, 0))

    def first_segment_after(self, index: int) -> int | None:
        """The first segment that has entries after `index`; None where no segment has."""
        return min((segment for segment, highest in self._highest.items() if highest > index), default=None)

    def drop_before(self, segment: int) -> None:
        """Forgets the segments before `segment`."""
        self._highest = {number: index for number, index in self._highest.items() if number >= segment}
