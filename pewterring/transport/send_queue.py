"""Sends long lines piece by piece, as the connection accepts them.

A transport copies what the kernel does not accept at once. With one long line for each of hundreds of
connections, the copies would exceed the memory of the process; the queue holds the line itself, which all
connections share.
"""

from collections import deque
from collections.abc import Callable

PIECE_BYTES = 256 * 1024  # a shorter line is passed on as it is, unless others wait


class SendQueue:
    """The lines of one connection that its transport has not taken yet.

    Args:
        write: Passes bytes to the transport, which may call `pause` before it returns.
    """

    def __init__(self, write: Callable[[bytes | memoryview], None]) -> None:
        self._write = write
        self._waiting: deque[memoryview] = deque()
        self._is_paused = False
        self.waiting_bytes = 0

    def send(self, line: bytes) -> None:
        """Passes a line on, or what of it the transport takes now and the rest later."""
        if not self._waiting and len(line) <= PIECE_BYTES:
            self._write(line)
            return
        self._waiting.append(memoryview(line))
        self.waiting_bytes += len(line)
        self._send_pieces()

    def pause(self) -> None:
        """Stops sending, since the transport's buffer is full."""
        self._is_paused = True

    def resume(self) -> None:
        """Sends further pieces, since the transport's buffer has room."""
        self._is_paused = False
        self._send_pieces()

    def flush(self) -> None:
        """Passes all that waits on to the transport, which is about to be closed."""
        while self._waiting:
            self._send_piece()

    def clear(self) -> None:
        """Drops all that waits."""
        self._waiting.clear()
        self.waiting_bytes = 0

    def _send_pieces(self) -> None:
        while self._waiting and not self._is_paused:
            self._send_piece()

    def _send_piece(self) -> None:
        line = self._waiting.popleft()
        piece, rest = line[:PIECE_BYTES], line[PIECE_BYTES:]
        if rest:
            self._waiting.appendleft(rest)
        self.waiting_bytes -= len(piece)
        self._write(piece)
