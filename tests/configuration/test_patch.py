"""Patches of a configuration: what they make of it, and which are refused."""

from typing import Any

import orjson
import pytest

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import MAX_VERSION, Patch, apply_patch, parse_patch, read_patch
from pewterring.configuration.reader import read_configuration
from pewterring.configuration.validation import document_errors, validate_configuration, validate_patch
from tests.configuration.documents import document, encoded

BASE = encoded()
ROUTE = document()["routes"][0]
NEW_ROUTE = {
    "name": "r-3",
    "hostname": "h",
    "path_prefix": "/new/",
    "route_type": "idempotent",
    "backend": "wuno96b",
}


def patch(version: int = 9, **changes: Any) -> bytes:
    return orjson.dumps({"version": version, **changes})


def patched(body: bytes, base: bytes = BASE) -> dict[str, Any]:
    result = apply_patch(base, read_patch(body))
    assert b"\n" not in result
    assert read_configuration(result).version == orjson.loads(result)["version"]
    decoded: dict[str, Any] = orjson.loads(result)
    return decoded


def test_items_are_replaced_where_they_stand_added_at_the_end_and_removed() -> None:
    changed = ROUTE | {"timeout_ms": 1}
    result = patched(patch(upsert={"routes": [NEW_ROUTE, changed]}, delete={"routes": ["r-2"]}))
    assert result == document(version=9, routes=[changed, NEW_ROUTE])


def test_a_new_service_and_its_route_come_together() -> None:
    service = {"name": "new", "not_read": [1.5]}
    body = patch(upsert={"backends": [service], "routes": [NEW_ROUTE | {"backend": "new"}]})
    assert patched(body)["backends"][-1]["name"] == "new"


def test_fields_that_nothing_reads_stay_as_they_came() -> None:
    base = BASE.replace(b'"some_new_field":{"x":1}', b'"some_new_field":{"x":12345678901234567890123.50}')
    item = b'{"name":"huvo11a","engine":{"link_mbps":2200000.0,"new":1e400}}'
    body = b'{"version":9,"upsert":{"backends":[%s]}}' % item
    result = apply_patch(base, parse_patch(body))
    assert b'{"x":12345678901234567890123.50}' in result
    assert item in result


def test_a_list_that_nothing_reads_is_patched_as_well() -> None:
    once = patched(patch(upsert={"tenants": [{"name": "a", "tokens": 5}, {"name": "b"}]}))
    assert once["tenants"] == [{"name": "a", "tokens": 5}, {"name": "b"}]
    twice = patched(patch(10, delete={"tenants": ["a", "never"]}), orjson.dumps(once))
    assert twice["tenants"] == [{"name": "b"}]


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"upsert": None, "delete": None},
        {"upsert": {}, "delete": {}},
        {"upsert": {"routes": []}, "delete": {"routes": [], "backends": []}},
        {"delete": {"routes": ["never-there"]}},
        {"some_new_field": 1},
    ],
)
def test_a_patch_that_changes_no_item_gives_the_configuration_its_number(changes: dict[str, Any]) -> None:
    assert patched(patch(**changes)) == document(version=9)


def test_the_first_configuration_may_come_as_a_patch() -> None:
    lists = {"routes": document()["routes"], "backends": document()["backends"]}
    assert patched(patch(upsert=lists), b"null") == {"version": 9, **lists}


def test_a_name_that_stands_twice_in_the_base_is_replaced_once() -> None:
    base = encoded(routes=[ROUTE, ROUTE | {"path_prefix": "/other/"}])
    assert patched(patch(upsert={"routes": [ROUTE]}), base)["routes"] == [ROUTE]
    assert patched(patch(delete={"routes": ["r-1"]}), base)["routes"] == []


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"delete": {"backends": ["wuno96b"]}}, "routes.0.weighted_backends.1"),
        ({"upsert": {"routes": [NEW_ROUTE | {"backend": "never"}]}}, "routes.2.backend"),
        ({"upsert": {"routes": [ROUTE | {"name": "r-9"}]}}, "routes.2"),
        ({"upsert": {"limits": [{"name": "x"}]}}, "limits"),
        ({"upsert": {"version": [{"name": "x"}]}}, "version"),
    ],
)
def test_a_result_that_is_no_valid_configuration_is_refused(changes: dict[str, Any], path: str) -> None:
    readable = read_patch(patch(**changes))
    with pytest.raises(ConfigurationError) as refused:
        apply_patch(BASE, readable)
    assert refused.value.path == path


def test_a_result_without_services_or_too_large_is_refused() -> None:
    with pytest.raises(ConfigurationError, match="backends: the patched configuration has none"):
        apply_patch(b"null", read_patch(patch(upsert={"routes": []})))
    large = [{"name": f"x-{number}", "text": "x" * 1_000_000} for number in range(9)]
    with pytest.raises(ConfigurationError, match="bytes"):
        apply_patch(BASE, read_patch(patch(upsert={"notes": large})))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'"x"',
        b"{}",
        b'{"version":"9"}',
        b'{"version":-1}',
        b'{"version":true}',
        b'{"version":%d}' % (MAX_VERSION + 1),
        b'{"version":9,"upsert":[]}',
        b'{"version":9,"upsert":{"routes":{}}}',
        b'{"version":9,"upsert":{"routes":["r-1"]}}',
        b'{"version":9,"delete":["r-1"]}',
        b'{"version":9,"delete":{"routes":"r-1"}}',
        b'{"version":9,"delete":{"routes":[1]}}',
        b'{"version":9,"delete":{"routes":["r-1"]}',
        b'{"version":9,"version":10}',
        b'{"version":9,"delete":{"routes":["a"],"routes":["b"]}}',
        b'{"version":9,"upsert":{"x":[{"name":"a","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}]}}",
        patch(upsert={"routes": [{"hostname": "h", "path_prefix": "/", "route_type": "idempotent"}]}),
        patch(upsert={"routes": [NEW_ROUTE | {"name": ""}]}),
        patch(upsert={"tenants": [{"tokens": 5}]}),
        patch(upsert={"routes": [NEW_ROUTE, NEW_ROUTE]}),
        patch(upsert={"routes": [NEW_ROUTE]}, delete={"routes": ["r-3"]}),
        patch(upsert={"routes": [NEW_ROUTE | {"timeout_ms": 0}]}),
        patch(upsert={"routes": [NEW_ROUTE | {"path_prefix": "x"}]}),
        patch(upsert={"routes": [NEW_ROUTE | {"weighted_backends": [{"backend": "huvo11a", "weight": 0}]}]}),
        patch(upsert={"routes": [{key: NEW_ROUTE[key] for key in NEW_ROUTE if key != "backend"}]}),
        patch(upsert={"backends": [{"name": "s", "max_connections": -1}]}),
    ],
)
def test_a_patch_that_no_base_makes_valid_is_refused_before_the_base_is_known(body: bytes) -> None:
    with pytest.raises(ConfigurationError):
        validate_patch(body)


def test_a_patch_is_never_taken_for_a_complete_configuration() -> None:
    complete = validate_configuration(BASE)
    assert validate_patch(BASE).digest != complete.digest
    spaced = b'{\n "upsert" : {"routes": []},\r\n "version": 9}'
    wanted = validate_patch(spaced)
    assert wanted.digest == validate_patch(patch(upsert={"routes": []})).digest
    assert b"\n" not in wanted.document
    assert read_patch(wanted.document) == Patch(9, {"routes": {}}, {})


def test_errors_of_a_patch_name_their_field_as_those_of_a_configuration_do() -> None:
    assert document_errors(patch(upsert={"routes": [NEW_ROUTE]})) == []
    (error,) = document_errors(patch(upsert={"routes": [NEW_ROUTE | {"timeout_ms": 0}]}))
    assert error.path == "upsert.routes.0.timeout_ms"


def test_items_without_a_name_stay_in_the_base() -> None:
    unnamed = [ROUTE | {"name": None}, NEW_ROUTE | {"name": ""}]
    base = encoded(routes=unnamed)
    assert validate_configuration(base)
    assert patched(patch(upsert={"routes": [ROUTE | {"path_prefix": "/x/"}]}), base)["routes"] == [
        *unnamed,
        ROUTE | {"path_prefix": "/x/"},
    ]


@pytest.mark.parametrize("routes", [[7], ["r"], [{"name": "r"}], [{"name": 7}], {"name": "r"}])
def test_a_base_that_cannot_be_read_refuses_the_patch_and_ends_nothing(routes: object) -> None:
    readable = read_patch(patch(upsert={"routes": [NEW_ROUTE]}))
    with pytest.raises(ConfigurationError):
        apply_patch(encoded(routes=routes), readable)
