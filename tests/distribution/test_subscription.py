"""Which messages of the table feed a node applies, and which it rejects."""

import math

import msgspec
import pytest

from pewterring.configuration.reader import read_configuration
from pewterring.distribution.errors import FeedGapError, StaleLeaderError
from pewterring.distribution.fingerprint import NO_FINGERPRINT, fingerprint_of
from pewterring.distribution.messages import (
    CompleteTables,
    NodeRecord,
    PlacementRecord,
    RegistrationState,
    Renewed,
    TableChanges,
    TableVersions,
    WorkerRecord,
)
from pewterring.distribution.subscription import FeedSubscription
from tests.configuration.documents import encoded
from tests.configuration.large_documents import large

NO_DOCUMENT = msgspec.Raw(b"null")
VERSIONS = TableVersions(epoch=3, configuration=0, workers=5, nodes=2)
NEXT_VERSIONS = msgspec.structs.replace(VERSIONS, workers=6)
PLACEMENTS = (PlacementRecord("batch-0", ("a", "b", "c")),)


def worker(number: int) -> WorkerRecord:
    return WorkerRecord(f"w-{number}", "search", f"10.0.2.{number}:80", "z", 4, RegistrationState.READY)


def node(number: int) -> NodeRecord:
    return NodeRecord(f"n-{number}", "gateway", f"10.0.1.{number}", "z", "incarnation")


TABLES = CompleteTables(
    VERSIONS, NO_DOCUMENT, (worker(1), worker(2)), (node(1), node(2)), PLACEMENTS, (), ("10.0.0.1",)
)


@pytest.fixture
def subscription() -> FeedSubscription:
    """Returns a subscription with complete tables that were requested at 10 s."""
    result = FeedSubscription()
    result.replace_all(TABLES, 10.0)
    return result


def test_no_tables_are_confirmed_before_the_first() -> None:
    assert FeedSubscription().confirmed_at == -math.inf


def test_complete_tables_count_as_confirmed_at_the_time_of_their_request(
    subscription: FeedSubscription,
) -> None:
    assert subscription.confirmed_at == 10.0
    assert set(subscription.tables.workers) == {"w-1", "w-2"}
    subscription.replace_all(TABLES, 9.0)
    assert subscription.confirmed_at == 10.0


def test_tables_of_an_earlier_term_are_rejected_and_change_nothing(subscription: FeedSubscription) -> None:
    before = subscription.tables
    earlier = msgspec.structs.replace(TABLES, versions=msgspec.structs.replace(VERSIONS, epoch=2))
    with pytest.raises(StaleLeaderError, match="tables of term 2, known are those of term 3"):
        subscription.replace_all(earlier, 11.0)
    assert subscription.tables is before
    assert subscription.confirmed_at == 10.0


def test_a_change_replaces_only_the_entries_it_contains(subscription: FeedSubscription) -> None:
    before = subscription.tables
    changed = msgspec.structs.replace(worker(2), capacity=9)
    tables = subscription.apply_change(
        TableChanges(
            VERSIONS, NEXT_VERSIONS, workers=(changed, worker(3)), workers_gone=("w-1",), nodes_gone=("n-1",)
        )
    )
    assert dict(tables.workers) == {"w-2": changed, "w-3": worker(3)}
    assert tables.nodes == (node(2),)
    assert tables.placements is before.placements
    assert set(before.workers) == {"w-1", "w-2"}, "the previous tables are not modified"


def test_tables_that_did_not_change_are_the_same_objects(subscription: FeedSubscription) -> None:
    before = subscription.tables
    after = subscription.apply_change(TableChanges(VERSIONS, NEXT_VERSIONS, controls=("10.0.0.2",)))
    assert after.workers is before.workers
    assert after.nodes is before.nodes
    assert after.controls == ("10.0.0.2",)


def test_a_change_on_other_versions_is_rejected_as_a_gap(subscription: FeedSubscription) -> None:
    before = subscription.tables
    with pytest.raises(FeedGapError):
        subscription.apply_change(TableChanges(NEXT_VERSIONS, VERSIONS, workers_gone=("w-1",)))
    assert subscription.tables is before


@pytest.mark.parametrize(("versions", "is_confirmed"), [(VERSIONS, True), (NEXT_VERSIONS, False)])
def test_only_equal_versions_confirm_the_tables(
    versions: TableVersions, is_confirmed: bool, subscription: FeedSubscription
) -> None:
    assert subscription.confirm(Renewed(versions), 12.0) is is_confirmed
    assert subscription.confirmed_at == (12.0 if is_confirmed else 10.0)


def test_an_unreadable_document_does_not_change_the_configuration(subscription: FeedSubscription) -> None:
    tables = subscription.apply_change(
        TableChanges(VERSIONS, NEXT_VERSIONS, msgspec.Raw(b'{"version":"of a later one"}'))
    )
    assert tables.configuration is None
    assert tables.versions == NEXT_VERSIONS


LARGE = large(version=5, routes=60)
SMALL = encoded(version=6)


def change(base: TableVersions, configuration: int, document: bytes) -> TableChanges:
    versions = msgspec.structs.replace(base, configuration=configuration)
    return TableChanges(base, versions, msgspec.Raw(document))


def configuration_version(subscription: FeedSubscription) -> int | None:
    configuration = subscription.tables.configuration
    return configuration.version if configuration else None


def test_other_tables_change_while_a_large_configuration_is_unread(subscription: FeedSubscription) -> None:
    subscription.apply_change(change(VERSIONS, 5, LARGE))
    base = subscription.tables.versions
    versions = msgspec.structs.replace(base, workers=6)
    subscription.apply_change(TableChanges(base, versions, workers_gone=("w-1",)))
    assert subscription.unread == LARGE
    assert set(subscription.tables.workers) == {"w-2"}
    assert configuration_version(subscription) is None
    subscription.finish_reading(LARGE, read_configuration(LARGE))
    assert subscription.unread is None
    assert set(subscription.tables.workers) == {"w-2"}
    assert configuration_version(subscription) == 5


def test_nothing_is_confirmed_until_a_large_configuration_is_in_force(subscription: FeedSubscription) -> None:
    subscription.apply_change(change(VERSIONS, 5, LARGE))
    assert subscription.confirm(Renewed(subscription.tables.versions), 12.0)
    assert subscription.confirmed_at == 10.0
    subscription.finish_reading(LARGE, read_configuration(LARGE))
    assert subscription.confirmed_at == 12.0


def test_complete_tables_with_a_large_configuration_are_confirmed_when_it_has_been_read() -> None:
    subscription = FeedSubscription()
    subscription.replace_all(msgspec.structs.replace(TABLES, configuration=msgspec.Raw(LARGE)), 10.0)
    assert subscription.confirmed_at == -math.inf
    subscription.finish_reading(LARGE, read_configuration(LARGE))
    assert subscription.confirmed_at == 10.0


def test_a_newer_small_configuration_wins_over_a_large_one_that_is_being_read(
    subscription: FeedSubscription,
) -> None:
    subscription.apply_change(change(VERSIONS, 5, LARGE))
    subscription.apply_change(change(subscription.tables.versions, 6, SMALL))
    assert subscription.unread is None
    subscription.finish_reading(LARGE, read_configuration(LARGE))
    assert configuration_version(subscription) == 6


def test_a_newer_large_configuration_stays_unread_after_the_former_one(
    subscription: FeedSubscription,
) -> None:
    newer = large(version=7, routes=60)
    subscription.apply_change(change(VERSIONS, 5, LARGE))
    subscription.apply_change(change(subscription.tables.versions, 7, newer))
    subscription.confirm(Renewed(subscription.tables.versions), 12.0)
    subscription.finish_reading(LARGE, read_configuration(LARGE))
    assert (subscription.unread, configuration_version(subscription)) == (newer, 5)
    assert subscription.confirmed_at == 10.0
    subscription.finish_reading(newer, read_configuration(newer))
    assert (subscription.unread, configuration_version(subscription)) == (None, 7)
    assert subscription.confirmed_at == 12.0


def test_a_large_configuration_that_cannot_be_read_leaves_the_former_one(
    subscription: FeedSubscription,
) -> None:
    subscription.apply_change(change(VERSIONS, 6, SMALL))
    subscription.apply_change(change(subscription.tables.versions, 7, LARGE))
    subscription.finish_reading(LARGE, None)
    assert (subscription.unread, configuration_version(subscription)) == (None, 6)


def test_the_fingerprint_is_that_of_the_newest_large_configuration(subscription: FeedSubscription) -> None:
    assert subscription.fingerprint == NO_FINGERPRINT
    document = large(version=8)
    subscription.replace_all(msgspec.structs.replace(TABLES, configuration=msgspec.Raw(document)), 11.0)
    assert subscription.fingerprint == fingerprint_of(document) != NO_FINGERPRINT
    subscription.finish_reading(document, read_configuration(document))
    assert subscription.fingerprint == fingerprint_of(document)
    small = msgspec.Raw(encoded(version=9))
    subscription.replace_all(msgspec.structs.replace(TABLES, configuration=small), 12.0)
    assert subscription.fingerprint == NO_FINGERPRINT
