"""Large documents are read, checked and hashed in steps, with the same outcome as at once."""

import hashlib
import json
from typing import Any

import msgspec
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pewterring.configuration import item_reader
from pewterring.configuration.digest import DIGEST_CHARACTERS, document_digest
from pewterring.configuration.error_list import configuration_errors
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.item_reader import RouteReader
from pewterring.configuration.model import Configuration
from pewterring.configuration.reader import read_configuration, reading_steps
from pewterring.configuration.schema_reader import STEP_ENTRIES
from pewterring.configuration.steps import STEP_BYTES, complete
from pewterring.configuration.validation import validate_configuration, validate_patch
from tests.configuration.documents import document, encoded
from tests.configuration.large_documents import large, large_document

FILLER = "x" * (STEP_BYTES + 1)


def whole_digest(body: bytes) -> str:
    """The digest by its definition: of the text that the encoder writes for the whole document."""
    canonical = orjson.dumps(orjson.loads(body), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()[:DIGEST_CHARACTERS]


@pytest.mark.parametrize("indent", [None, orjson.OPT_INDENT_2])
def test_the_digest_of_a_large_document_is_that_of_the_whole(indent: int | None) -> None:
    content = large_document(routes=300) | {
        "ü": {"b": FILLER, "a": [FILLER, {"z": 1, "y": FILLER}, 1.5e300, []], "": None},
        "tenants": [{"name": f"t-{number}", "b": 1, "a": [1]} for number in range(9000)],
        "numbers": [1] * 100_000,
    }
    body = orjson.dumps(content, option=indent)
    assert document_digest(body) == whole_digest(body)


JSON_TEXTS = st.recursive(
    st.sampled_from(["1", "-0", "1.50", "1e3", '"a"', '"\\u00e4"', "null", '"' + FILLER + '"']),
    lambda inner: (
        st.lists(inner, max_size=4).map(lambda each: "[" + " , ".join(each) + "]")
        | st.lists(
            st.tuples(st.sampled_from(['"a"', '"\\u0061"', '"b"', '"ü"', '"a,}"']), inner), max_size=4
        ).map(lambda pairs: "{\n" + ",".join(f"{key} : {value}" for key, value in pairs) + " }")
    ),
    max_leaves=8,
)


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(JSON_TEXTS)
def test_a_key_that_stands_twice_is_found_in_documents_of_any_size(text: str) -> None:
    keys: list[list[str]] = []
    json.loads(text, object_pairs_hook=lambda pairs: keys.append([key for key, _ in pairs]))
    has_duplicate = any(len(set(each)) < len(each) for each in keys)
    body = text.encode()
    if not has_duplicate:
        assert document_digest(body) == whole_digest(body)
        return
    with pytest.raises(ConfigurationError, match="twice"):
        document_digest(body)


@pytest.mark.parametrize("depth", [200, 253, 254, 255, 300])
def test_the_limit_on_nesting_counts_from_the_top_of_a_large_document(depth: int) -> None:
    body = b'{"filler":"%b","nested":%b%b}' % (FILLER.encode(), b"[" * depth, b"]" * depth)
    try:
        orjson.dumps(orjson.loads(body))
    except orjson.JSONEncodeError:
        with pytest.raises(ConfigurationError, match="nested too deeply"):
            document_digest(body)
    else:
        assert document_digest(body) == whole_digest(body)


def test_a_large_document_takes_many_steps() -> None:
    body = large()
    steps = reading_steps(body)
    count = sum(1 for _ in steps)
    assert count >= len(body) // STEP_BYTES - 1


def test_routes_with_the_same_list_of_services_share_it() -> None:
    first, *others = read_configuration(large(routes=20)).routes
    assert len(first.services) == 36
    assert all(route.services is first.services for route in others)


@pytest.mark.parametrize("noise", [b"", b"{", b"[]", b'"\xff"', b'{"version":1,"routes":[\x00]}'])
def test_a_large_damaged_document_is_refused(noise: bytes) -> None:
    body = large(routes=100)
    at = len(body) // 2
    with pytest.raises(ConfigurationError):
        validate_configuration(body[:at] + noise + body[at + len(noise) + 1 :])


def test_a_large_patch_is_validated_like_its_items() -> None:
    items = large_document(routes=100)
    patch = {"version": 9, "upsert": {"routes": items["routes"], "backends": items["backends"]}}
    assert validate_patch(orjson.dumps(patch)).version == 9
    items["routes"][99]["timeout_ms"] = 0
    with pytest.raises(ConfigurationError, match=r"upsert\.routes\.99\.timeout_ms"):
        validate_patch(orjson.dumps(patch))


# Values as operators may write them: usual ones, others that the schema takes too, and invalid ones.
NUMBERS: st.SearchStrategy[Any] = st.sampled_from(
    [0, 1, 2, 7.5, -1, 3.0, 1e308, 10**30, "3", "x", "", True, False, None, [], {}]
)
TEXTS = st.sampled_from(
    ["huvo11a", "wuno96b", "", "/", "/a/", "/a", "streaming", "batch_job", None, 5, "a\nb"]
)
FLAGS = st.sampled_from([True, False, None, "true", "no", 0, 1, 2, "x"])
WEIGHTED = st.lists(
    st.fixed_dictionaries({"backend": TEXTS}, optional={"weight": NUMBERS, "new": NUMBERS}) | NUMBERS,
    max_size=3,
)
ROUTE_CHANGES = st.dictionaries(
    st.sampled_from(["name", "hostname", "path_prefix", "route_type", "backend"]), TEXTS, max_size=2
).flatmap(
    lambda texts: st.fixed_dictionaries(
        {},
        optional={
            **dict.fromkeys(
                (
                    "timeout_ms",
                    "target_latency_ms",
                    "priority",
                    "max_attempts",
                    "gap_aim_ms",
                    "max_queued_tokens",
                    "run_aim_ms",
                    "keep_s",
                ),
                NUMBERS,
            ),
            "session_affinity": FLAGS,
            "resumable": FLAGS,
            "weighted_backends": WEIGHTED | NUMBERS,
        },
    ).map(lambda changes: texts | changes)
)
SERVICE_CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "name": TEXTS,
        "health_check": TEXTS,
        "max_connections": NUMBERS,
        "engine": NUMBERS
        | st.fixed_dictionaries(
            {},
            optional={
                "capacity": NUMBERS,
                "kv_tokens": NUMBERS,
                "stride": NUMBERS,
                "models": NUMBERS | st.lists(st.fixed_dictionaries({}, optional={"name": TEXTS}) | TEXTS),
            },
        ),
    },
)


def outcome(body: bytes) -> Configuration | str:
    """The configuration, or the path of the error."""
    try:
        return read_configuration(body)
    except ConfigurationError as error:
        return error.path


class NoRecords:
    """Decodes nothing, so that the schemas read every item."""

    def decode(self, _item: object) -> Any:
        raise msgspec.ValidationError("not decoded")


@settings(max_examples=400, derandomize=True, database=None, deadline=None)
@given(ROUTE_CHANGES, SERVICE_CHANGES)
def test_records_and_schemas_mean_the_same(route: dict[str, Any], service: dict[str, Any]) -> None:
    content = document()
    content["routes"][1] |= route
    content["backends"][1] |= service
    body = json.dumps(content).encode()
    by_records = outcome(body)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(item_reader, "_route_decoder", NoRecords())
        patch.setattr(item_reader, "_service_decoder", NoRecords())
        assert outcome(body) == by_records
    errors = configuration_errors(body)
    assert bool(errors) == isinstance(by_records, str)


def test_a_long_list_that_only_the_schema_reads_is_loaded_in_parts() -> None:
    weights = [{"backend": "s", "weight": "1.5"} for _ in range(3 * STEP_ENTRIES)]
    route = {"hostname": "h", "path_prefix": "/", "route_type": "streaming", "weighted_backends": weights}
    steps = RouteReader().route_steps(msgspec.Raw(orjson.dumps(route)), "routes.0")
    assert sum(1 for _ in steps) >= 3
    read, _ = complete(RouteReader().route_steps(msgspec.Raw(orjson.dumps(route)), "routes.0"))
    assert [each.weight for each in read.services] == [1.5] * len(weights)
    weights[-1]["weight"] = "-1"
    with pytest.raises(
        ConfigurationError, match=rf"routes\.0\.weighted_backends\.{len(weights) - 1}\.weight"
    ):
        read_configuration(encoded(routes=[route]))


def test_a_long_list_of_models_that_only_the_schema_reads_is_loaded_in_parts() -> None:
    models: list[Any] = [{"name": f"m{number}"} for number in range(2 * STEP_ENTRIES)]
    service = {"name": "s", "engine": {"stride": "2", "models": models}, "max_connections": 5.0}
    read = read_configuration(encoded(routes=[], backends=[service])).services["s"]
    assert read.engine is not None
    assert (read.engine.stride, len(read.engine.models), read.max_connections) == (2, len(models), 5)
    models[-1] = {"name": 5}
    with pytest.raises(ConfigurationError, match=rf"backends\.0\.engine\.models\.{len(models) - 1}\.name"):
        read_configuration(encoded(routes=[], backends=[service]))


def test_null_fields_and_numbers_as_strings_do_not_need_the_schemas(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against gateways that read 3,000 such routes for 2.4 s, past `config_ms`."""
    content = document()
    targets = [route["target_latency_ms"] for route in content["routes"]]
    for route in content["routes"]:
        route |= {"run_aim_ms": None, "target_latency_ms": str(route["target_latency_ms"])}
        for weighted in route.get("weighted_backends", []):
            weighted["new"] = None
    for service in content["backends"]:
        service |= {"max_connections": str(service.get("max_connections", 0)), "health_check": None}
    body = orjson.dumps(content)
    with monkeypatch.context() as patch:
        patch.setattr(item_reader, "_route_decoder", NoRecords())
        patch.setattr(item_reader, "_service_decoder", NoRecords())
        expected = read_configuration(body)
    monkeypatch.delattr(item_reader, "route_schema")
    monkeypatch.delattr(item_reader, "service_schema")
    assert read_configuration(body) == expected
    assert [route.target_latency_ms for route in expected.routes] == targets


def test_a_list_that_only_the_schema_reads_is_loaded_once_for_all_routes_that_have_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    content = large_document(routes=20)
    for route in content["routes"]:
        route["weighted_backends"] = [{**each, "weight": "10"} for each in route["weighted_backends"]]
    monkeypatch.delattr(item_reader, "route_schema")
    first, *others = read_configuration(orjson.dumps(content)).routes
    assert {each.weight for each in first.services} == {10.0}
    assert all(route.services is first.services for route in others)
