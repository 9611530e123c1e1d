"""What a client asks, as the module's request, and what of it a worker gets."""

import math
import re
from functools import lru_cache
from typing import NamedTuple

from pewterring.standalone.http.messages import Malformed, Request, end_to_end
from pewterring.standalone.http.writer import write_request
from pewterring.standalone.policy import interface as i

CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
MOST_CUSTOMER = 2**33
MAX_NAME = 256  # bytes of a class, a plan or a quota: what is remembered of them stays small
WHOLE = re.compile(rb"[0-9]{1,9}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
DEADLINE = b"x-deadline-ms"
PROTOCOL = frozenset(
    {b"x-request-id", b"x-class", b"plan", DEADLINE, b"idempotency-key", b"quota-info", b"x-retry"}
)
REWRITTEN = frozenset({DEADLINE})  # what is written anew for the worker
ALWAYS = frozenset({b"x-request-id", b"idempotency-key"})  # what passes whatever Connection says of it
SAFE = frozenset({b"GET", b"HEAD"})
METHODS = SAFE | {b"POST"}


def read_request(
    request: Request, settings: i.Settings, now: float, id: int, ends_at: float = math.inf
) -> tuple[i.Request, bytes]:
    """The module's request, and the id that its client gave it. None waits past `ends_at`.

    Raises Malformed for what the protocol does not know: it must reach neither a worker nor the module, where
    it would mark the customer that it names.
    """
    said: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in PROTOCOL:
            if name in said:  # which one did the sender mean?
                raise Malformed(f"{name.decode()} comes twice")
            said[name] = value
    their_id = said.get(b"x-request-id")
    if not their_id or len(their_id) > MAX_NAME:
        raise Malformed("no X-Request-Id" if not their_id else "X-Request-Id is too long")
    wait = said.get(DEADLINE, b"")
    if not WHOLE.fullmatch(wait) or not int(wait):
        raise Malformed("X-Deadline-Ms is no time to wait")
    customer = request.target.partition(b"?")[0].rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= MOST_CUSTOMER:
        raise Malformed("the path names no customer")
    cls = settings.classes.get(text(said.get(b"x-class"), "X-Class"))
    if cls is None:
        raise Malformed("an unknown X-Class")  # no rule on repeats is known for it
    if (cls.effect is i.Effect.PURE) != (request.method in SAFE) or request.method not in METHODS:
        raise Malformed("not the method of this X-Class", 405)
    if cls.effect is i.Effect.TOKEN and not said.get(b"idempotency-key"):
        # Without its key the workers could not tell a repeat from a new request.
        raise Malformed("no Idempotency-Key")
    plan = text(said.get(b"plan"), "Plan")
    if settings.plans and plan not in settings.plans:
        raise Malformed("an unknown Plan")  # no quota would bind it
    quota = read_quota(said.get(b"quota-info", b""))
    if quota.units > settings.max_units > 0:
        raise Malformed("more units than a request may take")
    if quota.spread > settings.fleet_size or quota.first >= settings.fleet_size:
        raise Malformed("no such set of gatekeepers")
    asked = i.Request(
        id=id,
        cls=cls.name,
        plan=plan,
        customer=int(customer, 16),
        # No client waits for longer than its class says: a slip in the number must not hold a place for days.
        deadline=min(now + min(int(wait) / 1000, cls.deadline), ends_at),
        units=quota.units,
        set_size=quota.spread,
        set_from=quota.first,
        is_retry=said.get(b"x-retry") == b"1",
    )
    return asked, their_id


@lru_cache(1024)  # the same few names and quotas come again and again
def text(value: bytes | None, name: str) -> str:
    if not value or len(value) > MAX_NAME:
        raise Malformed(f"no {name}" if not value else f"{name} is too long")
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError as error:
        raise Malformed(f"{name} cannot be read") from error


class QuotaInfo(NamedTuple):
    units: float
    spread: int
    first: int


@lru_cache(1024)
def read_quota(value: bytes) -> QuotaInfo:
    """Strictly: what cannot be told for sure must not be booked on the customer that the request names."""
    parts: dict[bytes, bytes] = {}
    if len(value) > MAX_NAME:
        raise Malformed("Quota-Info is too long")
    for part in value.split(b","):
        name, _, number = part.strip(b" \t").partition(b"=")
        if name in parts:
            raise Malformed("Quota-Info says something twice")
        parts[name] = number
    units, spread, first = (parts.get(name, b"") for name in (b"units", b"spread", b"first"))
    if not DECIMAL.fullmatch(units) or not WHOLE.fullmatch(spread) or not WHOLE.fullmatch(first):
        raise Malformed("Quota-Info cannot be read")
    if not float(units) or not int(spread):
        raise Malformed("Quota-Info takes or names nothing")
    return QuotaInfo(float(units), int(spread), int(first))


def for_worker(request: Request, left: float) -> bytes:
    """The request as a worker gets it: unchanged but for what belongs to one hop, and with the time left."""
    headers = end_to_end(request.headers, REWRITTEN, ALWAYS)
    headers.append((DEADLINE, b"%d" % max(1, round(left * 1000))))
    return write_request(request.method, request.target, headers, request.body)
