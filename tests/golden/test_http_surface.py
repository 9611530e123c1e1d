"""HTTP requests and answers of the gateway, control, stores and the standalone gateway, byte for byte."""

from collections.abc import Callable, Mapping

import pytest

from tests.golden import http_files
from tests.golden import standalone_http_cases as standalone
from tests.golden.golden_files import read_text


@pytest.mark.parametrize("name", http_files.TRANSCRIPTS)
def test_a_conversation_is_the_golden_one(name: str) -> None:
    transcripts: Mapping[str, Callable[[], str]] = http_files.TRANSCRIPTS
    assert transcripts[name]() == read_text(name)


def test_lists_of_workers_are_read_from_the_golden_answers() -> None:
    assert standalone.discovery_calls()[1] == standalone.LISTINGS
