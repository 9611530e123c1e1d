"""Batch submissions: parsing and validation of the items of a job before it is sent to a store."""

import binascii
import re

import msgspec

from pewterring.batch.messages import ItemSpec
from pewterring.gateway.errors import InvalidSubmissionError

MAX_ITEMS = 200
MAX_ID_BYTES = 200

_PATH = re.compile(r"/[!-~]*")
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
_FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")  # RFC 9110, 5.5: including obs-text


class _Submission(msgspec.Struct):
    requests: list[ItemSpec]


def read_submission(body: bytes) -> tuple[ItemSpec, ...]:
    """Parses and validates the items of a job.

    Raises:
        InvalidSubmissionError: The body cannot be parsed, or an item is invalid.
    """
    try:
        items = msgspec.json.decode(body, type=_Submission).requests
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidSubmissionError(f"the submission cannot be read: {error}") from error
    if len(items) > MAX_ITEMS:
        raise InvalidSubmissionError(f"{len(items)} items, {MAX_ITEMS} at most")
    seen_ids: set[str] = set()
    for item in items:
        problem = _find_problem(item, seen_ids)
        if problem is not None:
            raise InvalidSubmissionError(f"item {item.id!r}{problem}")
        seen_ids.add(item.id)
    return tuple(items)


def _find_problem(item: ItemSpec, seen_ids: set[str]) -> str | None:
    """Returns why an item is invalid, or None if it is valid."""
    if not item.id or len(item.id) > MAX_ID_BYTES:
        return ": its id is empty or too long"
    if item.id in seen_ids:
        return " is there twice"
    http_problem = _find_http_problem(item)
    if http_problem is not None:
        return f": {http_problem}"
    if item.tokens < 0:
        return ": tokens are negative"
    try:
        binascii.a2b_base64(item.body, strict_mode=True)
    except (binascii.Error, ValueError) as error:
        return f": its body is no base64: {error}"
    return None


def _find_http_problem(item: ItemSpec) -> str | None:
    """Returns why an item cannot be sent to a worker as an HTTP request, or None if it can.

    A line break in a path or header would smuggle a second request to the worker. Text that HTTP cannot
    encode would fail in every attempt until the item is given up.
    """
    if not _FIELD_VALUE.fullmatch(item.id):
        return "its id cannot be sent as a header"
    if not _PATH.fullmatch(item.path):
        return "its path is no path of a request"
    for name, value in item.headers.items():
        if not _FIELD_NAME.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            return f"its header {name!r} cannot be sent"
    return None
