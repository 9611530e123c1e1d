"""Lines of the wire to settings and events, actions to lines. A malformed line raises WireError."""

import base64
import binascii
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NoReturn, TypeVar

from pewterring import interface as i

T = TypeVar("T")
NS = 1_000_000_000
CODES = {
    "OK": i.Code.OK,
    "INTERNAL": i.Code.INTERNAL,
    "RESOURCE_EXHAUSTED": i.Code.RESOURCE_EXHAUSTED,
    "DEADLINE_EXCEEDED": i.Code.DEADLINE_EXCEEDED,
    "UNAVAILABLE": i.Code.UNAVAILABLE,
    "ABORTED": i.Code.ABORTED,
    "CANCELLED": i.Code.CANCELLED,
    "TOO_LATE": i.Code.TOO_LATE,
}
FORMS = {
    "incr": i.ListForm.CHANGES,
    "total": i.ListForm.WHOLE,
    "warm_copy": i.ListForm.REMEMBERED,
    "lost": i.ListForm.FAILED,
}
MODES = {"SERVING": i.Mode.SERVING, "DRAINING": i.Mode.DRAINING, "DELETED": i.Mode.DELETED}
EFFECTS = {"pure": i.Effect.PURE, "token": i.Effect.TOKEN, "side_effect": i.Effect.SIDE_EFFECT}
GROUPS = {"all": i.Group.ALL, "zone": i.Group.ZONE, "cell": i.Group.CELL}
BOOLS = {"1": True, "true": True, "0": False, "false": False}


class WireError(ValueError):
    """What came in is not the wire's."""


@dataclass(slots=True)
class Started:
    settings: i.Settings
    seed: int


@dataclass(slots=True)
class Killed:
    pass


@dataclass(slots=True)
class Batch:
    now: float
    events: list[tuple[str, i.Event | Started | Killed]] = field(default_factory=list)


class Fields:
    """The name=value parts of one line, read by name and kind."""

    def __init__(self, tag: str, parts: list[str]) -> None:
        self.tag = tag
        self.values: dict[str, str] = {}
        for part in parts:
            name, equals, value = part.partition("=")
            if not equals or not name:
                raise WireError(f"{tag}: a part is not name=value: {part!r}")
            self.values[name] = value

    def bad(self, name: str, value: object) -> NoReturn:
        raise WireError(f"{self.tag}: {name} cannot be {value!r}")

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if value is None:
            raise WireError(f"{self.tag}: {name} is missing")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.text(name, None if default is None else str(default))
        try:
            return int(value)
        except ValueError:
            self.bad(name, value)

    def number(self, name: str, default: float | None = None) -> float:
        value = self.text(name, None if default is None else str(default))
        try:
            number = float(value)
        except ValueError:
            self.bad(name, value)
        if not math.isfinite(number):
            self.bad(name, value)
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


def read_settings(f: Fields) -> i.Settings:
    classes, plans = {}, {}
    for n in range(f.whole("profiles.count", 0)):
        p = f"profiles.{n}."
        name = f.text(p + "name")
        classes[name] = i.RequestClass(
            name=name,
            aim=f.seconds(p + "objective"),
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
            refill=f.number(p + "refill", 0.0),
            depth=f.number(p + "depth", 0.0),
            parallel=round(f.number(p + "parallel", 0.0)),
            cap_rate=f.number(p + "cap_rate", 0.0),
            cap_depth=f.number(p + "never_over_depth", 0.0),
            cap_slack=f.number(p + "cap_slack", 0.0),
            price=f.number(p + "value_factor", 1.0),
            over_worth=f.number(p + "over_worth", 0.0),
            over_cost=f.number(p + "beyond_costs", 0.0),
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
            cold_share=f.number("guarantees.cold_share", 1.0),
            fall_multiple=f.number("guarantees.fall_multiple", 1.0),
            tip_after=f.seconds("guarantees.tip_after", 1.0),
            ask_within=f.seconds("guarantees.ask_within", 0.0),
        ),
        ask_discovery=f.text("discovery", "push") == "ask",
        live_ratings=f.text("weight_kind", "silent") == "live",
        mail_per_s=f.number("specifics.mail_per_s", 0.0),
        price_cross_zone=f.number("prices.cross_zone", 0.0),
    )


def read_server(f: Fields) -> i.Server:
    return i.Server(
        id=f.whole("worker"),
        zone=f.text("hall", ""),
        cell=f.whole("bay", 0),
        mode=f.word("mode", MODES),
        rating=f.number("rating", 1.0),
        came_up=f.seconds("came_up", 0.0),
    )


def read_request(f: Fields) -> i.Request:
    return i.Request(
        id=f.whole("request_id"),
        cls=f.text("profile"),
        plan=f.text("package", ""),
        customer=f.whole("account", 0),
        not_after=f.seconds("not_after"),
        units=f.number("quota_units", 1.0),
        set_size=round(f.number("set_size", 1.0)),
        set_from=round(f.number("set_from", 0.0)),
        is_retry=f.flag("is_retry", False),
    )


def read_event(f: Fields) -> i.Event | Started | Killed:
    match f.tag:
        case "init":
            return Started(read_settings(f), f.whole("salt"))
        case "killed":
            return Killed()
        case "inbound":
            return read_request(f)
        case "accepted":
            return i.StreamStarted(
                f.whole("request_id"), f.whole("trial"), f.whole("worker"), f.seconds("time_taken", 0.0)
            )
        case "closed_attempt":
            return i.Outcome(
                id=f.whole("request_id"),
                attempt=f.whole("trial", 0),
                server=f.whole("worker"),
                code=f.word("state_code", CODES),
                took=f.seconds("time_taken", 0.0),
                no_more=f.flag("no_more", False),
                actual=f.number("actual", 0.0),
            )
        case "expired":
            return i.Expired(f.whole("request_id"))
        case "elapsed":
            return i.TimerDue(f.whole("label", 0))
        case "echo":
            return i.ProbeResult(f.whole("worker"), f.word("state_code", CODES), f.seconds("time_taken", 0.0))
        case "mail":
            return i.PeerMail(f.whole("neighbour"), f.octets("msg"))
        case "added":
            return i.Counted(
                f.whole("slot_name"),
                f.word("state_code", CODES),
                f.seconds("time_taken", 0.0),
                f.number("level", 0.0),
            )
    raise WireError(f"unknown message {f.tag!r}")


def split(line: str) -> Fields:
    tag, *parts = line.split("\t")
    return Fields(tag, parts)


def read_batches(lines: Iterator[str]) -> Iterator[Batch]:
    """One Batch for each turn ... eof_batch; ends where the input ends between batches."""
    for raw in lines:
        head = split(raw.rstrip("\n"))
        if head.tag != "turn":
            raise WireError(f"a batch begins with {head.tag!r}, not with turn")
        batch = Batch(head.seconds("time"))
        for line in lines:
            line = line.rstrip("\n")
            if line == "eof_batch":
                break
            f = split(line)
            if f.tag == "view":
                entries = (split(next(lines, "").rstrip("\n")) for _ in range(f.whole("nodes_list", 0)))
                servers = tuple(read_entry(e) for e in entries)
                batch.events.append((f.text("who"), i.ServerList(f.word("form", FORMS), servers)))
            else:
                batch.events.append((f.text("who"), read_event(f)))
        else:
            raise WireError("the input ends within a batch")
        yield batch


def read_entry(f: Fields) -> i.Server:
    if f.tag != "m":
        raise WireError(f"view: {f.tag!r} where an entry was due")
    return read_server(f)


def ns(seconds: float) -> int:
    return round(seconds * NS)


def write_action(who: str, action: i.Action) -> str:
    match action:
        case i.Send(id, server, timeout):
            wait = f"\tmax_wait={ns(timeout)}" if timeout else ""
            return f"forward\twho={who}\trequest_id={id}\tworker={server}{wait}"
        case i.Cancel(id, attempt):
            return f"undo_send\twho={who}\trequest_id={id}\ttrial={attempt}"
        case i.Refuse(id, retry_after):
            wait = f"\tretry_in={ns(retry_after)}" if retry_after > 0 else ""
            return f"turn_away\twho={who}\trequest_id={id}{wait}"
        case i.Fail(id):
            return f"end_failed\twho={who}\trequest_id={id}"
        case i.SetTimer(delay, label):
            return f"timer\twho={who}\tdelay={ns(delay)}\tlabel={label}"
        case i.Probe(server):
            return f"test\twho={who}\tworker={server}"
        case i.Tell(peer, data):
            msg = base64.b64encode(data).decode() if data else "-"
            return f"signal\twho={who}\tdst={'all' if peer is None else peer}\tmsg={msg}"
        case i.Subscribe(on):
            return f"watch\twho={who}\tenable={int(on)}"
        case i.Log(text):
            return f"log\twho={who}\ttext={' '.join(text.split())}"


def write_exception(who: str, text: str) -> str:
    return f"exception\twho={who}\ttext={' '.join(text.split())}"
