"""One reader of settings, for the simulator's pairs and for the nested JSON of a real gatekeeper.

Both name the same things by the same paths; nested JSON is laid out as pairs first. Nothing is decided here.
"""

import base64
import binascii
import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NoReturn, TypeVar

from pewterring.standalone.policy import interface as i

T = TypeVar("T")
NS = 1_000_000_000
EFFECTS = {"pure": i.Effect.PURE, "token": i.Effect.TOKEN, "side_effect": i.Effect.SIDE_EFFECT}
GROUPS = {"all": i.Group.ALL, "zone": i.Group.ZONE, "cell": i.Group.CELL}
SLIP = 0.8  # so like a known name that it is taken for a slip of it
BOOLS = {"1": True, "true": True, "0": False, "false": False}


class FieldError(ValueError):
    """A value that came in is missing or is not of its kind."""


@dataclass(frozen=True, slots=True)
class Transport:
    """What the code on sockets needs of the settings; times in seconds."""

    connect_timeout: float = 1.0
    conn_idle: float = 15.0
    max_open: int = 20_000


class Fields:
    """Named values of one message, read by name and kind."""

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


def slips(f: Fields, known: Collection[str]) -> dict[str, str]:
    """Names that nobody reads and that look like slips of one that is read and not given, each with that one.

    Others are no error: the platform's settings hold much that is not for a gatekeeper.
    """
    import difflib  # at a reload only

    missing = [name for name in known if name not in f.values]
    nearest = {n: difflib.get_close_matches(n, missing, 1, SLIP) for n in f.values if n not in known}
    return {name: near[0] for name, near in nearest.items() if near}


def agree(f: Fields, settings: i.Settings) -> i.Settings:
    """Raises FieldError where two settings contradict each other."""
    f.within("fleet_size", settings.fleet_size, 1)
    f.within("me", settings.me, 0, settings.fleet_size - 1)
    for n, cls in enumerate(settings.classes.values()):
        f.within(f"profiles.{n}.deadline", cls.deadline, cls.latency_target)
    for n, plan in enumerate(settings.plans.values()):
        p = f"tiers_of_service.{n}."
        if plan.refill > 0 and plan.depth <= 0:
            raise FieldError(f"{f.tag}: {p}depth cannot be {plan.depth:g} beside a refill: over 0 is allowed")
        if plan.cap_rate > 0 and plan.cap_depth <= 0:
            name = f"{f.tag}: {p}never_over_depth"
            raise FieldError(f"{name} cannot be {plan.cap_depth:g} beside a cap_rate: over 0 is allowed")
    return settings


def read_settings(f: Fields) -> i.Settings:
    classes, plans = {}, {}
    for n in range(f.whole("profiles.count", 0)):
        p = f"profiles.{n}."
        name = f.text(p + "name")
        classes[name] = i.RequestClass(
            name=name,
            latency_target=f.seconds(p + "objective"),
            deadline=f.seconds(p + "deadline"),
            effect=f.word(p + "effect", EFFECTS),
            group=f.word(p + "group", GROUPS, "all"),
            repeat_window=f.seconds(p + "repeat_window", 0.0),
            worth=f.number(p + "gain", 1.0),
            late_worth=f.number(p + "late_value", 0.0),
            stream=f.flag(p + "stream", False),
        )
    for n in range(f.whole("tiers_of_service.count", 0)):
        p = f"tiers_of_service.{n}."
        name = f.text(p + "name")
        plans[name] = i.Plan(
            name=name,
            refill=f.number(p + "refill", 0.0, 0.0),
            depth=f.number(p + "depth", 0.0, 0.0),
            parallel=round(f.number(p + "parallel", 0.0, 0.0)),
            cap_rate=f.number(p + "cap_rate", 0.0, 0.0),
            cap_depth=f.number(p + "never_over_depth", 0.0, 0.0),
            cap_slack=f.number(p + "cap_slack", 0.0, 0.0),
            price=f.number(p + "value_factor", 1.0, 0.0),
            over_worth=f.number(p + "over_worth", 0.0, 0.0),
            over_cost=f.number(p + "beyond_costs", 0.0, 0.0),
        )
    return i.Settings(
        me=f.whole("me"),
        fleet_size=f.whole("fleet_size"),
        zone=f.text("az", ""),
        classes=classes,
        plans=plans,
        limits=i.Limits(
            max_attempts=f.whole("policy_limits.max_attempts", 1),
            may_duplicate=f.flag("policy_limits.may_duplicate", False),
            cancel=f.flag("policy_limits.cancel", False),
            probing=f.flag("policy_limits.probing", False),
            peers=f.flag("policy_limits.peers", False),
            retry_after=f.flag("policy_limits.retry_after", False),
            max_retry_after=f.seconds("policy_limits.max_retry_after", 0.0),
        ),
        rules=i.Rules(
            stop_sending_within=f.seconds("guarantees.stop_sending_within", 0.0),
            cold=f.seconds("guarantees.cold", 0.0),
            cold_share=f.number("guarantees.cold_share", 1.0, 0.0, 1.0),
            fall_multiple=f.number("guarantees.fall_multiple", 1.0, 0.0),
            tip_after=f.seconds("guarantees.tip_after", 1.0),
            ask_within=f.seconds("guarantees.ask_within", 0.0),
        ),
        ask_discovery=f.text("discovery", "push") == "ask",
        live_ratings=f.text("weight_kind", "silent") == "live",
        mail_per_s=f.number("specifics.mail_per_s", 0.0, 0.0),
        max_units=f.number("specifics.max_units", 0.0, 0.0),
        price_cross_zone=f.number("prices.cross_zone", 0.0, 0.0),
    )


def read_transport(f: Fields) -> Transport:
    default = Transport()
    return Transport(
        connect_timeout=f.seconds("policy_limits.connect_timeout", default.connect_timeout),
        conn_idle=f.seconds("policy_limits.conn_idle", default.conn_idle),
        max_open=f.whole("policy_limits.max_open", default.max_open),
    )


def read_all(f: Fields) -> tuple[i.Settings, Transport]:
    """What a real gatekeeper reads of its settings. FieldError, too, where two contradict each other."""
    return agree(f, read_settings(f)), read_transport(f)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the simulator's pairs: a list of objects by its count and numbers, others joined."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", str(len(value))
        for n, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{n}")
    elif isinstance(value, list):
        yield path, ",".join(plain(inner) for inner in value)
    elif value is not None:
        yield path, plain(value)


def plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))  # whole numbers may come as 1e9
    return str(value)


class Asked(dict[str, str]):
    """Values by name, and which names were asked for."""

    def __init__(self, values: Mapping[str, str]) -> None:
        super().__init__(values)
        self.names: set[str] = set()

    def get(self, name: str, default: Any = None) -> Any:
        self.names.add(name)
        return super().get(name, default)


def read_json(tree: object, strict: bool = False) -> tuple[i.Settings, Transport]:
    """The settings of a real gatekeeper's configuration; `strict` refuses names that look like slips."""
    if not isinstance(tree, dict):
        raise FieldError("settings: not an object")
    asked = Asked(dict(flatten(tree)))
    fields = Fields("settings", asked)
    read = read_all(fields)
    if strict and (found := slips(fields, asked.names)):
        raise FieldError("; ".join(f"settings: {n}: not known; did you mean {m}?" for n, m in found.items()))
    return read
