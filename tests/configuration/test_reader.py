"""Parsing of configurations, and which documents are rejected."""

from typing import Any

import pytest

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.model import RouteType, WeightedService
from pewterring.configuration.reader import read_configuration
from tests.configuration.documents import document, encoded, with_route


def test_a_complete_configuration_is_read() -> None:
    raw = encoded()
    configuration = read_configuration(raw)
    streaming, batch = configuration.routes
    assert configuration.version == 7
    assert configuration.document == raw
    assert streaming.host == "ficu95.example"
    assert streaming.services == (WeightedService("huvo11a", 90), WeightedService("wuno96b", 10))
    assert streaming.token_gap_target_ms == 250
    assert batch.route_type is RouteType.BATCH_JOB
    assert batch.timeout_ms > 0
    assert batch.max_queued_tokens == 1400000
    engine = configuration.services["huvo11a"].engine
    assert engine is not None
    assert (engine.capacity, engine.stride, engine.models) == (48, 14, ("m",))
    assert configuration.services["wuno96b"].engine is None
    assert configuration.limits.idle_timeout_ms == 15000


def test_absent_limits_have_defaults() -> None:
    assert read_configuration(encoded(limits=None)).limits.max_header_bytes == 16384


@pytest.mark.parametrize("length", [0, 1, 100, len(encoded()) - 1])
def test_a_truncated_document_is_rejected(length: int) -> None:
    with pytest.raises(ConfigurationError):
        read_configuration(encoded()[:length])


@pytest.mark.parametrize("raw", [b"[]", b"null", b"7", b'"x"', b"\xff\xfe", b'{"version":NaN}', b"{}"])
def test_json_or_bytes_that_are_no_configuration_are_rejected(raw: bytes) -> None:
    with pytest.raises(ConfigurationError):
        read_configuration(raw)


@pytest.mark.parametrize(
    "changes",
    [
        {"backend": "nobody"},
        {"backend": None},
        {"backend": 5},
        {"weighted_backends": [{"backend": "nobody", "weight": 1}]},
        {"weighted_backends": []},
        {"weighted_backends": [{"backend": "huvo11a", "weight": 0}, {"backend": "wuno96b", "weight": 0}]},
        {"weighted_backends": [{"backend": "huvo11a", "weight": -1}, {"backend": "wuno96b", "weight": 2}]},
        {
            "weighted_backends": [
                {"backend": "huvo11a", "weight": 1e308},
                {"backend": "wuno96b", "weight": 1e308},
            ]
        },
        {"timeout_ms": 0},
        {"timeout_ms": -5},
        {"timeout_ms": "soon"},
        {"path_prefix": "pufi791/"},
        {"path_prefix": "/pufi791"},
        {"path_prefix": ""},
        {"path_prefix": "/pufi791/\n"},
        {"hostname": None},
        {"hostname": "FICU95.example", "path_prefix": "/lohu930/"},
        {"route_type": "other"},
        {"max_attempts": 0},
    ],
)
def test_an_invalid_route_is_rejected_with_its_path(changes: dict[str, Any]) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read_configuration(with_route(1, **changes))
    assert caught.value.path.startswith("routes.1")


@pytest.mark.parametrize("version", ["7", 7.5, None, True, [7]])
def test_a_version_that_is_no_integer_is_rejected(version: object) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read_configuration(encoded(version=version))
    assert caught.value.path == "version"


def test_duplicate_service_names_are_rejected() -> None:
    services = document()["backends"]
    with pytest.raises(ConfigurationError):
        read_configuration(encoded(backends=[*services, services[0]]))


def test_the_root_path_is_a_valid_prefix() -> None:
    assert read_configuration(with_route(1, path_prefix="/")).routes[1].path_prefix == "/"
