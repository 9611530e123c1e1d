"""Which documents control accepts from an operator, and that every decoder reads accepted ones alike."""

import msgspec
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pewterring.configuration.digest import document_digest
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.reader import read_configuration
from pewterring.configuration.validation import document_errors, validate_configuration
from pewterring.control.commands import Accepted, PutConfiguration, encode_command
from pewterring.control.state import ControlState
from tests.configuration.documents import encoded, with_route


def with_field(value: bytes) -> bytes:
    """Returns a valid configuration with one additional, unknown field, whose value is raw JSON."""
    return encoded()[:-1] + b',"new":' + value + b"}"


def nested(depth: int) -> bytes:
    return b"[" * depth + b"]" * depth


def test_an_accepted_document_is_changed_only_to_be_on_a_single_line() -> None:
    body = encoded().replace(b",", b",\r\n ")
    validated = validate_configuration(body)
    assert validated.version == 7
    assert validated.document == body.replace(b"\r\n", b"  ")
    assert validated.digest == document_digest(body) == validate_configuration(validated.document).digest


@pytest.mark.parametrize(
    "body",
    [
        encoded()[:-1] + b',"version":9}',
        with_field(b'{"a":1,"a":2}'),
        with_field(b'[{"a":1,"\\u0061":1}]'),  # the same key, written with an escape
    ],
)
def test_a_duplicate_key_is_rejected(body: bytes) -> None:
    with pytest.raises(ConfigurationError, match="twice"):
        validate_configuration(body)


@pytest.mark.parametrize("depth", [300, 1000, 1022, 5000])
def test_nesting_too_deep_for_some_decoder_is_rejected(depth: int) -> None:
    with pytest.raises(ConfigurationError):
        validate_configuration(with_field(nested(depth)))


@pytest.mark.parametrize(
    "body",
    [
        with_field(b'"a\nb"'),  # a raw line break in a string is invalid JSON and must not become a space
        with_field(b'"a\rb"'),
        encoded() + b"\x0c",
        encoded() + b"\x00",
        encoded() + b" 1",
        b"\xef\xbb\xbf" + encoded(),
        with_field(b'"\xff"'),
        with_field(b'"\\ud800"'),
        with_field(b'{"\\ud800":1}'),
        with_field(b"NaN"),
        with_field(b"-Infinity"),
        with_field(b"1e400"),
        with_field(b"1" * 5000),
        with_field(b"01"),
        with_field(b"1."),
    ],
)
def test_invalid_json_is_rejected(body: bytes) -> None:
    with pytest.raises(ConfigurationError):
        validate_configuration(body)


def check_accepted_everywhere(body: bytes) -> None:
    """Passes a valid document through the log and a snapshot, and reads it like a gateway."""
    validated = validate_configuration(body)
    command = PutConfiguration(0, validated.version, validated.digest, msgspec.Raw(validated.document))
    state, restored = ControlState(), ControlState()
    assert state.apply(1, encode_command(command)) == Accepted()
    restored.restore(state.snapshot())
    assert bytes(restored.document) == validated.document
    assert orjson.loads(validated.document) == orjson.loads(body)
    assert read_configuration(validated.document).version == validated.version
    assert restored.apply(2, encode_command(command)) == Accepted(repeated=True)


@pytest.mark.parametrize(
    "value",
    [b"-0", b"1e-400", b"1E+5", b'"\\u0000"', b'"\x7f"', '"\u2028"'.encode(), b"1" * 300, nested(200), b'""'],
)
def test_unusual_json_is_accepted_and_read_back(value: bytes) -> None:
    check_accepted_everywhere(with_field(value))


@pytest.mark.parametrize("version", [1, 2**53 + 1, 2**63, 2**64 - 1])
def test_large_versions_are_accepted_and_read_back(version: int) -> None:
    check_accepted_everywhere(encoded(version=version))


def test_all_errors_of_a_document_are_reported() -> None:
    assert document_errors(encoded()) == []
    assert len(document_errors(with_route(0, timeout_ms=0, hostname=None))) == 2
    assert [str(error) for error in document_errors(with_field(b'{"a":1,"a":2}'))] == [
        "the key 'a' stands twice in one object"
    ]


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"])),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(st.characters(exclude_categories=["Cs"])), inner),
    max_leaves=12,
)


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(JSON, st.integers(0, 2000), st.binary(max_size=3))
def test_each_body_is_refused_or_accepted_completely(value: object, at: int, noise: bytes) -> None:
    body = with_field(orjson.dumps(value))
    check_accepted_everywhere(body)
    damaged = body[:at] + noise + body[at + len(noise) :]
    try:
        validate_configuration(damaged)
    except ConfigurationError:
        return
    check_accepted_everywhere(damaged)
