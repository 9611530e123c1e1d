"""Hints that gateways send each other about long prompts and about unexpected waits at workers.

A prompt hint announces that a worker was sent a long prompt, and which blocks of it other prompts may share.
A wait hint announces that requests at a worker wait longer than the known prompts explain.

A worker does the prefill of prompts in order of arrival, so a request behind a long prompt waits. Blocks that
it has cached need no prefill at another worker. Other gateways would notice both too late: first events came
late behind prompts that other gateways had sent, and several workers did the prefill of the same blocks.
"""

import struct
import zlib
from dataclasses import dataclass

from pewterring.routing.prompt import Prompt
from pewterring.transport.datagrams import IP_UDP_BYTES

MAGIC = b"PH1"
HEAD = struct.Struct(">3sBII")  # magic, number of blocks, worker number, tokens of the prefill
BLOCK = struct.Struct(">II")  # checksum of the block's id, tokens
MAX_BLOCKS = 16
WAIT_MAGIC = b"WW1"
WAIT = struct.Struct(">3sII")  # magic, worker number, milliseconds
MAX_WAIT_S = 2.0  # longer waits are announced and taken as this
BYTES_PER_S = 3000.0  # budget of one process for each kind of hint
BURST_S = 2.0  # the budget of this many seconds may be saved up


def worker_number(worker_id: str) -> int:
    """Returns the number that identifies a worker in hints: a checksum of its id."""
    return zlib.crc32(worker_id.encode())


@dataclass(frozen=True, slots=True)
class PromptHint:
    """Says that a worker was sent a prompt, with a prefill of `tokens`, and which blocks others may share."""

    worker: int
    tokens: int
    blocks: tuple[tuple[int, int], ...]


def make_hint(worker_id: str, tokens: int, prompt: Prompt) -> PromptHint:
    """Builds the hint for a prompt, without its last block, which belongs to the request alone."""
    return PromptHint(worker_number(worker_id), tokens, prompt.blocks[:-1][:MAX_BLOCKS])


def write_hint(hint: PromptHint) -> bytes:
    """Encodes a prompt hint as one datagram."""
    blocks = [BLOCK.pack(*block) for block in hint.blocks]
    return HEAD.pack(MAGIC, len(blocks), hint.worker, hint.tokens) + b"".join(blocks)


def read_hint(data: bytes) -> PromptHint | None:
    """Decodes a datagram; None if it is not a valid prompt hint."""
    if len(data) < HEAD.size:
        return None
    magic, count, worker, tokens = HEAD.unpack_from(data)
    if magic != MAGIC or len(data) != HEAD.size + count * BLOCK.size:
        return None
    offsets = range(HEAD.size, len(data), BLOCK.size)
    return PromptHint(worker, tokens, tuple(BLOCK.unpack_from(data, offset) for offset in offsets))


@dataclass(frozen=True, slots=True)
class WaitHint:
    """Says that a request waited `seconds` longer at a worker than expected, as the next one may too."""

    worker: int
    seconds: float


def write_wait_hint(hint: WaitHint) -> bytes:
    """Encodes a wait hint as one datagram."""
    return WAIT.pack(WAIT_MAGIC, hint.worker, int(1000 * min(MAX_WAIT_S, hint.seconds)))


def read_wait_hint(data: bytes) -> WaitHint | None:
    """Decodes a datagram; None if it is not a valid wait hint."""
    if len(data) != WAIT.size or not data.startswith(WAIT_MAGIC):
        return None
    _, worker, milliseconds = WAIT.unpack(data)
    return WaitHint(worker, min(MAX_WAIT_S, milliseconds / 1000))


class HintBudget:
    """Token bucket for the bytes of hints. In a large fleet a hint is sent to as many peers as it allows."""

    def __init__(self, now: float) -> None:
        self._available_bytes = BYTES_PER_S * BURST_S
        self._refilled_at = now

    def take(self, now: float, data_bytes: int, peers: int) -> int:
        """Spends the bytes of one hint to up to `peers` peers, and returns how many may receive it now."""
        capacity = BYTES_PER_S * BURST_S
        self._available_bytes = min(capacity, self._available_bytes + (now - self._refilled_at) * BYTES_PER_S)
        self._refilled_at = now
        datagram_bytes = data_bytes + IP_UDP_BYTES
        receivers = min(peers, int(self._available_bytes / datagram_bytes))
        self._available_bytes -= receivers * datagram_bytes
        return receivers
