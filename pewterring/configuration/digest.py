"""Identifies a document by its content, and writes it on a single line for the log.

The digest goes into the replicated log: another way to compute it would make a repeated request look new.
"""

import hashlib

import orjson

DIGEST_CHARACTERS = 32  # 128 bits as hexadecimal digits: no two documents of a cluster share one by chance


def document_digest(document: bytes) -> str:
    """The digest of a JSON document's content; the order of keys and blanks between tokens do not count.

    Raises:
        orjson.JSONDecodeError: The document is not JSON.
        orjson.JSONEncodeError: It is nested more deeply than the encoder goes.
    """
    canonical = orjson.dumps(orjson.loads(document), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()[:DIGEST_CHARACTERS]


def single_line(document: bytes) -> bytes:
    """The JSON document without line ends. In JSON these stand only between tokens."""
    return document.replace(b"\r", b" ").replace(b"\n", b" ").strip()
