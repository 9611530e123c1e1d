"""The load that a worker reports in a header of its responses."""

from dataclasses import dataclass

LOAD_HEADER = b"instance-load"  # name of the header


@dataclass(frozen=True, slots=True)
class Load:
    """A worker's reported numbers of running and of waiting requests."""

    running: int
    waiting: int


def parse_load(value: bytes | None) -> Load | None:
    """Parses the value of `Instance-Load`; None if it is missing or malformed."""
    if value is None:
        return None
    numbers = value.split(b",")
    if len(numbers) < 2 or not all(number.strip().isdigit() for number in numbers[:2]):
        return None
    return Load(int(numbers[0]), int(numbers[1]))
