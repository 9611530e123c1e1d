"""Complete answers that a gateway generates itself instead of forwarding them from a worker."""

from dataclasses import dataclass

import orjson

from pewterring.transport.http_responder import Responder

JSON_HEADER = ("Content-Type", "application/json")
MIN_RETRY_AFTER_S = 0.05  # prevents a retry storm
MAX_RETRY_AFTER_S = 1.0  # keeps clients from waiting longer than necessary


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, headers and body of one complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def failure(status: int, reason: str, retry_after_s: float | None = None) -> Answer:
    """Returns an error answer whose JSON body gives the reason."""
    headers = [JSON_HEADER]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Answer(status, tuple(headers), orjson.dumps({"error": reason}))


def success(status: int, document: object) -> Answer:
    """Returns a success answer with `document` as its JSON body."""
    return Answer(status, (JSON_HEADER,), orjson.dumps(document))


async def send_answer(responder: Responder, answer: Answer) -> None:
    """Sends a complete answer to the client."""
    headers = [(name.encode(), value.encode()) for name, value in answer.headers]
    await responder.respond(answer.status, headers, answer.body)


async def refuse(responder: Responder, retry_after_s: float) -> None:
    """Answers 503 with Retry-After; the status guarantees that the request has not run."""
    await responder.respond(503, [(b"Retry-After", b"%.2f" % retry_after_s)])


def retry_after_s(latency_target_ms: float) -> float:
    """Returns the Retry-After value of a refused request: the latency target in seconds, clamped."""
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, latency_target_ms / 1000))
