"""Builders of configurations of some megabytes."""

from typing import Any

import orjson

SERVICES, ROUTES = 36, 3000


def large_document(version: int = 5, routes: int = ROUTES, services: int = SERVICES) -> dict[str, Any]:
    """Returns a valid configuration whose routes are each split over all services."""
    weights = [{"backend": f"svc{number}", "weight": 10} for number in range(services)]
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number:05d}",
                "hostname": "routes.example",
                "path_prefix": f"/p{number:05d}/",
                "route_type": "streaming",
                "timeout_ms": 6000,
                "weighted_backends": weights,
                "max_attempts": 2,
            }
            for number in range(routes)
        ],
        "backends": [{"name": f"svc{number}"} for number in range(services)],
    }


def large(version: int = 5, routes: int = ROUTES, services: int = SERVICES) -> bytes:
    """Returns a large configuration as JSON."""
    return orjson.dumps(large_document(version, routes, services))
