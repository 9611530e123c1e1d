"""Computes the digest of a configuration document and rewrites the document to a single line.

The digest is stored in the replicated log. If its computation changed, a repeated request would look new.
"""

import hashlib

import orjson

DIGEST_CHARACTERS = 32  # 128 bits in hexadecimal: accidental collisions are negligible


def document_digest(document: bytes) -> str:
    """Returns the digest of a JSON document's content, independent of key order and whitespace.

    Raises:
        orjson.JSONDecodeError: The document is not JSON.
        orjson.JSONEncodeError: The document is nested more deeply than the encoder supports.
    """
    canonical = orjson.dumps(orjson.loads(document), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()[:DIGEST_CHARACTERS]


def single_line(document: bytes) -> bytes:
    """Replaces line breaks by spaces. Valid JSON has raw line breaks only between tokens."""
    return document.replace(b"\r", b" ").replace(b"\n", b" ").strip()
