"""Lines of the transport that carry no message have the bytes that running clusters know."""

import pytest

from tests.golden.line_forms import FAMILY
from tests.golden.rows import Row, check_complete, check_decoding, check_encoding, ids


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_bytes_written(row: Row) -> None:
    check_encoding(FAMILY, row)


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_bytes_read(row: Row) -> None:
    check_decoding(FAMILY, row)


def test_the_file_has_these_rows() -> None:
    check_complete(FAMILY)
