"""What a request says of its prompt: the parts in order, and the tokens it may take."""

import zlib
from dataclasses import dataclass

PREFIX_HEADER = "prompt-prefix"
USAGE_HEADER = "token-usage"
MOST_TOKENS = 2**32 - 1  # what a hint to other gateways can carry; no worker's memory comes near


@dataclass(frozen=True, slots=True)
class Prompt:
    """Parts as (number of the id, tokens) in order; the last belongs to the request or its session."""

    parts: tuple[tuple[int, int], ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0  # at most

    @property
    def tokens(self) -> int:
        """Tokens of memory that the request may come to hold."""
        return self.prompt_tokens + self.output_tokens


NO_PROMPT = Prompt()


def read_prompt(prefix: str | None, usage: str | None) -> Prompt:
    """Reads both headers; what cannot be read counts as not given (workers judge it, not the gateway)."""
    if not prefix and not usage:
        return NO_PROMPT
    try:
        parts = tuple(_part(text) for text in (prefix or "").split(",") if text.strip())
        numbers = [_tokens(number) for number in (usage or "0,0").split(",")]
        prompt_tokens = numbers[0] or _bounded(sum(tokens for _, tokens in parts))
    except ValueError:
        return NO_PROMPT
    output_tokens = numbers[1] if len(numbers) > 1 else 0
    return Prompt(parts, prompt_tokens, output_tokens)


def _part(text: str) -> tuple[int, int]:
    name, _, tokens = text.strip().partition(":")
    return zlib.crc32(name.encode()), _tokens(tokens)


def _tokens(text: str) -> int:
    return _bounded(int(text))


def _bounded(tokens: int) -> int:
    if not 0 <= tokens <= MOST_TOKENS:
        raise ValueError(f"{tokens} is no number of tokens")
    return tokens
