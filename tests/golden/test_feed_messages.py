"""Messages of the table feed and between control machines keep the encoding that running clusters use."""

import pytest

from tests.golden.feed_messages import FAMILY
from tests.golden.rows import Row, check_complete, check_decoding, check_encoding, check_tags, ids


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_messages_are_encoded_to_the_golden_bytes(row: Row) -> None:
    check_encoding(FAMILY, row)


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_golden_bytes_are_decoded_to_the_messages(row: Row) -> None:
    check_decoding(FAMILY, row)


def test_each_message_type_has_rows() -> None:
    check_complete(FAMILY)
    check_tags(FAMILY, FAMILY.types)
