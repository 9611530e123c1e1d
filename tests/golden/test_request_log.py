"""Request log records match the golden file, which `pewterring inspect requests` must be able to read."""

from tests.golden import request_log_cases as cases
from tests.golden.golden_files import read_text


def test_records_are_encoded_to_the_golden_text() -> None:
    assert cases.encoded() == read_text(cases.GOLDEN_FILE)


def test_the_golden_text_is_decoded_to_the_records() -> None:
    assert cases.decoded(read_text(cases.GOLDEN_FILE)) == cases.RECORDS
