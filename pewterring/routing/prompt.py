"""The description of a prompt in a request's headers: its blocks in order, and its number of tokens."""

import zlib
from dataclasses import dataclass

PREFIX_HEADER = "prompt-prefix"
USAGE_HEADER = "token-usage"
MAX_TOKENS = 2**32 - 1  # the largest number that fits in a hint; workers' memories are far smaller


@dataclass(frozen=True, slots=True)
class Prompt:
    """The blocks of a prompt in order, each as (checksum of its id, tokens), and the numbers of tokens.

    The last block belongs to the request or its session alone; those before it may be shared with others.
    """

    blocks: tuple[tuple[int, int], ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0  # upper bound

    @property
    def tokens(self) -> int:
        """The most tokens that the request may occupy in the worker's memory."""
        return self.prompt_tokens + self.output_tokens


NO_PROMPT = Prompt()


def read_prompt(prefix: str | None, usage: str | None) -> Prompt:
    """Parses both headers. Malformed values count as missing: workers validate them, not the gateway."""
    if not prefix and not usage:
        return NO_PROMPT
    try:
        parts = tuple(_parse_block(text) for text in (prefix or "").split(",") if text.strip())
        numbers = [_parse_tokens(number) for number in (usage or "0,0").split(",")]
        prompt_tokens = numbers[0] or _checked(sum(tokens for _, tokens in parts))
    except ValueError:
        return NO_PROMPT
    output_tokens = numbers[1] if len(numbers) > 1 else 0
    return Prompt(parts, prompt_tokens, output_tokens)


def _parse_block(text: str) -> tuple[int, int]:
    block_id, _, tokens = text.strip().partition(":")
    return zlib.crc32(block_id.encode()), _parse_tokens(tokens)


def _parse_tokens(text: str) -> int:
    return _checked(int(text))


def _checked(tokens: int) -> int:
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f"{tokens} is not a valid number of tokens")
    return tokens
