"""Parsing of the request headers that a gateway reads. An invalid value is treated as absent."""

import math

from pewterring.configuration.model import Route
from pewterring.transport.http_request import RequestHead, ServerRequest

DEFAULT_REQUEST_TIMEOUT_MS = 60_000.0  # if the client sends none (see the CONFIG page)


def text_header(request: ServerRequest, name: bytes) -> str | None:
    """Returns the value of a header, or None if the request does not have it."""
    value = request.get(name)
    return None if value is None else value.decode("latin-1")


def number_header(request: ServerRequest | RequestHead, name: bytes, default: float) -> float:
    """Returns the value of a header as a finite number, or `default` if absent or invalid."""
    value = request.get(name)
    try:
        number = default if value is None else float(value)
    except ValueError:
        return default
    return number if math.isfinite(number) else default


def request_timeout_s(request: ServerRequest | RequestHead, route: Route | None) -> float:
    """Returns the time-out of a request, in seconds from its first byte."""
    client_s = number_header(request, b"request-timeout-ms", DEFAULT_REQUEST_TIMEOUT_MS) / 1000
    return min(client_s, route.timeout_ms / 1000) if route and route.timeout_ms > 0 else client_s
