"""Converts raw values of a settings file to typed ones and records what was read and which are invalid."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from pewterring.node.address import Address, is_port, parse_address
from pewterring.node.errors import SettingsError

Value = TypeVar("Value")


class ValueKind(StrEnum):
    """The type as which the text of a value is parsed."""

    TEXT = "text"
    NUMBER = "number"
    FLAG = "flag"
    ADDRESS = "address"
    ADDRESSES = "addresses"
    PORTS = "ports"


@dataclass(frozen=True, slots=True)
class SettingRead:
    """The result of reading one key."""

    kind: ValueKind
    value: object  # typed; the default if not given or invalid
    given: bool  # whether the file has a value for the key
    required: bool


class ValueReader:
    """Reads typed values by key. Collects problems instead of raising, so that all are reported at once."""

    def __init__(self, raw: Mapping[str, str]) -> None:
        self._raw = raw
        self.reads: dict[str, SettingRead] = {}
        self.problems: list[str] = []

    def required_text(self, key: str) -> str:
        """Returns a text; it is a problem if it is missing."""
        return self._record(key, ValueKind.TEXT, self._required_raw_value(key), required=True)

    def text(self, key: str) -> str:
        """Returns a text; empty if it is not given."""
        return self._record(key, ValueKind.TEXT, self._raw_value(key))

    def number(self, key: str, default: float, least: float = 0.0) -> float:
        """Returns a finite number of at least `least`; `default` if it is not given or invalid."""
        value = self._raw_value(key)
        return self._record(key, ValueKind.NUMBER, self._parse_number(key, value, default, least))

    def _parse_number(self, key: str, value: str, default: float, least: float) -> float:
        number = default
        if value:
            try:
                number = float(value)
            except ValueError:
                self.problems.append(f"{key} is not a number: {value!r}")
        if math.isfinite(number) and number >= least:
            return number
        self.problems.append(f"{key} must be {least:g} or more: {value!r}")
        return default

    def flag(self, key: str) -> bool:
        """Returns whether the value is `true`; False if it is not given or invalid."""
        value = self._raw_value(key).lower()
        if value not in ("true", "false", ""):
            self.problems.append(f"{key} is neither true nor false: {value!r}")
        return self._record(key, ValueKind.FLAG, value == "true")

    def one_of(self, key: str, values: Sequence[str]) -> str:
        """Returns one of `values`; the first if the value is not given or invalid."""
        value = self._raw_value(key) or values[0]
        if value not in values:
            self.problems.append(f"{key} is none of {', '.join(values)}: {value!r}")
            value = values[0]
        return self._record(key, ValueKind.TEXT, str(value))

    def address(self, key: str) -> Address | None:
        """Returns an address written as `IP:port`; None if it is not given or invalid."""
        value = self._raw_value(key)
        return self._record(key, ValueKind.ADDRESS, self._parse_address(key, value) if value else None)

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Returns the valid addresses of a comma-separated list."""
        texts = [text.strip() for text in self._raw_value(key).split(",")]
        found = [self._parse_address(key, text) for text in texts if text]
        return self._record(key, ValueKind.ADDRESSES, tuple(address for address in found if address))

    def first_port(self, key: str) -> int:
        """Returns the first port of a range written as `first,last`; 0 if it is missing or invalid."""
        value = self._required_raw_value(key)
        first = value.split(",")[0].strip()
        if value and not is_port(first):
            self.problems.append(f"{key} is not a range of ports: {value!r}")
        return self._record(key, ValueKind.PORTS, int(first) if is_port(first) else 0, required=True)

    def is_given(self, key: str) -> bool:
        """Whether the file has a value for the key; an empty value counts as not given."""
        return bool(self._raw_value(key))

    def _raw_value(self, key: str) -> str:
        return self._raw.get(key, "").strip()

    def _required_raw_value(self, key: str) -> str:
        value = self._raw_value(key)
        if not value:
            self.problems.append(f"{key} is missing")
        return value

    def _parse_address(self, key: str, value: str) -> Address | None:
        try:
            return parse_address(key, value)
        except SettingsError as error:
            self.problems.extend(error.problems)
            return None

    def _record(self, key: str, kind: ValueKind, value: Value, *, required: bool = False) -> Value:
        self.reads[key] = SettingRead(kind, value, self.is_given(key), required)
        return value
