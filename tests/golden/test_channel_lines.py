"""Greetings and envelopes of lines between processes: encoded to and decoded from the golden lines."""

import pytest

from pewterring.transport.line_errors import ForeignPeerError
from tests.golden import line_cases as cases
from tests.golden.golden_files import read_text

GOLDEN = read_text(cases.GOLDEN_FILE).encode().splitlines(keepends=True)
GREETINGS, LINES = GOLDEN[:2], GOLDEN[2:]


def test_lines_are_encoded_as_the_golden_lines() -> None:
    assert cases.written().encode() == b"".join(GOLDEN)


@pytest.mark.parametrize(("cluster", "greeting"), list(zip(("", "blue"), GREETINGS, strict=True)))
def test_the_golden_greeting_is_accepted_only_from_the_same_cluster(cluster: str, greeting: bytes) -> None:
    cases.codec(cluster).check_greeting(greeting)
    with pytest.raises(ForeignPeerError):
        cases.codec("other").check_greeting(greeting)


@pytest.mark.parametrize("number", range(len(cases.ENVELOPES)))
def test_the_golden_lines_are_decoded_to_the_envelopes(number: int) -> None:
    codec, expected = cases.codec(""), cases.ENVELOPES[number]
    envelope = codec.decode_line(LINES[number])
    assert (envelope.id, envelope.reply_to, envelope.is_failure) == (
        expected.id,
        expected.reply_to,
        expected.is_failure,
    )
    assert envelope.is_failure or codec.decode(envelope.body) == cases.NOTE
