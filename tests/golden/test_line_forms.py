"""Lines without a message keep the bytes that running clusters use."""

import pytest

from tests.golden.line_forms import FAMILY
from tests.golden.rows import Row, check_complete, check_decoding, check_encoding, ids


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_encoding_gives_the_golden_bytes(row: Row) -> None:
    check_encoding(FAMILY, row)


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_golden_bytes_are_decoded(row: Row) -> None:
    check_decoding(FAMILY, row)


def test_the_golden_file_has_exactly_these_rows() -> None:
    check_complete(FAMILY)
