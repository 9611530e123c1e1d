"""Converts client requests to requests of the policy, and to the bytes forwarded to a worker."""

import math
import re
from functools import lru_cache
from typing import NamedTuple

from pewterring.standalone.http.messages import Malformed, Request, end_to_end
from pewterring.standalone.http.writer import write_request
from pewterring.standalone.policy import interface

CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_LIMIT = 2**33
MAX_VALUE_BYTES = 256  # bytes of a class, plan or Quota-Info value; bounds the memory of the caches
WHOLE = re.compile(rb"[0-9]{1,9}")
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
DEADLINE = b"x-deadline-ms"
PROTOCOL = frozenset(
    {b"x-request-id", b"x-class", b"plan", DEADLINE, b"idempotency-key", b"quota-info", b"x-retry"}
)
REWRITTEN = frozenset({DEADLINE})  # replaced by a new value for the worker
ALWAYS_FORWARDED = frozenset(
    {b"x-request-id", b"idempotency-key"}
)  # forwarded even if the Connection header lists them
SAFE = frozenset({b"GET", b"HEAD"})
METHODS = SAFE | {b"POST"}


def read_request(
    request: Request, settings: interface.Settings, now: float, id: int, ends_at: float = math.inf
) -> tuple[interface.Request, bytes]:
    """Returns the policy's request and the client's X-Request-Id; no deadline is later than `ends_at`.

    Raises Malformed for requests that violate the protocol. They must reach neither a worker nor the policy,
    where they would count against the customer that they name.
    """
    headers: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in PROTOCOL:
            if name in headers:  # ambiguous: the values may differ
                raise Malformed(f"{name.decode()} comes twice")
            headers[name] = value
    client_request_id = headers.get(b"x-request-id")
    if not client_request_id or len(client_request_id) > MAX_VALUE_BYTES:
        raise Malformed("no X-Request-Id" if not client_request_id else "X-Request-Id is too long")
    wait_ms = headers.get(DEADLINE, b"")
    if not WHOLE.fullmatch(wait_ms) or not int(wait_ms):
        raise Malformed("X-Deadline-Ms is no time to wait")
    customer = request.target.partition(b"?")[0].rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= CUSTOMER_LIMIT:
        raise Malformed("the path names no customer")
    cls = settings.classes.get(text(headers.get(b"x-class"), "X-Class"))
    if cls is None:
        raise Malformed("an unknown X-Class")  # whether it may be retried is unknown
    if (cls.effect is interface.Effect.PURE) != (request.method in SAFE) or request.method not in METHODS:
        raise Malformed("not the method of this X-Class", 405)
    if cls.effect is interface.Effect.TOKEN and not headers.get(b"idempotency-key"):
        # Without the key workers could not distinguish a repeat from a new request.
        raise Malformed("no Idempotency-Key")
    plan = text(headers.get(b"plan"), "Plan")
    if settings.plans and plan not in settings.plans:
        raise Malformed("an unknown Plan")  # no quota would limit it
    quota = read_quota(headers.get(b"quota-info", b""))
    if quota.units > settings.max_units > 0:
        raise Malformed("more units than a request may take")
    if quota.spread > settings.fleet_size or quota.first >= settings.fleet_size:
        raise Malformed("no such set of gatekeepers")
    policy_request = interface.Request(
        id=id,
        cls=cls.name,
        plan=plan,
        customer=int(customer, 16),
        # Bounded by the deadline of the class: a mistyped number must not occupy a slot for days.
        deadline=min(now + min(int(wait_ms) / 1000, cls.deadline), ends_at),
        units=quota.units,
        set_size=quota.spread,
        set_from=quota.first,
        is_retry=headers.get(b"x-retry") == b"1",
    )
    return policy_request, client_request_id


@lru_cache(1024)  # few distinct names and quotas occur, each many times
def text(value: bytes | None, name: str) -> str:
    if not value or len(value) > MAX_VALUE_BYTES:
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
    """Parses Quota-Info strictly: ambiguous values must not be charged to the customer of the request."""
    parts: dict[bytes, bytes] = {}
    if len(value) > MAX_VALUE_BYTES:
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


def for_worker(request: Request, remaining_s: float) -> bytes:
    """Serialises the request for a worker without hop-by-hop headers and with the remaining time."""
    headers = end_to_end(request.headers, REWRITTEN, ALWAYS_FORWARDED)
    headers.append((DEADLINE, b"%d" % max(1, round(remaining_s * 1000))))
    return write_request(request.method, request.target, headers, request.body)
