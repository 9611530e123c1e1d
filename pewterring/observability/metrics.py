"""Metrics in the Prometheus text format.

The client library is loaded at the first scrape: start-up and requests pay for counters alone.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
COUNTER_SUFFIX = "_total"

Labels = tuple[str, ...]  # values, in the order of the family's names


@dataclass(frozen=True, slots=True)
class MetricFamily:
    """All samples of one name. A counter's name ends in `_total`; units are base units, named last."""

    name: str
    description: str  # one sentence, the text of `# HELP`
    samples: Mapping[Labels, float]
    labels: tuple[str, ...] = field(default=())

    @property
    def is_counter(self) -> bool:
        """Whether its values only rise."""
        return self.name.endswith(COUNTER_SUFFIX)


def single_sample(name: str, description: str, value: float) -> MetricFamily:
    """A family of one sample without labels."""
    return MetricFamily(name, description, {(): value})


def render(families: Iterable[MetricFamily]) -> bytes:
    """The text of these families and of the process itself: its processor time, memory, descriptors."""
    from prometheus_client import CollectorRegistry, ProcessCollector
    from prometheus_client.exposition import generate_latest

    registry = CollectorRegistry(auto_describe=False)
    ProcessCollector(registry=registry)
    registry.register(_Collector(tuple(families)))
    return generate_latest(registry)


class _Collector:
    """Hands families to the library in its form."""

    def __init__(self, families: tuple[MetricFamily, ...]) -> None:
        self._families = families

    def collect(self) -> Iterator["Metric"]:
        """Called by the library."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for family in self._families:
            kind = CounterMetricFamily if family.is_counter else GaugeMetricFamily
            metric = kind(family.name, family.description, labels=family.labels)
            for labels, value in family.samples.items():
                metric.add_metric(labels, value)
            yield metric
