"""Lines of the wire to settings and events, actions to lines. A malformed line raises WireError."""

import base64
from collections.abc import Iterator
from dataclasses import dataclass, field

from pewterring.standalone.policy import interface as i
from pewterring.standalone.settings import NS, FieldError, Fields, read_settings

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


WireError = FieldError  # what came in is not the wire's


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
        deadline=f.seconds("not_after"),
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
            return i.PeerMessage(f.whole("neighbour"), f.octets("msg"))
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
    values: dict[str, str] = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals or not name:
            raise WireError(f"{tag}: a part is not name=value: {part!r}")
        values[name] = value
    return Fields(tag, values)


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
