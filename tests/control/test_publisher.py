"""The publisher of the feed: sessions, table versions and changes, as applied by subscriptions."""

import msgspec

from pewterring.control.commands import CreateGroup, PutWorker, RemoveWorkers, StartDecommissioning
from pewterring.control.nodes import NodeTable
from pewterring.control.publisher import FeedPublisher
from pewterring.control.state import ControlState
from pewterring.distribution.messages import FEED_MESSAGES, PlacementRecord, TableChanges
from pewterring.distribution.subscription import FeedSubscription
from pewterring.transport.lines import MessageCodec
from tests.control.records import apply, gateway, put, status, store, worker


class Feed:
    """A publisher whose changes are applied to all subscriptions immediately."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.nodes = NodeTable()
        self.publisher = FeedPublisher(self.state, self.nodes)
        self.subscriptions: list[FeedSubscription] = []
        self.start(epoch=3)

    def start(self, epoch: int) -> None:
        self.nodes.start(0.0, self.state.nodes)
        self.publisher.start(epoch, ["10.0.0.2", "10.0.0.1"])
        self.subscriptions.clear()

    def open(self) -> FeedSubscription:
        self.publish()
        subscription = FeedSubscription()
        subscription.replace_all(self.publisher.open(len(self.subscriptions)), 0.0)
        self.subscriptions.append(subscription)
        return subscription

    def publish(self) -> list[TableChanges]:
        changes = [self.publisher.take_state_changes(), self.publisher.take_node_changes()]
        published = [change for change in changes if change is not None]
        for change in published:
            for subscription in self.subscriptions:
                subscription.apply_change(change)
        return published


def test_a_session_gets_all_tables_and_then_each_change() -> None:
    feed = Feed()
    apply(feed.state, PutWorker(worker("i-1")))
    early = feed.open()
    apply(feed.state, put(0, 5))
    apply(feed.state, PutWorker(worker("i-2", "10.0.0.2:80")))
    apply(feed.state, RemoveWorkers(("i-1",)))
    apply(feed.state, CreateGroup(PlacementRecord("batch-0", ("a",))))
    feed.nodes.observe(0.0, gateway(1))
    feed.publish()
    late = feed.open()
    for subscription in (early, late):
        tables = subscription.tables
        assert set(tables.workers) == {"i-2"}
        assert tables.nodes == (gateway(1),)
        assert tables.placements[0].group == "batch-0"
        assert tables.controls == ("10.0.0.1", "10.0.0.2")
        assert tables.configuration is not None
        assert tables.configuration.version == 5
        assert tables.versions == feed.publisher.versions
        assert tables.versions.epoch == 3


def test_nothing_is_published_without_a_change() -> None:
    feed = Feed()
    feed.open()
    versions = feed.publisher.versions
    feed.nodes.observe(0.0, gateway(1))
    assert len(feed.publish()) == 1
    feed.nodes.observe(0.1, gateway(1))
    assert feed.publish() == []
    assert feed.publisher.versions.nodes == versions.nodes + 1


def test_a_session_opened_before_nodes_are_published_gets_the_next_change() -> None:
    feed = Feed()
    feed.nodes.observe(0.0, gateway(1))
    subscription = FeedSubscription()
    subscription.replace_all(feed.publisher.open("new"), 0.0)
    feed.subscriptions.append(subscription)
    assert not subscription.tables.nodes
    feed.publish()
    assert subscription.tables.nodes == (gateway(1),)


def test_a_change_of_nodes_lists_only_those_that_changed() -> None:
    feed = Feed()
    for number in range(1, 6):
        feed.nodes.observe(0.0, gateway(number))
    subscription = feed.open()
    feed.nodes.observe(0.1, msgspec.structs.replace(gateway(2), incarnation="restarted"))
    feed.nodes.observe(0.1, gateway(6))
    (change,) = feed.publish()
    assert [node.node_id for node in change.nodes] == ["edge-2", "edge-6"]
    assert not change.nodes_gone
    for now in (0.4, 0.8, 1.2, 1.6):
        feed.nodes.observe(now, gateway(6))
        feed.nodes.expire(now)
    (change,) = feed.publish()
    assert not change.nodes
    assert set(change.nodes_gone) == {f"edge-{number}" for number in (1, 3, 4, 5)}
    assert {node.node_id: node.incarnation for node in subscription.tables.nodes} == {
        "edge-2": "restarted",
        "edge-6": gateway(6).incarnation,
    }
    assert set(subscription.tables.nodes) == set(feed.open().tables.nodes)


def test_a_renewal_confirms_the_published_versions_of_open_sessions() -> None:
    feed = Feed()
    assert feed.publisher.renew("unknown") is None
    feed.publisher.open("known")
    renewed = feed.publisher.renew("known")
    assert renewed is not None
    assert renewed.versions == feed.publisher.versions
    feed.publisher.close("known")
    assert feed.publisher.renew("known") is None


def test_a_store_that_is_decommissioned_is_flagged() -> None:
    feed = Feed()
    feed.nodes.observe(0.0, store(1))
    subscription = feed.open()
    apply(feed.state, StartDecommissioning("store-1", store(1).member))
    feed.publish()
    assert subscription.tables.nodes[0].decommissioning


def test_mere_progress_of_a_partition_is_not_published() -> None:
    feed = Feed()
    subscription = feed.open()
    stores = [store(1), store(2), store(3)]
    feed.publisher.record_report(0.0, status(stores, commit=5))
    assert len(feed.publish()) == 1
    feed.publisher.record_report(0.0, status(stores, commit=6))
    assert feed.publish() == []
    feed.publisher.record_report(0.0, status(stores[::-1], commit=4))
    assert feed.publish() == []
    feed.publisher.record_report(0.0, status(stores[::-1], commit=6, term=2))
    feed.publish()
    assert subscription.tables.groups[0].leader == stores[2].member


def test_a_new_leader_knows_the_committed_nodes_and_drops_sessions() -> None:
    feed = Feed()
    feed.open()
    feed.nodes.observe(0.0, store(1))
    command = feed.nodes.uncommitted(feed.state.nodes)
    assert command is not None
    apply(feed.state, command)
    assert feed.nodes.uncommitted(feed.state.nodes) is None
    feed.start(epoch=4)
    assert not feed.publisher.sessions
    assert feed.open().tables.nodes == (store(1),)


def test_a_changed_configuration_is_preserved_by_the_codec() -> None:
    feed = Feed()
    apply(feed.state, put(0, 5))
    (change,) = feed.publish()
    codec = MessageCodec(FEED_MESSAGES)
    decoded = codec.decode(codec.encode(change))
    assert isinstance(decoded, TableChanges)
    assert decoded.configuration is not None
    assert bytes(decoded.configuration) == bytes(feed.state.document)
