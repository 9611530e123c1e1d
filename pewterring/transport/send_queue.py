"""Sends long lines piece by piece, as the connection accepts them, one piece in a turn of the event loop.

A transport passes what it can to the kernel at once, which may be megabytes, and copies the rest. With one
long line for each of hundreds of connections this would take the event loop's time for longer than a lease,
and more than the memory of the process; the queue holds the line itself, which all connections share.
"""

from collections import deque
from collections.abc import Callable

LONG_LINE_BYTES = 256 * 1024  # a line up to this length is passed on as it is, unless others wait
PIECE_BYTES = 64 * 1024  # some 50 us of a turn, which hundreds of connections may share


class SendQueue:
    """The lines of one connection that its transport has not taken yet.

    Args:
        write: Passes bytes to the transport, which may call `pause` before it returns.
        call_soon: Has a function called in the next turn of the event loop.
    """

    def __init__(
        self,
        write: Callable[[bytes | memoryview], None],
        call_soon: Callable[[Callable[[], None]], object],
    ) -> None:
        self._write = write
        self._call_soon = call_soon
        self._waiting: deque[memoryview] = deque()
        self._is_paused = False
        self._is_turn_due = False
        self.waiting_bytes = 0

    @property
    def backlog_bytes(self) -> int:
        """Bytes of the lines that wait behind the first, which is being sent."""
        return self.waiting_bytes - len(self._waiting[0]) if self._waiting else 0

    def send(self, line: bytes) -> None:
        """Passes a line on, or its first piece and the others in later turns."""
        if not self._waiting and len(line) <= LONG_LINE_BYTES:
            self._write(line)
            return
        self._waiting.append(memoryview(line))
        self.waiting_bytes += len(line)
        self._send_next()

    def pause(self) -> None:
        """Stops sending, since the transport's buffer is full."""
        self._is_paused = True

    def resume(self) -> None:
        """Sends further pieces, since the transport's buffer has room."""
        self._is_paused = False
        self._send_next()

    def flush(self) -> None:
        """Passes all that waits on to the transport, which is about to be closed."""
        while self._waiting:
            self._send_piece()

    def clear(self) -> None:
        """Drops all that waits."""
        self._waiting.clear()
        self.waiting_bytes = 0

    def _send_next(self) -> None:
        """Sends a piece, and the next one in the next turn."""
        if not self._waiting or self._is_paused or self._is_turn_due:
            return
        self._send_piece()
        if self._waiting:
            self._is_turn_due = True
            self._call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_turn_due = False
        self._send_next()

    def _send_piece(self) -> None:
        line = self._waiting.popleft()
        piece, rest = line[:PIECE_BYTES], line[PIECE_BYTES:]
        if rest:
            self._waiting.appendleft(rest)
        self.waiting_bytes -= len(piece)
        self._write(piece)
