"""Metrics of a gateway: counters, and gauges that are computed from its state at a scrape."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from pewterring.admission.service import ServiceAdmission
from pewterring.distribution.tables import Tables
from pewterring.observability.metrics import Labels, MetricFamily, single_sample

PREFIX = "pewterring_gateway_"


class Limit(StrEnum):
    """The limit that kept a live request from being answered by a worker."""

    SHARE = "share"  # this gateway's share of the concurrency limit of all gateways
    CONCURRENCY = "ceiling"  # this gateway's own concurrency limit; the value of the metric's label
    CONNECTIONS = "connections"  # all connections to the chosen workers were in use
    NO_WORKER = "no_worker"  # there was no worker, or none that had not been tried yet
    DEADLINE = "deadline"  # the deadline of the request was reached
    DRAIN = "drain"  # this gateway ends before the deadline of the request


@dataclass(frozen=True, slots=True)
class GatewayState:
    """The state of a gateway at the moment of a scrape."""

    ready: bool
    requests_in_flight: int  # received completely and not answered yet
    client_connections: int
    worker_connections_made: int
    tables: Tables
    tables_age_s: float  # time since control confirmed the tables
    admissions: Mapping[str, ServiceAdmission]  # by service


class GatewayMetrics:
    """Owns the counters, which the request handlers increment."""

    def __init__(self) -> None:
        self.requests = 0  # live requests for which a route was found
        self.batch_calls = 0
        self.unrouted = 0
        self._limits = dict.fromkeys(Limit, 0)

    def count_refused(self, admission: ServiceAdmission) -> Limit:
        """Counts a request that admission refused, and returns the limit that applied."""
        by_share = admission.shares.capacity(admission.in_flight) <= admission.ceiling.limit
        limit = Limit.SHARE if by_share else Limit.CONCURRENCY
        self.count_limited(limit)
        return limit

    def count_limited(self, limit: Limit | None) -> None:
        """Counts the limit that kept a request from being answered by a worker, if there was one."""
        if limit is not None:
            self._limits[limit] += 1

    def families(self, state: GatewayState) -> list[MetricFamily]:
        """Returns all metrics, with gauges computed from `state`."""
        return [*self._counters(state), *_gauges(state), *_admission_gauges(state.admissions)]

    def _counters(self, state: GatewayState) -> list[MetricFamily]:
        return [
            single_sample(
                PREFIX + "requests_total", "Live requests that a route was found for.", self.requests
            ),
            single_sample(PREFIX + "batch_calls_total", "Calls of batch clients.", self.batch_calls),
            single_sample(PREFIX + "unrouted_total", "Requests that no route was found for.", self.unrouted),
            MetricFamily(
                PREFIX + "limited_total",
                "Live requests that a limit kept from a worker's answer.",
                {(limit.value,): count for limit, count in self._limits.items()},
                ("limit",),
            ),
            single_sample(
                PREFIX + "worker_connections_total",
                "Connections begun to workers.",
                state.worker_connections_made,
            ),
        ]


def _gauges(state: GatewayState) -> list[MetricFamily]:
    tables = state.tables
    return [
        single_sample(PREFIX + "ready", "Whether readiness is answered with 200.", float(state.ready)),
        single_sample(
            PREFIX + "requests_held", "Requests read completely and not answered.", state.requests_in_flight
        ),
        single_sample(
            PREFIX + "client_connections", "Open connections of clients.", state.client_connections
        ),
        single_sample(
            PREFIX + "configuration_version",
            "Version of the configuration in force.",
            tables.configuration.version if tables.configuration else 0,
        ),
        single_sample(
            PREFIX + "tables_age_seconds", "Time since control confirmed the tables.", state.tables_age_s
        ),
        single_sample(PREFIX + "workers", "Registered workers.", len(tables.workers)),
    ]


def _admission_gauges(admissions: Mapping[str, ServiceAdmission]) -> list[MetricFamily]:
    def family(name: str, description: str, values: Mapping[str, float]) -> MetricFamily:
        samples: dict[Labels, float] = {(service,): value for service, value in values.items()}
        return MetricFamily(PREFIX + name, description, samples, ("service",))

    return [
        family(
            "attempts",
            "Requests out at workers.",
            {name: each.in_flight for name, each in admissions.items()},
        ),
        family(
            "room",
            "Requests that may be out at once.",
            {name: each.capacity for name, each in admissions.items()},
        ),
        family(
            "ceiling",
            "The gateway's own limit of requests out over all gateways.",
            {name: each.ceiling.limit for name, each in admissions.items()},
        ),
    ]
