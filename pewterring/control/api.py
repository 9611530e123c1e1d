"""The HTTP API of control as an ASGI application."""

from collections.abc import Awaitable, Callable
from typing import Any

from pewterring.control.calls import Answer, Call, refusal

MAX_BODY_BYTES = 8 * 1024 * 1024
BASE_VERSION = b"base-version"

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]


class BodyTooLarge(Exception):
    """The body of a call is larger than `MAX_BODY_BYTES`."""


class CallCutShort(Exception):
    """The caller went away before its body had come."""


class ControlApi:
    """Reads calls and writes answers; what is answered is for `answer` to say."""

    def __init__(self, answer: Callable[[Call], Awaitable[Answer]]) -> None:
        self._answer = answer

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """The ASGI entry point."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await self._http(scope, receive, send)

    async def _http(self, scope: Any, receive: Receive, send: Send) -> None:
        try:
            body = await _read_body(receive)
        except BodyTooLarge:
            await _write(send, refusal(413, f"the body is larger than {MAX_BODY_BYTES} bytes"))
            return
        except CallCutShort:
            return
        call = Call(
            method=scope["method"],
            path=scope["path"],
            base_version=_header(scope["headers"], BASE_VERSION),
            body=body,
        )
        await _write(send, await self._answer(call))


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Receive) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallCutShort
        part = message.get("body", b"")
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise BodyTooLarge
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def _write(send: Send, answer: Answer) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(answer.body)),
    ]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body, "more_body": False})


def _header(headers: Any, name: bytes) -> str:
    for each, value in headers:
        if bytes(each).lower() == name:
            return bytes(value).decode("latin-1").strip()
    return ""
