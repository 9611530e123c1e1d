"""`EntryTerms`: which entries a log contains, by index and term."""

from pewterring.storage.entry_terms import EntryTerms
from tests.storage.model import entry


def terms_of_entries_3_to_6() -> EntryTerms:
    """Returns the terms 1, 1, 4, 4 of entries after a snapshot at index 2 of term 1."""
    terms = EntryTerms(2, 1)
    for index, term in ((3, 1), (4, 1), (5, 4), (6, 4)):
        terms.append(entry(index, term))
    return terms


def contained_entries(terms: EntryTerms) -> list[tuple[int, int]]:
    return [(index, term) for index in range(9) for term in range(6) if terms.contains(index, term)]


def test_each_entry_has_its_term() -> None:
    assert contained_entries(terms_of_entries_3_to_6()) == [(2, 1), (3, 1), (4, 1), (5, 4), (6, 4)]


def test_truncated_entries_are_forgotten() -> None:
    terms = terms_of_entries_3_to_6()
    terms.truncate(5)
    assert contained_entries(terms) == [(2, 1), (3, 1), (4, 1)]
    terms.append(entry(5, 5))
    assert contained_entries(terms)[-1] == (5, 5)


def test_entries_before_a_snapshot_are_forgotten_and_those_after_it_stay() -> None:
    terms = terms_of_entries_3_to_6()
    terms.drop_to(5)
    assert contained_entries(terms) == [(5, 4), (6, 4)]


def test_a_snapshot_ahead_of_the_log_replaces_all() -> None:
    terms = terms_of_entries_3_to_6()
    terms.reset(8, 5)
    assert contained_entries(terms) == [(8, 5)]
