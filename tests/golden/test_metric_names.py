"""The names, types and labels of the metrics, and the text of a scrape, match the golden files."""

from tests.golden import metric_cases as cases
from tests.golden.golden_files import read_text


def test_names_kinds_and_labels_are_the_golden_ones() -> None:
    assert cases.names_and_labels() == read_text(cases.GOLDEN_FILE)


def test_the_text_of_a_scrape_is_the_golden_one() -> None:
    assert cases.exposed() == read_text(cases.TEXT_FILE)
