"""What a client asks, as the module's request, and what of it a worker gets."""

import re
from functools import lru_cache

from pewterring import interface as i
from pewterring.http.messages import Malformed, Request, end_to_end
from pewterring.http.writer import write_request

CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
MOST_CUSTOMER = 2**33
MAX_NAME = 256  # bytes of a class, a plan or a quota: what is remembered of them stays small
NUMBER = re.compile(rb"[0-9]{1,9}")
UNITS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
DEADLINE = b"x-deadline-ms"
PROTOCOL = frozenset(
    {b"x-request-id", b"x-class", b"plan", DEADLINE, b"idempotency-key", b"quota-info", b"x-retry"}
)
REWRITTEN = frozenset({DEADLINE})  # what is written anew for the worker
ALWAYS = frozenset({b"x-request-id", b"idempotency-key"})  # what passes whatever Connection says of it


def read_request(request: Request, settings: i.Settings, now: float, id: int) -> i.Request:
    """Raises Malformed for what the protocol does not know: it must reach no worker."""
    said: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in PROTOCOL:
            if name in said:  # which one did the sender mean?
                raise Malformed(f"{name.decode()} comes twice")
            said[name] = value
    if not said.get(b"x-request-id"):
        raise Malformed("no X-Request-Id")
    deadline = said.get(DEADLINE, b"")
    if not NUMBER.fullmatch(deadline):
        raise Malformed("X-Deadline-Ms is no number")
    customer = request.target.partition(b"?")[0].rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= MOST_CUSTOMER:
        raise Malformed("the path names no customer")
    cls = text(said.get(b"x-class"), "X-Class")
    known = settings.classes.get(cls)
    if known and known.effect is i.Effect.TOKEN and not said.get(b"idempotency-key"):
        # Without its key the workers could not tell a repeat from a new request.
        raise Malformed("no Idempotency-Key")
    plan = text(said.get(b"plan"), "Plan")
    if settings.plans and plan not in settings.plans:
        raise Malformed("an unknown Plan")  # no quota would bind it
    # No client waits for longer than its class says: a slip in the number must not hold a place for days.
    longest = known.deadline if known else max((c.deadline for c in settings.classes.values()), default=0.0)
    wait = int(deadline) / 1000
    units, spread, first = read_quota(said.get(b"quota-info", b""))
    return i.Request(
        id=id,
        # Those that the settings don't name share one: the module remembers each class that it sees.
        cls=cls if known else "",
        plan=plan,
        customer=int(customer, 16),
        not_after=now + (min(wait, longest) if longest > 0 else wait),
        units=units,
        set_size=spread,
        set_from=first,
        is_retry=said.get(b"x-retry") == b"1",
    )


@lru_cache(4096)  # the same few names and quotas come again and again
def text(value: bytes | None, name: str) -> str:
    if not value or len(value) > MAX_NAME:
        raise Malformed(f"no {name}" if not value else f"{name} is too long")
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError as error:
        raise Malformed(f"{name} cannot be read") from error


@lru_cache(4096)
def read_quota(value: bytes) -> tuple[float, int, int]:
    """Units, spread and first."""
    parts = {}
    if len(value) > MAX_NAME:
        raise Malformed("Quota-Info is too long")
    for part in value.split(b",") if value else ():
        name, equals, number = part.strip().partition(b"=")
        if not equals or not UNITS.fullmatch(number):
            raise Malformed("Quota-Info cannot be read")
        parts[name] = float(number)
    return parts.get(b"units", 1.0), max(1, int(parts.get(b"spread", 1.0))), int(parts.get(b"first", 0.0))


def for_worker(request: Request, left: float) -> bytes:
    """The request as a worker gets it: unchanged but for what belongs to one hop, and with the time left."""
    headers = end_to_end(request.headers, REWRITTEN, ALWAYS)
    headers.append((DEADLINE, b"%d" % max(1, round(left * 1000))))
    return write_request(request.method, request.target, headers, request.body)
