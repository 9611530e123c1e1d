"""Golden cases of lines without a message: the greeting and the reply that reports a failed handler."""

from pewterring.control.program import MESSAGES
from pewterring.transport.line_codec import Envelope
from pewterring.transport.lines import MessageCodec
from tests.golden.rows import Family, Row

CODEC = MessageCodec(MESSAGES, "cluster-1")


def _checked_greeting(line: bytes) -> str:
    """Raises an error unless the line is a greeting of this cluster."""
    CODEC.check_greeting(line)
    return "accepted"


FAMILY = Family(
    "line_forms.txt",
    (
        Row("greeting", "accepted", lambda: CODEC.greeting, _checked_greeting, ends_line=True),
        Row(
            "failure", Envelope(reply_to=3), lambda: CODEC.failure_line(3), CODEC.decode_line, ends_line=True
        ),
    ),
)
