"""HTTP traffic of gateway, control, stores and standalone gateway equals the golden files byte for byte."""

from collections.abc import Callable, Mapping

import pytest

from tests.golden import gateway_http_cases as gateway
from tests.golden import http_files
from tests.golden import standalone_http_cases as standalone
from tests.golden.golden_files import read_text


@pytest.mark.parametrize("name", http_files.TRANSCRIPTS)
def test_a_conversation_equals_its_golden_file(name: str) -> None:
    transcripts: Mapping[str, Callable[[], str]] = http_files.TRANSCRIPTS
    assert transcripts[name]() == read_text(name)


def test_worker_lists_are_parsed_from_the_golden_responses() -> None:
    assert standalone.discovery_calls()[1] == standalone.LISTINGS


def test_headers_of_prompt_and_load_are_parsed() -> None:
    """The worker that answered keeps the prompt. Its load is the report less the own attempt, per slot."""
    (tokens, load), other = gateway.known_after_an_answer()
    assert (tokens, load) == (0, 1.0)
    assert other == (540, 0.0)
