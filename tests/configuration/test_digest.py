"""What identifies a document, and its form on a single line."""

from pewterring.configuration.digest import document_digest, single_line
from tests.configuration.documents import encoded


def test_a_digest_is_of_what_the_document_says() -> None:
    pretty = encoded().replace(b",", b",\r\n  ")
    assert b"\n" not in single_line(pretty)
    assert document_digest(single_line(pretty)) == document_digest(encoded())
    assert document_digest(encoded(version=8)) != document_digest(encoded())
