"""Parses the simulator's lines into settings and events, and formats actions as lines.

A malformed line raises WireError. Times on the wire are whole nanoseconds, those of the policy seconds.
"""

import base64
from collections.abc import Iterator
from dataclasses import dataclass, field

from pewterring.standalone.policy import interface
from pewterring.standalone.settings import NS, FieldError, Fields, read_settings

CODES = {
    "OK": interface.Code.OK,
    "INTERNAL": interface.Code.INTERNAL,
    "RESOURCE_EXHAUSTED": interface.Code.RESOURCE_EXHAUSTED,
    "DEADLINE_EXCEEDED": interface.Code.DEADLINE_EXCEEDED,
    "UNAVAILABLE": interface.Code.UNAVAILABLE,
    "ABORTED": interface.Code.ABORTED,
    "CANCELLED": interface.Code.CANCELLED,
    "TOO_LATE": interface.Code.TOO_LATE,
}
LIST_FORMS = {
    "incr": interface.ListForm.CHANGES,
    "total": interface.ListForm.WHOLE,
    "warm_copy": interface.ListForm.REMEMBERED,
    "lost": interface.ListForm.FAILED,
}
MODES = {
    "SERVING": interface.Mode.SERVING,
    "DRAINING": interface.Mode.DRAINING,
    "DELETED": interface.Mode.DELETED,
}


WireError = FieldError  # raised for input that violates the line protocol


@dataclass(slots=True)
class Started:
    """A gateway starts, with its settings and the seed of its random numbers."""

    settings: interface.Settings
    seed: int


@dataclass(slots=True)
class Killed:
    pass


@dataclass(slots=True)
class Batch:
    """Events with the names of their gateways, all at the time `now` in seconds."""

    now: float
    events: list[tuple[str, interface.Event | Started | Killed]] = field(default_factory=list)


def read_server(fields: Fields) -> interface.Server:
    return interface.Server(
        id=fields.whole("worker"),
        zone=fields.text("hall", ""),
        cell=fields.whole("bay", 0),
        mode=fields.word("mode", MODES),
        rating=fields.number("rating", 1.0),
        came_up=fields.seconds("came_up", 0.0),
    )


def read_request(fields: Fields) -> interface.Request:
    return interface.Request(
        id=fields.whole("request_id"),
        cls=fields.text("profile"),
        plan=fields.text("package", ""),
        customer=fields.whole("account", 0),
        deadline=fields.seconds("not_after"),
        units=fields.number("quota_units", 1.0),
        set_size=round(fields.number("set_size", 1.0)),
        set_from=round(fields.number("set_from", 0.0)),
        is_retry=fields.flag("is_retry", False),
    )


def read_event(fields: Fields) -> interface.Event | Started | Killed:
    match fields.tag:
        case "init":
            return Started(read_settings(fields), fields.whole("salt"))
        case "killed":
            return Killed()
        case "inbound":
            return read_request(fields)
        case "accepted":
            return interface.StreamStarted(
                fields.whole("request_id"),
                fields.whole("trial"),
                fields.whole("worker"),
                fields.seconds("time_taken", 0.0),
            )
        case "closed_attempt":
            return interface.Outcome(
                id=fields.whole("request_id"),
                attempt=fields.whole("trial", 0),
                server=fields.whole("worker"),
                code=fields.word("state_code", CODES),
                took=fields.seconds("time_taken", 0.0),
                no_more=fields.flag("no_more", False),
                actual=fields.number("actual", 0.0),
            )
        case "expired":
            return interface.Expired(fields.whole("request_id"))
        case "elapsed":
            return interface.TimerDue(fields.whole("label", 0))
        case "echo":
            return interface.ProbeResult(
                fields.whole("worker"), fields.word("state_code", CODES), fields.seconds("time_taken", 0.0)
            )
        case "mail":
            return interface.PeerMessage(fields.whole("neighbour"), fields.octets("msg"))
        case "added":
            return interface.Counted(
                fields.whole("slot_name"),
                fields.word("state_code", CODES),
                fields.seconds("time_taken", 0.0),
                fields.number("level", 0.0),
            )
    raise WireError(f"unknown message {fields.tag!r}")


def parse_line(line: str) -> Fields:
    tag, *pairs = line.split("\t")
    values: dict[str, str] = {}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals or not name:
            raise WireError(f"{tag}: a field is not name=value: {pair!r}")
        values[name] = value
    return Fields(tag, values)


def read_batches(lines: Iterator[str]) -> Iterator[Batch]:
    """Yields one Batch for each block of lines from `turn` to `eof_batch`.

    Raises WireError if the input ends within a batch.
    """
    for raw in lines:
        head = parse_line(raw.rstrip("\n"))
        if head.tag != "turn":
            raise WireError(f"first line of a batch is {head.tag!r}, expected turn")
        batch = Batch(head.seconds("time"))
        for line in lines:
            line = line.rstrip("\n")
            if line == "eof_batch":
                break
            fields = parse_line(line)
            if fields.tag == "view":
                entries = (
                    parse_line(next(lines, "").rstrip("\n")) for _ in range(fields.whole("nodes_list", 0))
                )
                servers = tuple(read_server_entry(entry) for entry in entries)
                batch.events.append(
                    (fields.text("who"), interface.ServerList(fields.word("form", LIST_FORMS), servers))
                )
            else:
                batch.events.append((fields.text("who"), read_event(fields)))
        else:
            raise WireError("input ended within a batch")
        yield batch


def read_server_entry(fields: Fields) -> interface.Server:
    if fields.tag != "m":
        raise WireError(f"view: {fields.tag!r} found, expected a server entry (m)")
    return read_server(fields)


def nanoseconds(seconds: float) -> int:
    return round(seconds * NS)


def write_action(gateway: str, action: interface.Action) -> str:
    match action:
        case interface.Send(request_id, server, timeout):
            suffix = f"\tmax_wait={nanoseconds(timeout)}" if timeout else ""
            return f"forward\twho={gateway}\trequest_id={request_id}\tworker={server}{suffix}"
        case interface.Cancel(request_id, attempt):
            return f"undo_send\twho={gateway}\trequest_id={request_id}\ttrial={attempt}"
        case interface.Refuse(request_id, retry_after):
            suffix = f"\tretry_in={nanoseconds(retry_after)}" if retry_after > 0 else ""
            return f"turn_away\twho={gateway}\trequest_id={request_id}{suffix}"
        case interface.Fail(request_id):
            return f"end_failed\twho={gateway}\trequest_id={request_id}"
        case interface.SetTimer(delay, label):
            return f"timer\twho={gateway}\tdelay={nanoseconds(delay)}\tlabel={label}"
        case interface.Probe(server):
            return f"test\twho={gateway}\tworker={server}"
        case interface.Tell(peer, data):
            message = base64.b64encode(data).decode() if data else "-"
            return f"signal\twho={gateway}\tdst={'all' if peer is None else peer}\tmsg={message}"
        case interface.Subscribe(enabled):
            return f"watch\twho={gateway}\tenable={int(enabled)}"
        case interface.Log(text):
            return f"log\twho={gateway}\ttext={' '.join(text.split())}"


def write_exception(gateway: str, text: str) -> str:
    return f"exception\twho={gateway}\ttext={' '.join(text.split())}"
