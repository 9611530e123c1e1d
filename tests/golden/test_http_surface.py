"""HTTP requests and answers of the gateway, control, stores and the standalone gateway, byte for byte."""

from collections.abc import Callable, Mapping

import pytest

from tests.golden import gateway_http_cases as gateway
from tests.golden import http_files
from tests.golden import standalone_http_cases as standalone
from tests.golden.golden_files import read_text


@pytest.mark.parametrize("name", http_files.TRANSCRIPTS)
def test_a_conversation_is_the_golden_one(name: str) -> None:
    transcripts: Mapping[str, Callable[[], str]] = http_files.TRANSCRIPTS
    assert transcripts[name]() == read_text(name)


def test_lists_of_workers_are_read_from_the_golden_answers() -> None:
    assert standalone.discovery_calls()[1] == standalone.LISTINGS


def test_the_headers_of_prompts_and_load_are_read() -> None:
    """The worker that answered keeps the prompt; its load is the report less the own attempt, by slots."""
    (tokens, load), other = gateway.known_after_an_answer()
    assert (tokens, load) == (0, 1.0)
    assert other == (540, 0.0)
