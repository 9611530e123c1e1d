"""The scenario format, version 1: its parts, their bounds and what must hold between them.

All times are seconds, shares lie between 0 and 1. docs/lab.md explains each field.
"""

import typing
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MOST_MACHINES = 1000
MOST_REQUESTS = 20_000_000  # of one run: some hours of one core

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Span = Annotated[float, Meta(gt=0, le=86_400)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
NotNegative = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Machines = Annotated[int, Meta(ge=1, le=MOST_MACHINES)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class ScenarioError(ValueError):
    """A scenario cannot be used; one line that names the file, the key and what is allowed there."""


class _Part(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    pass


class Gatekeepers(_Part, frozen=True):
    count: Machines = 3
    policy: str = "pewterring"  # see lab.policies.POLICIES
    mail_per_s: NotNegative = 100.0  # messages a second that one takes in; past it they are dropped
    start_spread_s: Seconds = 0.5
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    may_duplicate: bool = True
    peers: bool = True
    probing: bool = True
    answer_slack_s: Seconds = 0.05  # past the deadline a final answer is still in time


class Workers(_Part, frozen=True):
    count: Machines = 8
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    speed: Positive = 1.0  # work done by one core in a second
    speed_cv: Annotated[float, Meta(ge=0, le=2)] = 0.1
    slots_per_core: Positive = 4.0  # requests in service
    queue_per_core: NotNegative = 12.0  # waiting; more are turned away unseen
    thrash: NotNegative = 0.0  # loss of efficiency for each request a core past thrash_at
    thrash_at: Positive = 6.0
    cancel: Literal["all", "queued", "none"] = "all"  # what of a cancelled request stops
    drops_expired: bool = True  # work whose client has given up is not begun
    error_rate: Share = 0.0
    cell_size: Annotated[int, Meta(ge=1)] = 4
    connections: Annotated[int, Meta(ge=1)] = 1200  # that one holds; further ones are refused
    handshake_s: Seconds = 0.002
    handshake_work_s: Seconds = 0.0005
    idle_s: Span = 15.0  # an idle connection is closed after this
    connect_timeout_s: Span = 0.25
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.3  # of its capacity, when it starts
    cold_s: Seconds = 10.0  # until it is warm, rising evenly
    fall_multiple: Annotated[float, Meta(ge=1)] = 3.0
    tip_after_s: Span = 1.0
    fallen_s: Span = 5.0  # out of service after falling over


class Network(_Part, frozen=True):
    same_zone_s: Seconds = 0.0003
    cross_zone_s: Seconds = 0.0008
    client_s: Seconds = 0.001
    jitter: Share = 0.3  # of each delay
    peer_s: tuple[Seconds, Seconds] = (0.004, 0.02)
    peer_loss: Share = 0.05


class Discovery(_Part, frozen=True):
    mode: Literal["push", "ask"] = "push"
    notice_s: Seconds = 1.5  # until starts and drains are listed
    silent_s: Seconds = 8.0  # until a machine that says nothing is taken off
    spread_s: Seconds = 0.4  # between the first gatekeeper told and the last
    calls_per_s: Positive = 200.0  # where it is asked: more calls fail
    drain_grace_s: Seconds = 1.0  # sends to a draining worker stop within this of being told


class Front(_Part, frozen=True):
    notice_s: Seconds = 2.0  # until a dead gatekeeper is passed over
    skew: Annotated[float, Meta(ge=0, le=4)] = 0.7  # of the weights within a customer's set
    shift_s: Span = 17.0  # weights are drawn anew this often
    balance: Annotated[float, Meta(ge=0, le=4)] = 0.0  # skew between gatekeepers, the same for all customers


class Clients(_Part, frozen=True):
    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_s: Seconds = 0.2
    honour: Share = 0.6  # of clients that wait as Retry-After says
    max_retry_after_s: Seconds = 2.0
    impatient: Share = 0.0  # of tries whose client gives up at half of its time


class Load(_Part, frozen=True):
    part: Positive | None = None  # of what the workers can do, asked inside the quotas
    rate: Positive | None = None  # or requests a second asked inside the quotas
    ramp: Annotated[float, Meta(ge=0, le=1)] = 0.0  # it begins this share lower and ends as much higher
    burst: Annotated[float, Meta(ge=1, le=100)] = 1.0  # times the load, in the burst
    burst_at_s: Seconds = 0.0
    burst_for_s: Seconds = 0.0


class Customers(_Part, frozen=True):
    """How customers of any plan use it: the parts that are not calm, and how far they go."""

    calm: tuple[Share, Share] = (0.2, 0.5)
    full: Share = 0.15
    heavy: Share = 0.1
    heavy_x: Positive = 3.5
    spiky: Share = 0.2
    spike_x: Positive = 5.0
    spike_s: Span = 2.0
    spike_every_s: Span = 17.0


class RequestClass(_Part, frozen=True):
    name: Name
    share: Positive = 1.0
    work_s: Span = 0.05
    dist: Literal["fixed", "exp", "lognormal", "pareto"] = "lognormal"
    cv: Annotated[float, Meta(ge=0, le=10)] = 1.0
    attempt_noise: Share = 0.1
    aim_s: Span = 1.0
    deadline_s: Span = 4.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window_s: Seconds = 4.0
    worth: Positive = 1.0
    late_worth: Share = 0.0


class Plan(_Part, frozen=True):
    name: Name
    share: Positive = 1.0  # of the load
    refill: NotNegative = 0.0  # units a second; 0: no quota
    depth: NotNegative = 0.0
    units: Positive = 1.0  # of each request
    spread: tuple[Share, Share] = (0.5, 1.0)  # of the gatekeepers, that a customer's requests come through
    price: Positive = 1.0
    over_worth: NotNegative = 0.0
    over_cost: NotNegative = 0.0
    parallel: Annotated[int, Meta(ge=0)] = 0
    cap_rate: NotNegative = 0.0
    cap_depth: NotNegative = 0.0
    cap_slack: NotNegative = 0.0
    customer_rate: Positive = 1.0  # requests a second of a customer without a quota


class Counters(_Part, frozen=True):
    """The counter service: numbers by name, on parts of fixed capacity."""

    parts: Annotated[int, Meta(ge=1, le=64)] = 1
    per_s: Positive = 600.0
    delay_s: Seconds = 0.001
    line: Annotated[int, Meta(ge=1)] = 50  # calls waiting at a part; more are turned away
    timeout_s: Span = 0.05


class Prices(_Part, frozen=True):
    """Taken off the worth served; each is a share or a rate times its price."""

    waste: NotNegative = 0.08
    probe: NotNegative = 0.008
    peer: NotNegative = 0.02
    connection: NotNegative = 0.02
    late_fail: NotNegative = 0.05


# Faults. Each begins at `at_s` and, where it lasts, ends `for_s` later. Who is struck: `zone`, or `targets`
# by number, or a `part` drawn by chance.


class BaseFault(Struct, tag_field="kind", forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all faults have: when one begins and how long it lasts."""

    at_s: Seconds
    for_s: Seconds = 5.0


class _Struck(BaseFault, frozen=True):
    part: Share = 0.25
    zone: str = ""
    targets: tuple[Annotated[int, Meta(ge=0)], ...] = ()


class Kill(_Struck, frozen=True, tag="kill"):
    """Gatekeepers end at once; `for_s` later they start from nothing."""


class Restart(_Struck, frozen=True, tag="restart"):
    """Gatekeepers are restarted in good order, in `batches` over `for_s`."""

    batches: Annotated[int, Meta(ge=1, le=100)] = 5
    down_s: Seconds = 0.5


class Freeze(_Struck, frozen=True, tag="freeze"):
    """Gatekeepers stand still; what comes meanwhile waits."""


class Slow(_Struck, frozen=True, tag="slow"):
    times: Annotated[float, Meta(ge=1, le=1000)] = 4.0


class Silent(_Struck, frozen=True, tag="silent"):
    """Workers say nothing and come back; `cold` where they had to start again."""

    cold: bool = True


class Release(_Struck, frozen=True, tag="release"):
    """Workers drain and are replaced by new ones that are cold, in `batches` over `for_s`."""

    batches: Annotated[int, Meta(ge=1, le=100)] = 4
    drain_s: Seconds = 3.0


class Errors(_Struck, frozen=True, tag="errors"):
    """Workers fail a share of their requests fast."""

    share: Share = 0.5


class SpoiltAnswers(_Struck, frozen=True, tag="spoilt_answers"):
    """Requests run, and their answers cannot be read."""

    share: Share = 0.3


class LostAnswers(_Struck, frozen=True, tag="lost_answers"):
    """Requests run, and nothing comes back."""

    share: Share = 0.3


class ZoneCut(BaseFault, frozen=True, tag="zone_cut"):
    """Nothing passes between `zone` and the others; `clients` also cuts it from its clients."""

    zone: str
    clients: bool = False


class MessageLoss(BaseFault, frozen=True, tag="message_loss"):
    """A share of the peers' messages is lost, and the rest comes `late_s` later."""

    share: Share = 1.0
    late_s: Seconds = 0.0


class CounterSilent(BaseFault, frozen=True, tag="keeper_silent"):
    pass


class CounterSlow(BaseFault, frozen=True, tag="keeper_slow"):
    times: Annotated[float, Meta(ge=1, le=1000)] = 5.0


class CounterEmpty(BaseFault, frozen=True, tag="keeper_empty"):
    """It forgets all; `for_s` it is silent before."""


class CounterSplit(BaseFault, frozen=True, tag="keeper_split"):
    """Two instances for a time, each with half of the gatekeepers; the first one's numbers stay."""


class ListLate(BaseFault, frozen=True, tag="list_late"):
    by_s: Seconds = 5.0


class TrafficShift(BaseFault, frozen=True, tag="traffic_shift"):
    """Traffic that comes through the other gatekeepers falls to `to` of it; the sets stay."""

    zone: str = ""
    to: Share = 0.2


class HotCustomer(BaseFault, frozen=True, tag="hot_customer"):
    """One customer asks for this share of the whole load beside its own."""

    share: Share = 0.15


class RetryStorm(BaseFault, frozen=True, tag="retry_storm"):
    """Clients ask again so often, without a pause and without heeding advice."""

    retries: Annotated[int, Meta(ge=1, le=20)] = 6


Fault = (
    Kill | Restart | Freeze | Slow | Silent | Release | Errors | SpoiltAnswers | LostAnswers | ZoneCut |
    MessageLoss | CounterSilent | CounterSlow | CounterEmpty | CounterSplit | ListLate | TrafficShift |
    HotCustomer | RetryStorm
)  # fmt: skip
FAULTS: tuple[type[BaseFault], ...] = typing.get_args(Fault)


class Scenario(_Part, frozen=True):
    version: int
    name: Name = "unnamed"
    about: str = ""
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 1
    duration_s: Annotated[float, Meta(gt=0, le=7200)] = 60.0
    zones: tuple[Name, ...] = ("a",)
    gatekeepers: Gatekeepers = Gatekeepers()
    workers: Workers = Workers()
    network: Network = Network()
    discovery: Discovery = Discovery()
    front: Front = Front()
    clients: Clients = Clients()
    load: Load = Load(part=0.6)
    customers: Customers = Customers()
    classes: tuple[RequestClass, ...] = (RequestClass(name="read"),)
    plans: tuple[Plan, ...] = (Plan(name="standard", refill=1.0, depth=4.0),)
    keeper: Counters = Counters()  # the counter service, under the key that scenarios use
    prices: Prices = Prices()
    faults: tuple[Fault, ...] = ()
    random_faults: Annotated[int, Meta(ge=0, le=1000)] = 0  # drawn beside these, from the run's seed


def mean_work(scenario: Scenario) -> float:
    """Of a request of any class, in seconds of one core at speed 1."""
    return sum(c.share * c.work_s for c in scenario.classes) / sum(c.share for c in scenario.classes)


def longest_deadline(scenario: Scenario) -> float:
    return max(c.deadline_s for c in scenario.classes)


def rate(scenario: Scenario) -> float:
    """Requests a second asked inside the quotas."""
    if scenario.load.rate is not None:
        return scenario.load.rate
    workers = scenario.workers
    done = workers.count * workers.cores * workers.speed
    return (scenario.load.part or 0.0) * done / mean_work(scenario)


def inconsistency(s: Scenario) -> str:
    """What each field alone could not show; empty where there is nothing."""
    if (s.load.part is None) == (s.load.rate is None):
        return "load: give part or rate, and not both"
    for key, named in (("classes", s.classes), ("plans", s.plans)):
        names = [n.name for n in named]
        if not names:
            return f"{key}: at least one is needed"
        if twice := {n for n in names if names.count(n) > 1}:
            return f"{key}: {min(twice)} comes twice"
    if not s.zones or len(set(s.zones)) < len(s.zones):
        return "zones: at least one is needed, and none twice"
    for n, plan in enumerate(s.plans):
        if plan.refill and plan.depth < plan.units:
            return f"plans.{n}.depth: a burst below the {plan.units:g} units of one request lets none in"
        if plan.cap_rate and plan.cap_depth < plan.units:
            return f"plans.{n}.cap_depth: below the {plan.units:g} units of one request lets none in"
        if plan.spread[0] > plan.spread[1]:
            return f"plans.{n}.spread: the lower end comes first"
    if s.customers.full + s.customers.heavy + s.customers.spiky > 1:
        return "customers: full, heavy and spiky are parts of one whole and pass 1 together"
    for n, cls in enumerate(s.classes):
        if cls.aim_s > cls.deadline_s:
            return f"classes.{n}.aim_s: past the deadline of {cls.deadline_s:g} s"
    for n, fault in enumerate(s.faults):
        if fault.at_s > s.duration_s:
            return f"faults.{n}.at_s: past the end, {s.duration_s:g} s"
        if (zone := getattr(fault, "zone", "")) and zone not in s.zones:
            return f"faults.{n}.zone: no zone {zone!r}; there are {', '.join(s.zones)}"
        if isinstance(fault, ZoneCut) and len(s.zones) < 2:
            return f"faults.{n}: a cut needs two zones"
        if isinstance(fault, _Struck) and fault.targets:
            most = s.gatekeepers.count if isinstance(fault, Kill | Restart | Freeze) else s.workers.count
            if max(fault.targets) >= most:
                return f"faults.{n}.targets: {max(fault.targets)} is past the last, {most - 1}"
    if (asked := rate(s) * s.duration_s) > MOST_REQUESTS:
        return f"load: {asked:.0f} requests are more than the {MOST_REQUESTS} of one run"
    return ""


def json_schema() -> dict[str, Any]:
    return msgspec.json.schema(Scenario)
