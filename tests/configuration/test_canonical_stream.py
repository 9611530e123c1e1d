"""A text that is rewritten as a stream has the same canonical text as at once, and the same errors."""

import json
import tracemalloc
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pewterring.configuration import canonical_stream
from pewterring.configuration.canonical_stream import canonical_stream_steps
from pewterring.configuration.canonical_text import canonical_text
from pewterring.configuration.digest import digest_steps
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.reader import read_configuration, reading_steps
from pewterring.configuration.steps import STEP_BYTES, StepMeter, complete
from pewterring.configuration.validation import configuration_steps
from tests.configuration.documents import document

ENTRIES = 100_000
STEP_WORK = 4 * STEP_BYTES  # what one step may read at most

KEYS = st.sampled_from(['"a"', '"\\u0061"', '"b"', '"ü"', '"a,}"', '"]"', '""'])
SCALARS = st.sampled_from(["1", "-0", "1.50", "1e3", '"a"', '"\\u00e4\\""', "null", '"x,]{"', "true"])
SPACES = st.sampled_from(["", " ", "\n", "\t "])


def joined(parts: list[str], brackets: str, space: str) -> str:
    return brackets[0] + space + f"{space},{space}".join(parts) + space + brackets[1]


TEXTS = st.recursive(
    SCALARS,
    lambda inner: (
        st.tuples(st.lists(inner, max_size=5), SPACES).map(lambda each: joined(each[0], "[]", each[1]))
        | st.tuples(st.lists(st.tuples(KEYS, SPACES, inner), max_size=5), SPACES).map(
            lambda each: joined(
                [f"{key}{space}:{space}{value}" for key, space, value in each[0]], "{}", each[1]
            )
        )
    ),
    max_leaves=25,
)


def outcome(text: bytes, step_bytes: int) -> bytes | str:
    """The canonical text of the stream, or the kind of its error."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(canonical_stream, "STREAM_STEP_BYTES", step_bytes)
        try:
            return b"".join(complete(canonical_stream_steps(text, 0, StepMeter())))
        except ConfigurationError as error:
            return error.reason.split(":")[0]


def outcome_at_once(text: bytes) -> bytes | str:
    try:
        return canonical_text(text, 0)
    except ConfigurationError as error:
        return error.reason.split(":")[0]


@settings(max_examples=400, derandomize=True, database=None, deadline=None)
@given(TEXTS, st.integers(1, 40))
def test_the_stream_means_the_same_as_the_text_at_once(text: str, step_bytes: int) -> None:
    body = text.encode()
    expected = outcome_at_once(body)
    found = outcome(body, step_bytes)
    if isinstance(expected, str) and "twice" in expected:
        assert isinstance(found, str)
        assert "twice" in found  # of several keys that stand twice, either may be named
    else:
        assert found == expected


@settings(max_examples=400, derandomize=True, database=None, deadline=None)
@given(TEXTS, st.integers(1, 40), st.randoms(use_true_random=False), st.sampled_from('[]{},:" 1\\'))
def test_a_damaged_text_is_refused_as_at_once(text: str, step_bytes: int, random: Any, noise: str) -> None:
    position = random.randrange(len(text) + 1)
    damaged = (text[:position] + noise + text[position + random.randrange(2) :]).encode()
    expected, found = outcome_at_once(damaged), outcome(damaged, step_bytes)
    assert isinstance(found, str) == isinstance(expected, str)
    if isinstance(expected, bytes):
        assert found == expected


@pytest.mark.parametrize("depth", [253, 254, 255, 256])
def test_the_stream_has_the_same_limit_on_nesting(depth: int) -> None:
    body = b"[1," * depth + b"[]" + b"]" * depth
    for step_bytes in (1, 10_000):
        assert outcome(body, step_bytes) == outcome_at_once(body)


DENSE: dict[str, Any] = {
    "keys": {f"k{number}": number for number in range(ENTRIES)},
    "numbers": list(range(10)) * ENTRIES,
    "objects": [{}] * ENTRIES,
    "strings": ["a"] * ENTRIES,
}
PLACES = ["unknown", "limits", "route"]


def dense_configuration(kind: str, place: str) -> bytes:
    content = document()
    if place == "unknown":
        content["new"] = DENSE[kind]
    elif place == "limits":
        content["limits"] = {**content.get("limits", {}), "new": DENSE[kind]}
    else:
        content["routes"][0]["new"] = DENSE[kind]
    return json.dumps(content).encode()


@pytest.mark.parametrize("kind", DENSE)
@pytest.mark.parametrize("place", PLACES)
def test_many_small_values_are_read_and_hashed_in_many_steps(kind: str, place: str) -> None:
    """Guards against an object of 350,000 keys that held the leader of control for 0.5 s in one turn."""
    body = dense_configuration(kind, place)
    canonical = b"".join(complete(canonical_stream_steps(body, 0, StepMeter())))
    assert canonical == orjson.dumps(orjson.loads(body), option=orjson.OPT_SORT_KEYS)
    assert sum(1 for _ in digest_steps(body)) >= len(body) // STEP_WORK
    assert complete(configuration_steps(body)).version == read_configuration(body).version


def test_unknown_keys_of_a_configuration_and_its_limits_are_not_decoded() -> None:
    """Guards against gateways that decoded each of 350,000 unknown keys in one turn."""
    content = document()
    content["limits"] = {"max_body_bytes": 5, **DENSE["keys"]}
    body = json.dumps(content | DENSE["keys"]).encode()
    tracemalloc.start()
    configuration = complete(reading_steps(body))
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < len(body)
    assert configuration.limits.max_body_bytes == 5
