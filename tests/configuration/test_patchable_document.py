"""A configuration that is kept for several patches gives the same results as one that is taken apart anew."""

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import Patch, apply_patch, parse_patch, read_patch
from pewterring.configuration.patchable_document import PatchableDocument, patchable_steps
from pewterring.configuration.reader import read_configuration
from pewterring.configuration.steps import STEP_BYTES, complete
from tests.configuration.documents import encoded
from tests.configuration.large_documents import large

NAMES = st.sampled_from(["a", "b", "c", "d"])
SERVICES = st.builds(lambda name, note: {"name": name, "note": note}, NAMES, st.integers(0, 3))
WEIGHTED = st.lists(NAMES.map(lambda name: {"backend": name, "weight": 1}), min_size=1, max_size=3)
ROUTES = st.builds(
    lambda name, path, service, weighted: {
        "name": name,
        "hostname": "H.example",
        "path_prefix": path,
        "route_type": "idempotent",
        **({"backend": service} if weighted is None else {"weighted_backends": weighted}),
    },
    st.sampled_from(["r1", "r2", "r3", "r4"]),
    st.sampled_from(["/", "/x/", "/y/"]),
    NAMES,
    st.none() | WEIGHTED,
)
ITEMS = {"backends": SERVICES, "routes": ROUTES, "tenants": SERVICES}
CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "upsert": st.fixed_dictionaries(
            {}, optional={key: st.lists(items, max_size=2) for key, items in ITEMS.items()}
        ),
        "delete": st.fixed_dictionaries(
            {},
            optional={
                "backends": st.lists(NAMES, max_size=1),
                "routes": st.lists(st.sampled_from(["r1", "r2", "r5"]), max_size=2),
            },
        ),
    },
)
FIRST = orjson.dumps(
    {
        "new": {"x": 1},
        "routes": [
            {
                "name": name,
                "hostname": "h.example",
                "path_prefix": path,
                "route_type": "idempotent",
                "backend": "a",
            }
            for name, path in (("r1", "/"), ("r2", "/x/"))
        ],
        "version": 1,
        "backends": [{"name": "a"}, {"name": "b"}],
    }
)


def kept(document: bytes) -> PatchableDocument:
    return complete(patchable_steps(document))


def patch_of(version: int, changes: dict[str, Any]) -> Patch | None:
    """The patch; None if its own items do not agree."""
    try:
        return parse_patch(orjson.dumps({"version": version, **changes}))
    except ConfigurationError:
        return None


def outcome(action: Callable[[], bytes]) -> bytes | str:
    """The patched document, or the text of the error."""
    try:
        return action()
    except ConfigurationError as error:
        return str(error)


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(st.lists(CHANGES, max_size=6))
def test_patches_in_turn_give_the_same_bytes_and_errors_as_each_on_its_own(
    series: list[dict[str, Any]],
) -> None:
    document, patchable = FIRST, kept(FIRST)
    for version, changes in enumerate(series, 2):
        patch = patch_of(version, changes)
        if patch is None:
            continue
        alone = outcome(partial(apply_patch, document, patch))
        assert outcome(partial(patchable.patched, patch.version, patch.upserts, patch.deletes)) == alone
        if isinstance(alone, bytes):
            assert read_configuration(alone).version == version
            document = alone


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(st.lists(CHANGES, max_size=4))
def test_a_patch_is_accepted_if_its_result_is_valid_and_refused_otherwise(
    series: list[dict[str, Any]],
) -> None:
    content, patchable = orjson.loads(FIRST), kept(FIRST)
    for version, changes in enumerate(series, 2):
        patch = patch_of(version, changes)
        if patch is None:
            continue
        expected = patched_content(content, version, changes)
        try:
            read_configuration(orjson.dumps(expected))
        except ConfigurationError:
            with pytest.raises(ConfigurationError):
                patchable.patched(patch.version, patch.upserts, patch.deletes)
            continue
        assert orjson.loads(patchable.patched(patch.version, patch.upserts, patch.deletes)) == expected
        content = expected


def patched_content(content: dict[str, Any], version: int, changes: dict[str, Any]) -> dict[str, Any]:
    """The result by the definition of a patch."""
    patched = {**content, "version": version}
    for key in {**changes.get("upsert", {}), **changes.get("delete", {})}:
        upserts = {item["name"]: item for item in changes.get("upsert", {}).get(key, [])}
        deletes = changes.get("delete", {}).get(key, [])
        before = [item for item in patched.get(key, []) if item["name"] not in deletes]
        known = {item["name"] for item in before}
        patched[key] = [upserts.get(item["name"], item) for item in before] + [
            item for name, item in upserts.items() if name not in known
        ]
    return patched


def test_a_large_configuration_is_taken_apart_in_steps() -> None:
    assert sum(1 for _ in patchable_steps(large())) > len(large()) // STEP_BYTES // 20
    distinct = orjson.loads(large(routes=1000))
    for number, route in enumerate(distinct["routes"]):
        route["weighted_backends"] = [{**each, "weight": number + 1} for each in route["weighted_backends"]]
    assert sum(1 for _ in patchable_steps(orjson.dumps(distinct))) > 20


def test_a_list_that_is_none_refuses_every_patch_and_stays_as_it_is() -> None:
    patchable = kept(encoded(tenants=5))
    patch = read_patch(orjson.dumps({"version": 9, "upsert": {"tenants": [{"name": "a"}]}}))
    for _ in range(2):
        with pytest.raises(ConfigurationError, match="not a list"):
            patchable.patched(patch.version, patch.upserts, patch.deletes)
    other = read_patch(orjson.dumps({"version": 9, "upsert": {"backends": [{"name": "new"}]}}))
    result = patchable.patched(other.version, other.upserts, other.deletes)
    assert result == apply_patch(encoded(tenants=5), other)
    assert msgspec.json.decode(result)["tenants"] == 5
