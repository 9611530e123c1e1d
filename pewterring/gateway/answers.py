"""Complete answers that a gateway gives of its own, without a worker or a store behind them."""

from dataclasses import dataclass

import orjson

from pewterring.transport.http_responder import Responder

JSON_HEADER = ("Content-Type", "application/json")
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.05, 1.0  # neither a storm of retries nor an idle client


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, headers and body of one complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def failure(status: int, reason: str, retry_after_s: float | None = None) -> Answer:
    """Returns an answer that says in JSON why a request was not served."""
    headers = [JSON_HEADER]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    return Answer(status, tuple(headers), orjson.dumps({"error": reason}))


def success(status: int, document: object) -> Answer:
    """Returns an answer with a JSON document."""
    return Answer(status, (JSON_HEADER,), orjson.dumps(document))


async def send_answer(responder: Responder, answer: Answer) -> None:
    """Sends a complete answer to the client."""
    headers = [(name.encode(), value.encode()) for name, value in answer.headers]
    await responder.respond(answer.status, headers, answer.body)


async def refuse(responder: Responder, retry_after_s: float) -> None:
    """Answers 503, which promises that the request has not run, and when the client may send it again."""
    await responder.respond(503, [(b"Retry-After", b"%.2f" % retry_after_s)])


def retry_after_s(latency_target_ms: float) -> float:
    """Returns when a refused request may come again, by a latency target; bounded on both sides."""
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, latency_target_ms / 1000))
