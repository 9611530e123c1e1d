"""Metrics in the Prometheus text format.

The Prometheus client library is imported at the first scrape: start-up and requests only pay for counters.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
COUNTER_SUFFIX = "_total"

Labels = tuple[str, ...]  # label values, in the order of the family's label names


@dataclass(frozen=True, slots=True)
class MetricFamily:
    """All samples of one metric. Names end in the base unit, followed by `_total` for counters."""

    name: str
    description: str  # one sentence, written as `# HELP`
    samples: Mapping[Labels, float]
    labels: tuple[str, ...] = field(default=())  # names of the labels

    @property
    def is_counter(self) -> bool:
        """Whether the metric is a counter, else it is a gauge."""
        return self.name.endswith(COUNTER_SUFFIX)


def single_sample(name: str, description: str, value: float) -> MetricFamily:
    """Returns a family with one sample and no labels."""
    return MetricFamily(name, description, {(): value})


def render(families: Iterable[MetricFamily]) -> bytes:
    """Renders the families and the standard process metrics (CPU time, memory, file descriptors)."""
    from prometheus_client import CollectorRegistry, ProcessCollector
    from prometheus_client.exposition import generate_latest

    registry = CollectorRegistry(auto_describe=False)
    ProcessCollector(registry=registry)
    registry.register(_Collector(tuple(families)))
    return generate_latest(registry)


class _Collector:
    """Converts the families to the metric types of the client library."""

    def __init__(self, families: tuple[MetricFamily, ...]) -> None:
        self._families = families

    def collect(self) -> Iterator["Metric"]:
        """Yields one metric per family. Called by the client library."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for family in self._families:
            kind = CounterMetricFamily if family.is_counter else GaugeMetricFamily
            metric = kind(family.name, family.description, labels=family.labels)
            for labels, value in family.samples.items():
                metric.add_metric(labels, value)
            yield metric
