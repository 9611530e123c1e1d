"""The leader's side of the feed: opening, renewing and ending sessions, and nodes that do not read."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec

from pewterring.configuration.reader import read_configuration
from pewterring.control.commands import PutConfiguration, PutWorker
from pewterring.control.configuration_history import NO_DOCUMENT
from pewterring.control.feed import MAX_LARGE_ANSWERS, FeedServer
from pewterring.control.leadership import GroupLeadership
from pewterring.control.nodes import NodeTable
from pewterring.control.publisher import FeedPublisher
from pewterring.control.state import ControlState
from pewterring.distribution.fingerprint import NO_FINGERPRINT
from pewterring.distribution.messages import (
    ANSWER_TIMEOUT_S,
    FEED_MESSAGES,
    CompleteTables,
    NodeRecord,
    Redirect,
    Renew,
    Renewed,
    Subscribe,
    TableChanges,
)
from pewterring.distribution.subscription import FeedSubscription
from pewterring.transport.lines import Channel, MessageCodec
from tests.configuration.large_documents import large
from tests.consensus.virtual_time import VirtualTimeLoop
from tests.control.records import apply, gateway, put, status, store, worker

CODEC = MessageCodec(FEED_MESSAGES)
OTHER_LEADER = "10.0.0.2"


class StandInLeadership:
    """The attributes of the leadership that the feed server uses."""

    def __init__(self) -> None:
        self.ready = True
        self.has_lease = True
        self.leader_ip = OTHER_LEADER


class StandInChannel:
    """The connection of a session. A `full` channel accepts no more lines."""

    def __init__(self) -> None:
        self.full = False
        self.closed = False
        self.unsent_bytes = 0
        self.pushed: list[TableChanges] = []
        self.on_close: list[Callable[[StandInChannel], None]] = []

    def send_line(self, line: bytes) -> bool:
        if self.full or self.closed:
            return False
        message = CODEC.decode(CODEC.decode_line(line.rstrip(b"\n")).body)
        assert isinstance(message, TableChanges)
        self.pushed.append(message)
        return True

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            for callback in self.on_close:
                callback(self)

    abort = close


class Feed:
    """A feed server with its state, and the sessions of nodes."""

    def __init__(self) -> None:
        self.leadership = StandInLeadership()
        self.nodes = NodeTable()
        self.state = ControlState()
        self.publisher = FeedPublisher(self.state, self.nodes)
        self.publisher.start(2, ["10.0.0.1"])
        self.server = FeedServer(
            self.publisher,
            self.nodes,
            cast(GroupLeadership, self.leadership),
            CODEC,
            lambda: 5.0,
        )

    def subscribe(self, channel: StandInChannel, node: NodeRecord) -> msgspec.Struct:
        return self.server.subscribe(cast(Channel, channel), Subscribe(node))

    def renew(self, channel: StandInChannel, message: Renew) -> msgspec.Struct:
        return self.server.renew(cast(Channel, channel), message)

    def session(self, number: int = 1) -> tuple[StandInChannel, FeedSubscription]:
        channel = StandInChannel()
        complete = self.subscribe(channel, gateway(number))
        assert isinstance(complete, CompleteTables)
        subscription = FeedSubscription()
        subscription.replace_all(complete, 0.0)
        return channel, subscription


def test_a_follower_redirects_to_the_leader() -> None:
    feed = Feed()
    feed.leadership.ready = feed.leadership.has_lease = False
    channel = StandInChannel()
    assert feed.subscribe(channel, gateway(1)) == Redirect(OTHER_LEADER)
    assert feed.renew(channel, Renew(gateway(1))) == Redirect(OTHER_LEADER)
    assert feed.publisher.sessions == set()
    assert feed.nodes.records == {}


def test_a_leader_without_a_lease_answers_with_an_empty_redirect() -> None:
    feed = Feed()
    channel, _ = feed.session()
    feed.leadership.has_lease = False
    assert feed.renew(channel, Renew(gateway(1))) == Redirect("")
    assert feed.subscribe(StandInChannel(), gateway(2)) == Redirect("")


def test_changes_pending_when_a_session_opens_reach_the_earlier_sessions() -> None:
    feed = Feed()
    early, subscription = feed.session(1)
    apply(feed.state, put(0, 5))
    _, late = feed.session(2)
    for change in early.pushed:
        subscription.apply_change(change)
    for tables in (subscription.tables, late.tables):
        assert tables.configuration is not None
        assert tables.configuration.version == 5


def test_a_renewal_confirms_only_what_was_pushed_before_it() -> None:
    feed = Feed()
    channel, subscription = feed.session()
    apply(feed.state, PutWorker(worker("i-1")))
    answer = feed.renew(channel, Renew(gateway(1)))
    assert isinstance(answer, Renewed)
    assert len(channel.pushed) == 1
    assert not subscription.confirm(answer, 1.0), "the change has not been applied yet"
    subscription.apply_change(channel.pushed[0])
    assert subscription.confirm(answer, 1.0)


def test_a_renewal_without_a_session_is_redirected_to_the_leader() -> None:
    feed = Feed()
    assert feed.renew(StandInChannel(), Renew(gateway(1))) == Redirect(OTHER_LEADER)


def test_a_session_that_does_not_read_is_closed_without_affecting_others() -> None:
    feed = Feed()
    stuck, _ = feed.session(1)
    good, _ = feed.session(2)
    stuck.full = True
    apply(feed.state, PutWorker(worker("i-1")))
    feed.server.publish_state()
    assert stuck.closed
    assert len(good.pushed) == 1
    assert feed.publisher.sessions == {good}


def test_commands_applied_together_are_pushed_as_one_change() -> None:
    async def scenario() -> None:
        feed = Feed()
        channel, subscription = feed.session()
        for number in range(5):
            apply(feed.state, PutWorker(worker(f"i-{number}", f"10.0.0.{number}:80")))
            feed.server.publish_soon()
        assert channel.pushed == []
        await asyncio.sleep(0)
        (change,) = channel.pushed
        assert len(subscription.apply_change(change).workers) == 5

    asyncio.run(scenario())


def test_nothing_is_pushed_after_the_leadership_was_lost() -> None:
    async def scenario() -> None:
        feed = Feed()
        channel, _ = feed.session()
        apply(feed.state, PutWorker(worker("i-1")))
        feed.server.publish_soon()
        feed.leadership.ready = False
        await asyncio.sleep(0)
        assert channel.pushed == []

    asyncio.run(scenario())


def test_sessions_end_with_the_leadership() -> None:
    feed = Feed()
    channels = [feed.session(number)[0] for number in (1, 2)]
    feed.server.end_sessions()
    assert all(channel.closed for channel in channels)
    assert feed.publisher.sessions == set()


def test_a_store_that_leads_a_partition_reports_it_with_its_renewal() -> None:
    feed = Feed()
    channel, subscription = feed.session()
    report = status([store(1), store(2), store(3)])
    feed.renew(channel, Renew(gateway(1), report))
    feed.server.publish_nodes()
    assert subscription.apply_change(channel.pushed[0]).groups == (report,)


def large_feed() -> Feed:
    feed = Feed()
    apply(feed.state, PutConfiguration(0, 5, "digest", msgspec.Raw(large())))
    return feed


def subscribed(feed: Feed, subscription: FeedSubscription) -> CompleteTables:
    request = Subscribe(gateway(1), subscription.fingerprint)
    answer = feed.server.subscribe(cast(Channel, StandInChannel()), request)
    assert isinstance(answer, CompleteTables)
    subscription.replace_all(answer, 0.0)
    return answer


def test_a_large_configuration_is_not_sent_to_a_node_that_has_it() -> None:
    """Guards against leaders that send it to all nodes after an election, for longer than these wait."""
    feed, subscription = large_feed(), FeedSubscription()
    assert bytes(subscribed(feed, subscription).configuration) == large()
    assert subscribed(feed, subscription).configuration == NO_DOCUMENT  # the node still reads it
    assert subscription.unread == large()
    subscription.finish_reading(large(), read_configuration(large()))
    feed.publisher.start(3, ["10.0.0.1"])
    assert subscribed(feed, subscription).configuration == NO_DOCUMENT
    assert subscription.tables.configuration == read_configuration(large())
    assert subscription.tables.versions == feed.publisher.versions


def test_a_node_with_another_configuration_gets_the_current_one() -> None:
    feed, subscription = large_feed(), FeedSubscription()
    subscribed(feed, subscription)
    subscription.finish_reading(large(), read_configuration(large()))
    apply(feed.state, PutConfiguration(5, 6, "digest-6", msgspec.Raw(large(version=6))))
    assert bytes(subscribed(feed, subscription).configuration) == large(version=6)
    assert subscription.unread == large(version=6)
    apply(feed.state, put(6, 7))
    assert subscribed(feed, subscription).configuration != NO_DOCUMENT
    assert subscription.tables.configuration is not None
    assert subscription.tables.configuration.version == 7
    assert subscription.fingerprint == NO_FINGERPRINT
    assert subscribed(feed, subscription).configuration != NO_DOCUMENT


def test_sessions_that_need_a_large_configuration_are_answered_one_in_a_turn() -> None:
    """Guards against a leader that answers all nodes that start together in one turn, past its lease."""
    feed = large_feed()

    async def scenario() -> None:
        channels = [StandInChannel() for _ in range(6)]
        answers = [
            asyncio.ensure_future(answer)
            for number, channel in enumerate(channels)
            if isinstance(
                answer := feed.server.answer_subscribe(cast(Channel, channel), Subscribe(gateway(number))),
                Awaitable,
            )
        ]
        assert len(answers) == len(channels)
        channels[3].close()
        most = 0
        while not all(answer.done() for answer in answers):
            before = len(feed.publisher.sessions)
            await asyncio.sleep(0)
            most = max(most, len(feed.publisher.sessions) - before)
        assert most == 1
        results = [answer.result() for answer in answers]
        assert results.pop(3) == Redirect("")
        assert all(isinstance(result, CompleteTables) for result in results)

    asyncio.run(scenario())
    assert len(feed.publisher.sessions) == 5


def test_other_sessions_are_answered_at_once() -> None:
    feed, subscription = large_feed(), FeedSubscription()
    subscribed(feed, subscription)
    request = Subscribe(gateway(1), subscription.fingerprint)
    answer = feed.server.answer_subscribe(cast(Channel, StandInChannel()), request)
    assert isinstance(answer, CompleteTables)
    small = Feed()
    answer = small.server.answer_subscribe(cast(Channel, StandInChannel()), Subscribe(gateway(1)))
    assert isinstance(answer, CompleteTables)
    feed.leadership.has_lease = False
    answer = feed.server.answer_subscribe(cast(Channel, StandInChannel()), Subscribe(gateway(2)))
    assert isinstance(answer, Redirect)


def test_few_large_answers_are_being_sent_at_a_time() -> None:
    """Guards against a leader whose memory holds the configuration once for each node that starts."""
    feed = large_feed()

    async def scenario() -> None:
        channels = [StandInChannel() for _ in range(MAX_LARGE_ANSWERS + 4)]
        for channel in channels:
            channel.unsent_bytes = len(large())
        answers = [
            asyncio.ensure_future(cast(Awaitable[CompleteTables | Redirect], answer))
            for number, channel in enumerate(channels)
            if (answer := feed.server.answer_subscribe(cast(Channel, channel), Subscribe(gateway(number))))
        ]
        await asyncio.sleep(ANSWER_TIMEOUT_S / 2)
        assert sum(answer.done() for answer in answers) == MAX_LARGE_ANSWERS
        channels[0].unsent_bytes = 0
        channels[1].close()
        await asyncio.sleep(ANSWER_TIMEOUT_S / 4)
        assert sum(answer.done() for answer in answers) == MAX_LARGE_ANSWERS + 2
        await asyncio.sleep(2 * ANSWER_TIMEOUT_S)  # the nodes of the others wait no longer
        assert all(answer.done() for answer in answers)
        assert [channel.closed for channel in channels] == [False, *[True] * (len(channels) - 1)]

    with contextlib.closing(VirtualTimeLoop()) as loop:
        loop.run_until_complete(scenario())
