"""The digest of a configuration document and its form on a single line."""

from pewterring.configuration.digest import document_digest, single_line
from tests.configuration.documents import encoded


def test_the_digest_depends_on_the_content_but_not_on_whitespace() -> None:
    pretty = encoded().replace(b",", b",\r\n  ")
    assert b"\n" not in single_line(pretty)
    assert document_digest(single_line(pretty)) == document_digest(encoded())
    assert document_digest(encoded(version=8)) != document_digest(encoded())
