"""Messages between members of a replicated group have the same bytes as in running clusters."""

import pytest

from tests.golden.member_messages import FAMILY
from tests.golden.rows import Row, check_complete, check_decoding, check_encoding, check_tags, ids


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_bytes_written(row: Row) -> None:
    check_encoding(FAMILY, row)


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_bytes_read(row: Row) -> None:
    check_decoding(FAMILY, row)


def test_each_type_has_rows() -> None:
    check_complete(FAMILY)
    check_tags(FAMILY, FAMILY.types)
