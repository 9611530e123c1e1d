"""Enlarges a configuration by routes and services that no client uses."""

from typing import Any

HOST = "unused.example"
SERVICES = 36  # each further route is split over all of them


def enlarged(configuration: dict[str, Any], routes: int) -> dict[str, Any]:
    """Returns the configuration with that many further routes; unchanged without any.

    A route takes 1.4 KB: 3,000 are about 4 MiB.
    """
    if not routes:
        return configuration
    services = [{"name": f"unused-{number}"} for number in range(SERVICES)]
    return configuration | {
        "routes": [*configuration["routes"], *(_route(number) for number in range(routes))],
        "backends": [*configuration["backends"], *services],
    }


def _route(number: int) -> dict[str, Any]:
    weighted = [{"backend": f"unused-{service}", "weight": 10} for service in range(SERVICES)]
    return {
        "name": f"unused-{number}",
        "hostname": HOST,
        "path_prefix": f"/{number}/",
        "route_type": "streaming",
        "timeout_ms": 6000,
        "target_latency_ms": 200,
        "max_attempts": 2,
        "weighted_backends": weighted,
    }
