"""Hints between gateways of long prompts and of unexpected waits.

One kind says which worker has just been given a long prompt to read, and of which parts; the other at which
worker requests wait for longer than all that was known of it explains.

A worker reads prompts in the order they came, so a request behind a long one waits; and the parts that it has
read need not be read by another. Both show to other gateways only too late. Symptoms answered: first events
late behind prompts that other gateways sent; the same shared parts read at several workers.
"""

import struct
import zlib
from dataclasses import dataclass

from pewterring.routing.prompt import Prompt
from pewterring.transport.datagrams import IP_UDP_BYTES

MAGIC = b"PH1"
HEAD = struct.Struct(">3sBII")  # magic, number of parts, worker, tokens to read
PART = struct.Struct(">II")  # number of the part, tokens
MOST_PARTS = 16
WAIT_MAGIC = b"WW1"
WAIT = struct.Struct(">3sII")  # magic, worker, milliseconds
MOST_WAIT_S = 2.0  # that a hint may tell of
BYTES_A_SECOND = 3000.0  # that one process may spend on hints
BURST_S = 2.0  # unspent bytes are kept for so long


def worker_number(worker_id: str) -> int:
    """What a worker is called in hints."""
    return zlib.crc32(worker_id.encode())


@dataclass(frozen=True, slots=True)
class PromptHint:
    """A worker was given a prompt and must read `tokens` of it; `parts` are those that others may share."""

    worker: int
    tokens: int
    parts: tuple[tuple[int, int], ...]


def hint_of(worker_id: str, tokens: int, prompt: Prompt) -> PromptHint:
    """The hint that tells of a prompt. The last part belongs to the request and is left out."""
    return PromptHint(worker_number(worker_id), tokens, prompt.parts[:-1][:MOST_PARTS])


def write_hint(hint: PromptHint) -> bytes:
    """One datagram."""
    parts = [PART.pack(*part) for part in hint.parts]
    return HEAD.pack(MAGIC, len(parts), hint.worker, hint.tokens) + b"".join(parts)


def read_hint(data: bytes) -> PromptHint | None:
    """None where the bytes are no hint."""
    if len(data) < HEAD.size:
        return None
    magic, count, worker, tokens = HEAD.unpack_from(data)
    if magic != MAGIC or len(data) != HEAD.size + count * PART.size:
        return None
    starts = range(HEAD.size, len(data), PART.size)
    return PromptHint(worker, tokens, tuple(PART.unpack_from(data, start) for start in starts))


@dataclass(frozen=True, slots=True)
class WaitHint:
    """A request has waited at a worker for so much longer than it should; the next one may as well."""

    worker: int
    seconds: float


def write_wait_hint(hint: WaitHint) -> bytes:
    """One datagram."""
    return WAIT.pack(WAIT_MAGIC, hint.worker, int(1000 * min(MOST_WAIT_S, hint.seconds)))


def read_wait_hint(data: bytes) -> WaitHint | None:
    """None where the bytes are no such hint."""
    if len(data) != WAIT.size or not data.startswith(WAIT_MAGIC):
        return None
    _, worker, milliseconds = WAIT.unpack(data)
    return WaitHint(worker, min(MOST_WAIT_S, milliseconds / 1000))


class HintBudget:
    """Bounds the bytes spent on hints; in a large fleet only as many peers are told as fit."""

    def __init__(self, now: float) -> None:
        self._left = BYTES_A_SECOND * BURST_S
        self._at = now

    def take(self, now: float, data_bytes: int, peers: int) -> int:
        """How many of the peers may be told now."""
        most = BYTES_A_SECOND * BURST_S
        self._left = min(most, self._left + (now - self._at) * BYTES_A_SECOND)
        self._at = now
        each = data_bytes + IP_UDP_BYTES
        told = min(peers, int(self._left / each))
        self._left -= told * each
        return told
