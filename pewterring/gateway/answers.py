"""Whole answers that a gateway gives of its own."""

from dataclasses import dataclass

import orjson

JSON = ("Content-Type", "application/json")


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, headers and body of one whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def failure(status: int, reason: str, retry_after_s: float | None = None) -> Answer:
    """An answer that says in JSON why a request was not served."""
    headers = [JSON]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Answer(status, tuple(headers), orjson.dumps({"error": reason}))


def success(status: int, document: object) -> Answer:
    """An answer with a JSON document."""
    return Answer(status, (JSON,), orjson.dumps(document))
