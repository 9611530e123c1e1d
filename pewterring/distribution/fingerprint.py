"""Names a large configuration by a hash of its bytes, so that a node can say which one it has."""

import hashlib

import msgspec

from pewterring.configuration.steps import is_large

NO_FINGERPRINT = ""  # of documents that are sent in less time than it takes to compare them
FINGERPRINT_CHARACTERS = 32  # 128 bits in hexadecimal: accidental collisions are negligible


class FingerprintCache:
    """Computes the fingerprint of the newest document once."""

    def __init__(self) -> None:
        self._document: bytes | msgspec.Raw = b""
        self._fingerprint = NO_FINGERPRINT

    def of(self, document: bytes | msgspec.Raw) -> str:
        """Returns the fingerprint of a document; `NO_FINGERPRINT` for a small one."""
        if document is not self._document:
            self._document, self._fingerprint = document, fingerprint_of(bytes(document))
        return self._fingerprint


def fingerprint_of(document: bytes) -> str:
    """Returns the fingerprint of a document; `NO_FINGERPRINT` for a small one."""
    if not is_large(document):
        return NO_FINGERPRINT
    return hashlib.sha256(document).hexdigest()[:FINGERPRINT_CHARACTERS]
