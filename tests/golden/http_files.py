"""Maps each golden file of an HTTP conversation to the function that produces its content."""

from collections.abc import Callable, Mapping
from functools import partial

from tests.golden import control_http_cases as control
from tests.golden import gateway_http_cases as gateway
from tests.golden import item_http_cases as item
from tests.golden import standalone_http_cases as standalone

TRANSCRIPTS: Mapping[str, Callable[[], str]] = {
    **{f"http-gateway-{name}.txt": partial(gateway.transcript, name) for name in gateway.CASES},
    **{f"http-control-{name}.txt": partial(control.transcript, name) for name in control.CASES},
    "http-control-retirement-ended.txt": control.ended_retirement,
    **{f"http-item-{name}.txt": partial(item.transcript, name) for name in item.ITEMS},
    **{f"http-standalone-{name}.txt": partial(standalone.transcript, name) for name in standalone.CASES},
    "http-standalone-discovery.txt": lambda: standalone.discovery_calls()[0],
}
