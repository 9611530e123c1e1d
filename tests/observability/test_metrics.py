"""Metrics: names and units, the text format, and the counters of a gateway."""

import subprocess
import sys
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from pewterring.admission.service import ServiceAdmission
from pewterring.distribution.tables import Tables
from pewterring.gateway.metrics import GatewayMetrics, GatewayState, Limit
from pewterring.observability.metrics import MetricFamily, render, single_sample

ROOT = Path(__file__).resolve().parents[2]
OTHER_UNITS = ("_ms", "_milliseconds", "_kb", "_mb", "_minutes")


def samples(text: bytes) -> dict[tuple[str, tuple[str, ...]], float]:
    """Returns every sample by its name and label values."""
    return {
        (sample.name, tuple(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


def state(**admissions: ServiceAdmission) -> GatewayState:
    return GatewayState(
        ready=True,
        requests_in_flight=3,
        client_connections=4,
        worker_connections_made=5,
        tables=Tables(),
        tables_age_s=0.25,
        admissions=admissions,
    )


def test_counters_and_gauges_are_written_with_their_type() -> None:
    text = render(
        [single_sample("a_total", "A.", 2), MetricFamily("b", "B.", {("x",): 1.5, ("y",): 0}, ("kind",))]
    )
    assert b"# TYPE a_total counter" in text
    assert b"# TYPE b gauge" in text
    found = samples(text)
    assert found["a_total", ()] == 2
    assert found["b", ("x",)] == 1.5
    assert found["b", ("y",)] == 0


def test_process_metrics_are_included() -> None:
    found = samples(render([]))
    assert found["process_resident_memory_bytes", ()] > 0
    assert ("process_cpu_seconds_total", ()) in found


def test_a_gateway_counts_each_limit() -> None:
    metrics = GatewayMetrics()
    for limit in Limit:
        metrics.count_limited(limit)
    metrics.count_limited(Limit.DEADLINE)
    metrics.count_limited(None)
    found = samples(render(metrics.families(state())))
    name = "pewterring_gateway_limited_total"
    assert found[name, ("deadline",)] == 2
    assert all(found[name, (limit.value,)] == 1 for limit in Limit if limit is not Limit.DEADLINE)


def test_a_refusal_by_admission_names_the_tighter_limit() -> None:
    metrics = GatewayMetrics()
    admission = ServiceAdmission(incarnation=1)
    admission.rescale(0.0, slots=10, processes=1)
    admission.ceiling.limit = 0.0
    metrics.count_refused(admission)
    found = samples(render(metrics.families(state(chat=admission))))
    assert found["pewterring_gateway_limited_total", ("ceiling",)] == 1
    assert found["pewterring_gateway_limited_total", ("share",)] == 0
    assert found["pewterring_gateway_ceiling", ("chat",)] == 0


def test_names_follow_the_conventions_of_the_format() -> None:
    metrics = GatewayMetrics()
    for family in metrics.families(state()):
        assert family.name.startswith("pewterring_gateway_")
        assert not family.name.endswith(OTHER_UNITS)
        assert not family.name.removesuffix("_total").endswith(OTHER_UNITS)
        assert family.description.endswith(".")


def test_gateway_metrics_do_not_import_the_client_library() -> None:
    script = "import sys; import pewterring.gateway.metrics; print('prometheus_client' in sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", script], check=True, capture_output=True, text=True, cwd=ROOT
    )
    assert completed.stdout.strip() == "False"
