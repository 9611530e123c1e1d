"""Transcripts of HTTP conversations as text, and a worker on loopback that records what it is sent."""

import asyncio
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import TracebackType
from typing import Self

from pewterring.transport.http_request import RequestReader, ServerLimits

IP = "127.0.0.1"
LIMITS = ServerLimits(65536, 4194304, 60.0, 600.0)
READ_BYTES = 65536
# What differs from run to run or is a choice among equals, and what stands for it.
MASKS = (
    (re.compile(r"^(Target-Instance: w)\d+", re.MULTILINE), r"\1N"),
    (re.compile(r"^(x-deadline-ms: )\d+", re.MULTILINE), r"\1N"),
    (re.compile(r"^(HTTP/1.1 413) .*", re.MULTILINE), r"\1 PHRASE\\r"),  # Python 3.13 has another phrase
    (re.compile(r"127\.0\.0\.1:\d+"), "IP:PORT"),
)


@dataclass
class Transcript:
    """Who sent what, in order. A carriage return is written as a backslash and an r."""

    parts: list[str] = field(default_factory=list)

    def add(self, title: str, data: bytes) -> None:
        """Notes bytes that one side sent."""
        text = data.decode("latin-1").replace("\r", "\\r")
        for pattern, stand_in in MASKS:
            text = pattern.sub(stand_in, text)
        self.parts.append(f"=== {title}\n{text}{'' if text.endswith(chr(10)) else chr(10)}")

    def text(self) -> str:
        """The whole conversation."""
        return "".join(self.parts)


class RecordingWorker:
    """Answers each connection with the next of the given answers, then closes it; keeps what it was sent."""

    def __init__(self, transcript: Transcript, answers: Sequence[bytes]) -> None:
        self._transcript = transcript
        self._answers = list(answers)
        self._servers: list[asyncio.Server] = []

    async def listen(self) -> int:
        """Opens one more port; all ports share the answers."""
        server = await asyncio.start_server(self._serve, IP, 0)
        self._servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, data, request = RequestReader(LIMITS, 0.0), b"", None
        while request is None:
            read = await reader.read(READ_BYTES)
            if not read:
                writer.close()
                return
            data += read
            request = parser.feed(read)
        answer = self._answers.pop(0) if self._answers else b""  # which the transcript then shows
        self._transcript.add("request at the worker", data)
        self._transcript.add("answer of the worker", answer)
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for server in self._servers:
            server.close()


async def ask(transcript: Transcript, port: int, request: bytes) -> None:
    """Sends a request that asks for the connection's close, and notes the whole answer."""
    transcript.add("request", request)
    reader, writer = await asyncio.open_connection(IP, port)
    writer.write(request)
    answer = await reader.read()
    transcript.add("answer", answer)
    writer.close()
