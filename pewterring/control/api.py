"""The HTTP API of control: calls from requests, and answers as JSON."""

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from pewterring.control.calls import Answer, Call
from pewterring.transport.http_request import ServerRequest
from pewterring.transport.http_responder import Responder

BASE_VERSION = b"base-version"
JSON = (b"Content-Type", b"application/json")


class ControlApi:
    """Reads calls and writes answers; what is answered is for `answer` to say."""

    def __init__(self, answer: Callable[[Call], Awaitable[Answer]]) -> None:
        self._answer = answer

    async def __call__(self, request: ServerRequest, responder: Responder) -> None:
        """Answers one request that was read whole."""
        answer = await self._answer(read_call(request))
        await responder.respond(answer.status, [JSON], answer.body)


def read_call(request: ServerRequest) -> Call:
    """The call that a request makes."""
    return Call(
        method=request.method,
        path=unquote(request.target.partition("?")[0]),
        base_version=(request.get(BASE_VERSION) or b"").decode("latin-1").strip(),
        body=request.body,
    )
