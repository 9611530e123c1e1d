"""Batch submissions: reading and checking the items of a job before a store is asked to take it."""

import binascii
import re

import msgspec

from pewterring.batch.messages import ItemSpec
from pewterring.gateway.errors import InvalidSubmissionError

MAX_ITEMS = 200
MAX_ID_BYTES = 200

_PATH = re.compile(r"/[!-~]*")
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
_FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")  # RFC 9110, 5.5: also obsolete text


class _Submission(msgspec.Struct):
    requests: list[ItemSpec]


def read_submission(body: bytes) -> tuple[ItemSpec, ...]:
    """Reads and checks the items of a job.

    Raises:
        InvalidSubmissionError: The body cannot be read, or an item cannot be used.
    """
    try:
        items = msgspec.json.decode(body, type=_Submission).requests
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidSubmissionError(f"the submission cannot be read: {error}") from error
    if len(items) > MAX_ITEMS:
        raise InvalidSubmissionError(f"{len(items)} items, {MAX_ITEMS} at most")
    seen: set[str] = set()
    for item in items:
        fault = _fault(item, seen)
        if fault is not None:
            raise InvalidSubmissionError(f"item {item.id!r}{fault}")
        seen.add(item.id)
    return tuple(items)


def _fault(item: ItemSpec, seen: set[str]) -> str | None:
    """Returns what is wrong with an item, if anything is."""
    if not item.id or len(item.id) > MAX_ID_BYTES:
        return ": its id is empty or too long"
    if item.id in seen:
        return " is there twice"
    unsendable = _unsendable(item)
    if unsendable is not None:
        return f": {unsendable}"
    if item.tokens < 0:
        return ": tokens are negative"
    try:
        binascii.a2b_base64(item.body, strict_mode=True)
    except (binascii.Error, ValueError) as error:
        return f": its body is no base64: {error}"
    return None


def _unsendable(item: ItemSpec) -> str | None:
    """Returns why an item cannot go out as the HTTP request that it asks for, if so.

    Symptom answered: a line end in a path or header is a second request inside the first at a worker, and
    what has no bytes in HTTP would be attempted in vain until the item may be given up.
    """
    if not _FIELD_VALUE.fullmatch(item.id):
        return "its id cannot be sent as a header"
    if not _PATH.fullmatch(item.path):
        return "its path is no path of a request"
    for name, value in item.headers.items():
        if not _FIELD_NAME.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            return f"its header {name!r} cannot be sent"
    return None
