"""Reads settings from the simulator's name-value pairs and from the nested JSON of a gateway's file.

Both use the same paths as names; nested JSON is flattened to pairs first.
"""

import base64
import binascii
import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NoReturn, TypeVar

from pewterring.standalone.policy import interface

T = TypeVar("T")
NS = 1_000_000_000
EFFECTS = {
    "pure": interface.Effect.PURE,
    "token": interface.Effect.TOKEN,
    "side_effect": interface.Effect.SIDE_EFFECT,
}
GROUPS = {"all": interface.Group.ALL, "zone": interface.Group.ZONE, "cell": interface.Group.CELL}
MISSPELLING_SIMILARITY = 0.8  # minimum similarity (0 to 1) at which an unknown name counts as a misspelt one
BOOLS = {"1": True, "true": True, "0": False, "false": False}


class FieldError(ValueError):
    """A value is missing, has the wrong type or is out of range."""


@dataclass(frozen=True, slots=True)
class Transport:
    """The settings of the network code; times in seconds."""

    connect_timeout: float = 1.0
    conn_idle: float = 15.0
    max_open: int = 20_000


class Fields:
    """Values of one message, read by name and converted to a type. Each reader raises FieldError."""

    def __init__(self, tag: str, values: Mapping[str, str]) -> None:
        self.tag, self.values = tag, values

    def bad(self, name: str, value: object) -> NoReturn:
        raise FieldError(f"{self.tag}: {name} cannot be {value!r}")

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise FieldError(f"{self.tag}: {name} is missing")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.text(name, None if default is None else str(default))
        try:
            return int(value)
        except ValueError:
            self.bad(name, value)

    def number(
        self, name: str, default: float | None = None, least: float = -math.inf, most: float = math.inf
    ) -> float:
        value = self.text(name, None if default is None else str(default))
        try:
            number = float(value)
        except ValueError:
            self.bad(name, value)
        if not math.isfinite(number):
            self.bad(name, value)
        return self.within(name, number, least, most)

    def within(self, name: str, number: float, least: float, most: float = math.inf) -> float:
        if not least <= number <= most:
            allowed = f"{least:g} to {most:g}" if most < math.inf else f"{least:g} or more"
            raise FieldError(f"{self.tag}: {name} cannot be {number:g}: {allowed} is allowed")
        return number

    def seconds(self, name: str, default: float | None = None) -> float:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        return self.whole(name) / NS

    def flag(self, name: str, default: bool | None = None) -> bool:
        value = self.values.get(name)
        if value is None and default is not None:
            return default
        value = self.text(name)
        if value not in BOOLS:
            self.bad(name, value)
        return BOOLS[value]

    def word(self, name: str, words: dict[str, T], default: str | None = None) -> T:
        value = self.text(name, default)
        if value not in words:
            self.bad(name, value)
        return words[value]

    def octets(self, name: str) -> bytes:
        value = self.text(name)
        try:
            return b"" if value == "-" else base64.b64decode(value, validate=True)
        except binascii.Error:
            self.bad(name, value)


def slips(fields: Fields, known: Collection[str]) -> dict[str, str]:
    """Maps each unknown name that looks like a misspelt known one to that name, if the latter is not given.

    Other unknown names are no error: the platform's settings contain many that a gateway does not use.
    """
    import difflib  # at a reload only

    missing = [name for name in known if name not in fields.values]
    nearest = {
        name: difflib.get_close_matches(name, missing, 1, MISSPELLING_SIMILARITY)
        for name in fields.values
        if name not in known
    }
    return {name: matches[0] for name, matches in nearest.items() if matches}


def check_consistency(fields: Fields, settings: interface.Settings) -> interface.Settings:
    """Raises FieldError where two settings contradict each other."""
    fields.within("fleet_size", settings.fleet_size, 1)
    fields.within("me", settings.me, 0, settings.fleet_size - 1)
    for index, cls in enumerate(settings.classes.values()):
        fields.within(f"profiles.{index}.deadline", cls.deadline, cls.latency_target)
    for index, plan in enumerate(settings.plans.values()):
        prefix = f"tiers_of_service.{index}."
        if plan.refill > 0 and plan.depth <= 0:
            raise FieldError(
                f"{fields.tag}: {prefix}depth cannot be {plan.depth:g} beside a refill: over 0 is allowed"
            )
        if plan.cap_rate > 0 and plan.cap_depth <= 0:
            name = f"{fields.tag}: {prefix}never_over_depth"
            raise FieldError(f"{name} cannot be {plan.cap_depth:g} beside a cap_rate: over 0 is allowed")
    return settings


def read_settings(fields: Fields) -> interface.Settings:
    classes, plans = {}, {}
    for index in range(fields.whole("profiles.count", 0)):
        prefix = f"profiles.{index}."
        name = fields.text(prefix + "name")
        classes[name] = interface.RequestClass(
            name=name,
            latency_target=fields.seconds(prefix + "objective"),
            deadline=fields.seconds(prefix + "deadline"),
            effect=fields.word(prefix + "effect", EFFECTS),
            group=fields.word(prefix + "group", GROUPS, "all"),
            repeat_window=fields.seconds(prefix + "repeat_window", 0.0),
            worth=fields.number(prefix + "gain", 1.0),
            late_worth=fields.number(prefix + "late_value", 0.0),
            stream=fields.flag(prefix + "stream", False),
        )
    for index in range(fields.whole("tiers_of_service.count", 0)):
        prefix = f"tiers_of_service.{index}."
        name = fields.text(prefix + "name")
        plans[name] = interface.Plan(
            name=name,
            refill=fields.number(prefix + "refill", 0.0, 0.0),
            depth=fields.number(prefix + "depth", 0.0, 0.0),
            parallel=round(fields.number(prefix + "parallel", 0.0, 0.0)),
            cap_rate=fields.number(prefix + "cap_rate", 0.0, 0.0),
            cap_depth=fields.number(prefix + "never_over_depth", 0.0, 0.0),
            cap_slack=fields.number(prefix + "cap_slack", 0.0, 0.0),
            price=fields.number(prefix + "value_factor", 1.0, 0.0),
            over_worth=fields.number(prefix + "over_worth", 0.0, 0.0),
            over_cost=fields.number(prefix + "beyond_costs", 0.0, 0.0),
        )
    return interface.Settings(
        me=fields.whole("me"),
        fleet_size=fields.whole("fleet_size"),
        zone=fields.text("az", ""),
        classes=classes,
        plans=plans,
        limits=interface.Limits(
            max_attempts=fields.whole("policy_limits.max_attempts", 1),
            may_duplicate=fields.flag("policy_limits.may_duplicate", False),
            cancel=fields.flag("policy_limits.cancel", False),
            probing=fields.flag("policy_limits.probing", False),
            peers=fields.flag("policy_limits.peers", False),
            retry_after=fields.flag("policy_limits.retry_after", False),
            max_retry_after=fields.seconds("policy_limits.max_retry_after", 0.0),
        ),
        rules=interface.Rules(
            stop_sending_within=fields.seconds("guarantees.stop_sending_within", 0.0),
            cold=fields.seconds("guarantees.cold", 0.0),
            cold_share=fields.number("guarantees.cold_share", 1.0, 0.0, 1.0),
            fall_multiple=fields.number("guarantees.fall_multiple", 1.0, 0.0),
            tip_after=fields.seconds("guarantees.tip_after", 1.0),
            ask_within=fields.seconds("guarantees.ask_within", 0.0),
        ),
        ask_discovery=fields.text("discovery", "push") == "ask",
        live_ratings=fields.text("weight_kind", "silent") == "live",
        mail_per_s=fields.number("specifics.mail_per_s", 0.0, 0.0),
        max_units=fields.number("specifics.max_units", 0.0, 0.0),
        price_cross_zone=fields.number("prices.cross_zone", 0.0, 0.0),
    )


def read_transport(fields: Fields) -> Transport:
    default = Transport()
    return Transport(
        connect_timeout=fields.seconds("policy_limits.connect_timeout", default.connect_timeout),
        conn_idle=fields.seconds("policy_limits.conn_idle", default.conn_idle),
        max_open=fields.whole("policy_limits.max_open", default.max_open),
    )


def read_all(fields: Fields) -> tuple[interface.Settings, Transport]:
    """Reads all settings that a gateway uses. Raises FieldError, also if two contradict each other."""
    return check_consistency(fields, read_settings(fields)), read_transport(fields)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Flattens nested JSON to the simulator's pairs: a list of objects becomes a count and numbered paths,
    any other list one value joined by commas."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", str(len(value))
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(plain(inner) for inner in value)
    elif value is not None:
        yield path, plain(value)


def plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))  # integers may be written as 1e9
    return str(value)


class RecordingValues(dict[str, str]):
    """Values by name; records which names were read."""

    def __init__(self, values: Mapping[str, str]) -> None:
        super().__init__(values)
        self.read_names: set[str] = set()

    def get(self, name: str, default: Any = None) -> Any:
        self.read_names.add(name)
        return super().get(name, default)


def read_json(tree: object, strict: bool = False) -> tuple[interface.Settings, Transport]:
    """Reads the settings of a gateway's configuration file; `strict` rejects names that look misspelt."""
    if not isinstance(tree, dict):
        raise FieldError("settings: not an object")
    values = RecordingValues(dict(flatten(tree)))
    fields = Fields("settings", values)
    read = read_all(fields)
    if strict and (found := slips(fields, values.read_names)):
        raise FieldError(
            "; ".join(f"settings: {name}: not known; did you mean {known}?" for name, known in found.items())
        )
    return read
