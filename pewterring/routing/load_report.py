"""What an answer of a worker says of the worker's load."""

from dataclasses import dataclass

LOAD = b"instance-load"  # the header


@dataclass(frozen=True, slots=True)
class Load:
    """A worker's load as an answer tells it."""

    running: int
    waiting: int


def parse_load(value: bytes | None) -> Load | None:
    """Reads the value of `Instance-Load`; None where there is none or it makes no sense."""
    if value is None:
        return None
    numbers = value.split(b",")
    if len(numbers) < 2 or not all(number.strip().isdigit() for number in numbers[:2]):
        return None
    return Load(int(numbers[0]), int(numbers[1]))
