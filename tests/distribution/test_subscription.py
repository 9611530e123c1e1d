"""What a node takes of the feed, and what it refuses."""

import math

import msgspec
import pytest

from pewterring.distribution.errors import FeedGapError, StaleLeaderError
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

NO_DOCUMENT = msgspec.Raw(b"null")
VERSIONS = TableVersions(epoch=3, configuration=0, workers=5, nodes=2)
NEXT = msgspec.structs.replace(VERSIONS, workers=6)
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
    """One that has complete tables, requested at 10 s."""
    result = FeedSubscription()
    result.replace_all(TABLES, 10.0)
    return result


def test_before_the_first_tables_nothing_was_ever_confirmed() -> None:
    assert FeedSubscription().confirmed_at == -math.inf


def test_complete_tables_are_current_when_they_were_requested(subscription: FeedSubscription) -> None:
    assert subscription.confirmed_at == 10.0
    assert set(subscription.tables.workers) == {"w-1", "w-2"}
    subscription.replace_all(TABLES, 9.0)
    assert subscription.confirmed_at == 10.0


def test_tables_of_an_earlier_term_are_refused_and_change_nothing(subscription: FeedSubscription) -> None:
    before = subscription.tables
    earlier = msgspec.structs.replace(TABLES, versions=msgspec.structs.replace(VERSIONS, epoch=2))
    with pytest.raises(
        StaleLeaderError, match="received tables of term 2, but this node has tables of term 3"
    ):
        subscription.replace_all(earlier, 11.0)
    assert subscription.tables is before
    assert subscription.confirmed_at == 10.0


def test_a_change_replaces_only_what_it_names(subscription: FeedSubscription) -> None:
    before = subscription.tables
    changed = msgspec.structs.replace(worker(2), capacity=9)
    tables = subscription.apply_change(
        TableChanges(VERSIONS, NEXT, workers=(changed, worker(3)), workers_gone=("w-1",), nodes_gone=("n-1",))
    )
    assert dict(tables.workers) == {"w-2": changed, "w-3": worker(3)}
    assert tables.nodes == (node(2),)
    assert tables.placements is before.placements
    assert set(before.workers) == {"w-1", "w-2"}, "the former tables stay as they were"


def test_tables_that_did_not_change_are_the_same_objects(subscription: FeedSubscription) -> None:
    before = subscription.tables
    after = subscription.apply_change(TableChanges(VERSIONS, NEXT, controls=("10.0.0.2",)))
    assert after.workers is before.workers
    assert after.nodes is before.nodes
    assert after.controls == ("10.0.0.2",)


def test_a_change_on_other_versions_is_a_gap_and_changes_nothing(subscription: FeedSubscription) -> None:
    before = subscription.tables
    with pytest.raises(FeedGapError):
        subscription.apply_change(TableChanges(NEXT, VERSIONS, workers_gone=("w-1",)))
    assert subscription.tables is before


@pytest.mark.parametrize(("versions", "is_confirmed"), [(VERSIONS, True), (NEXT, False)])
def test_only_equal_versions_confirm_the_tables(
    versions: TableVersions, is_confirmed: bool, subscription: FeedSubscription
) -> None:
    assert subscription.confirm(Renewed(versions), 12.0) is is_confirmed
    assert subscription.confirmed_at == (12.0 if is_confirmed else 10.0)


def test_a_document_that_cannot_be_read_changes_no_configuration(subscription: FeedSubscription) -> None:
    tables = subscription.apply_change(
        TableChanges(VERSIONS, NEXT, msgspec.Raw(b'{"version":"of a later one"}'))
    )
    assert tables.configuration is None
    assert tables.versions == NEXT
