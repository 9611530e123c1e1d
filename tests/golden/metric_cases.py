"""Golden cases: names, types, labels and label values of the metrics. Only the gateway has metrics."""

from prometheus_client.parser import text_string_to_metric_families

from pewterring.admission.service import ServiceAdmission
from pewterring.distribution.tables import Tables
from pewterring.gateway.metrics import GatewayMetrics, GatewayState
from pewterring.observability.metrics import CONTENT_TYPE, METRICS_PATH, MetricFamily, render
from tests.golden.golden_files import sorted_lines

GOLDEN_FILE = "gateway-metrics.txt"
TEXT_FILE = "gateway-metrics-text.txt"
SERVICE = "chat"
PROCESS_PREFIX, HELP_PREFIX = "process_", "# HELP "


def families() -> list[MetricFamily]:
    """Returns the metric families of a gateway with one service and distinct values."""
    admission = ServiceAdmission(incarnation=1)
    admission.rescale(0.0, slots=10, processes=1)
    admission.ceiling.limit = 7.5
    metrics = GatewayMetrics()
    metrics.requests, metrics.batch_calls, metrics.unrouted = 11, 12, 13
    state = GatewayState(
        ready=True,
        requests_in_flight=3,
        client_connections=4,
        worker_connections_made=5,
        tables=Tables(),
        tables_age_s=0.25,
        admissions={SERVICE: admission},
    )
    return metrics.families(state)


def exposed() -> str:
    """Returns the text of a scrape without help texts and without the metrics of this test process."""
    lines = render(families()).decode().splitlines(keepends=True)
    return "".join(line for line in lines if PROCESS_PREFIX not in line and not line.startswith(HELP_PREFIX))


def names_and_labels() -> str:
    """Returns the name, labels and type of every sample, the path of the metrics, and their content type."""
    lines = {f"path {METRICS_PATH}", f"content type {CONTENT_TYPE}"}
    for family in text_string_to_metric_families(render(families()).decode()):
        for sample in family.samples:
            labels = ",".join(f"{name}={value}" for name, value in sorted(sample.labels.items()))
            lines.add(f"{sample.name}{{{labels}}} {family.type}")
    return sorted_lines(lines)
