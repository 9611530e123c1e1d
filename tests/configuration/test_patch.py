"""Patches of a configuration: the resulting configuration, and which patches are rejected."""

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


def patch_json(version: int = 9, **changes: Any) -> bytes:
    return orjson.dumps({"version": version, **changes})


def apply_to_base(body: bytes, base: bytes = BASE) -> dict[str, Any]:
    result = apply_patch(base, read_patch(body))
    assert b"\n" not in result
    assert read_configuration(result).version == orjson.loads(result)["version"]
    decoded: dict[str, Any] = orjson.loads(result)
    return decoded


def test_items_are_replaced_in_position_appended_or_removed() -> None:
    changed = ROUTE | {"timeout_ms": 1}
    result = apply_to_base(patch_json(upsert={"routes": [NEW_ROUTE, changed]}, delete={"routes": ["r-2"]}))
    assert result == document(version=9, routes=[changed, NEW_ROUTE])


def test_one_patch_adds_a_service_and_a_route_to_it() -> None:
    service = {"name": "new", "not_read": [1.5]}
    body = patch_json(upsert={"backends": [service], "routes": [NEW_ROUTE | {"backend": "new"}]})
    assert apply_to_base(body)["backends"][-1]["name"] == "new"


def test_unknown_fields_are_preserved_byte_for_byte() -> None:
    base = BASE.replace(b'"some_new_field":{"x":1}', b'"some_new_field":{"x":12345678901234567890123.50}')
    item = b'{"name":"huvo11a","engine":{"link_mbps":2200000.0,"new":1e400}}'
    body = b'{"version":9,"upsert":{"backends":[%s]}}' % item
    result = apply_patch(base, parse_patch(body))
    assert b'{"x":12345678901234567890123.50}' in result
    assert item in result


def test_an_unknown_list_is_patched_as_well() -> None:
    first = apply_to_base(patch_json(upsert={"tenants": [{"name": "a", "tokens": 5}, {"name": "b"}]}))
    assert first["tenants"] == [{"name": "a", "tokens": 5}, {"name": "b"}]
    second = apply_to_base(patch_json(10, delete={"tenants": ["a", "never"]}), orjson.dumps(first))
    assert second["tenants"] == [{"name": "b"}]


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
def test_a_patch_without_changes_sets_only_the_version(changes: dict[str, Any]) -> None:
    assert apply_to_base(patch_json(**changes)) == document(version=9)


def test_a_patch_may_create_the_first_configuration() -> None:
    lists = {"routes": document()["routes"], "backends": document()["backends"]}
    assert apply_to_base(patch_json(upsert=lists), b"null") == {"version": 9, **lists}


def test_items_of_the_base_with_a_duplicate_name_are_replaced_by_one() -> None:
    base = encoded(routes=[ROUTE, ROUTE | {"path_prefix": "/other/"}])
    assert apply_to_base(patch_json(upsert={"routes": [ROUTE]}), base)["routes"] == [ROUTE]
    assert apply_to_base(patch_json(delete={"routes": ["r-1"]}), base)["routes"] == []


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
def test_a_patch_with_an_invalid_result_is_rejected(changes: dict[str, Any], path: str) -> None:
    valid_patch = read_patch(patch_json(**changes))
    with pytest.raises(ConfigurationError) as raised:
        apply_patch(BASE, valid_patch)
    assert raised.value.path == path


def test_a_result_that_lacks_services_or_is_too_large_is_rejected() -> None:
    with pytest.raises(ConfigurationError, match="backends: the patched configuration has none"):
        apply_patch(b"null", read_patch(patch_json(upsert={"routes": []})))
    large = [{"name": f"x-{number}", "text": "x" * 1_000_000} for number in range(9)]
    with pytest.raises(ConfigurationError, match="bytes"):
        apply_patch(BASE, read_patch(patch_json(upsert={"notes": large})))


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
        patch_json(upsert={"routes": [{"hostname": "h", "path_prefix": "/", "route_type": "idempotent"}]}),
        patch_json(upsert={"routes": [NEW_ROUTE | {"name": ""}]}),
        patch_json(upsert={"tenants": [{"tokens": 5}]}),
        patch_json(upsert={"routes": [NEW_ROUTE, NEW_ROUTE]}),
        patch_json(upsert={"routes": [NEW_ROUTE]}, delete={"routes": ["r-3"]}),
        patch_json(upsert={"routes": [NEW_ROUTE | {"timeout_ms": 0}]}),
        patch_json(upsert={"routes": [NEW_ROUTE | {"path_prefix": "x"}]}),
        patch_json(
            upsert={"routes": [NEW_ROUTE | {"weighted_backends": [{"backend": "huvo11a", "weight": 0}]}]}
        ),
        patch_json(upsert={"routes": [{key: NEW_ROUTE[key] for key in NEW_ROUTE if key != "backend"}]}),
        patch_json(upsert={"backends": [{"name": "s", "max_connections": -1}]}),
    ],
)
def test_an_invalid_patch_is_rejected_without_knowing_the_base(body: bytes) -> None:
    with pytest.raises(ConfigurationError):
        validate_patch(body)


def test_a_patch_and_a_configuration_never_have_the_same_digest() -> None:
    complete = validate_configuration(BASE)
    assert validate_patch(BASE).digest != complete.digest
    spaced = b'{\n "upsert" : {"routes": []},\r\n "version": 9}'
    validated = validate_patch(spaced)
    assert validated.digest == validate_patch(patch_json(upsert={"routes": []})).digest
    assert b"\n" not in validated.document
    assert read_patch(validated.document) == Patch(9, {"routes": {}}, {})


def test_errors_of_a_patch_have_the_path_of_the_field() -> None:
    assert document_errors(patch_json(upsert={"routes": [NEW_ROUTE]})) == []
    (error,) = document_errors(patch_json(upsert={"routes": [NEW_ROUTE | {"timeout_ms": 0}]}))
    assert error.path == "upsert.routes.0.timeout_ms"


def test_items_of_the_base_without_a_name_are_preserved() -> None:
    unnamed = [ROUTE | {"name": None}, NEW_ROUTE | {"name": ""}]
    base = encoded(routes=unnamed)
    assert validate_configuration(base)
    assert apply_to_base(patch_json(upsert={"routes": [ROUTE | {"path_prefix": "/x/"}]}), base)["routes"] == [
        *unnamed,
        ROUTE | {"path_prefix": "/x/"},
    ]


@pytest.mark.parametrize("routes", [[7], ["r"], [{"name": "r"}], [{"name": 7}], {"name": "r"}])
def test_a_patch_of_an_invalid_base_raises_a_configuration_error(routes: object) -> None:
    valid_patch = read_patch(patch_json(upsert={"routes": [NEW_ROUTE]}))
    with pytest.raises(ConfigurationError):
        apply_patch(encoded(routes=routes), valid_patch)
