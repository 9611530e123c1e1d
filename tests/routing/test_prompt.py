"""Parsing of the headers that describe a prompt."""

import pytest

from pewterring.routing.prompt import MAX_TOKENS, NO_PROMPT, read_prompt
from pewterring.routing.prompt_hints import make_hint, read_hint, write_hint


def test_blocks_are_parsed_in_order_with_their_tokens() -> None:
    prompt = read_prompt("5c1e07a2:800, 91bd3f06:410,e4402b7d:250", "1460,80")
    assert [tokens for _, tokens in prompt.blocks] == [800, 410, 250]
    assert (prompt.prompt_tokens, prompt.output_tokens, prompt.tokens) == (1460, 80, 1540)


@pytest.mark.parametrize(
    ("prefix", "usage"),
    [
        ("aa:x", "5,5"),
        ("aa", "5,5"),
        ("aa:1", "x"),
        ("aa:-1", "5,5"),
        ("aa:1", "-5,5"),
        (f"aa:{MAX_TOKENS + 1}", "5,5"),
        (f"aa:{MAX_TOKENS},bb:{MAX_TOKENS}", None),
        ("aa:1", "9" * 400),
        ("aa:1", "9" * 5000),
        (None, None),
    ],
)
def test_malformed_headers_count_as_missing(prefix: str | None, usage: str | None) -> None:
    assert read_prompt(prefix, usage) == NO_PROMPT


def test_the_largest_prompt_fits_in_a_hint() -> None:
    hint = make_hint("w", MAX_TOKENS, read_prompt(f"aa:{MAX_TOKENS},bb:0", f"{MAX_TOKENS},1"))
    assert read_hint(write_hint(hint)) == hint
