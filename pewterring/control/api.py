"""The HTTP API of control: converts HTTP requests into calls and answers into HTTP responses.

`calls.py` defines the calls; `relay.py` and `service.py` answer them.
"""

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from pewterring.control.calls import Answer, Call
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder

BASE_VERSION_HEADER = b"base-version"
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
RETRY_AFTER = (b"Retry-After", b"1")  # seconds; elections and large documents take less


class ControlApi:
    """The request handler of control's HTTP server; `answer` computes the answer to each call."""

    def __init__(self, answer: Callable[[Call], Awaitable[Answer]]) -> None:
        self._answer = answer

    async def __call__(self, request: ServerRequest, responder: Responder) -> None:
        """Answers one request, which has been read completely."""
        answer = await self._answer(read_call(request))
        headers = [JSON_CONTENT_TYPE, RETRY_AFTER] if answer.status == 503 else [JSON_CONTENT_TYPE]
        await responder.respond(answer.status, headers, answer.body)


def read_call(request: ServerRequest) -> Call:
    """Returns the call that a request makes."""
    return Call(
        method=request.method,
        path=unquote(request.target.partition("?")[0]),
        base_version=(request.get(BASE_VERSION_HEADER) or b"").decode("latin-1").strip(),
        body=request.body,
    )
