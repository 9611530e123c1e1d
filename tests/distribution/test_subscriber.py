"""How a node finds the leader: a redirect is followed at once, machines that name each other are not."""

import asyncio
import itertools
import random
from collections.abc import Mapping
from typing import Any, cast

import msgspec
from loguru import logger

from pewterring.distribution.messages import (
    CompleteTables,
    NodeRecord,
    Redirect,
    Renewed,
    TableChanges,
    TableVersions,
)
from pewterring.distribution.subscriber import (
    MAX_REDIRECTS,
    RENEWAL_INTERVAL_S,
    SEARCH_PAUSE_S,
    FeedEnvironment,
    FeedSubscriber,
    NodeReport,
)
from pewterring.distribution.tables import Tables
from pewterring.transport.lines import Channel, ChannelSettings, MessageCodec, MessageHandler
from tests.consensus.virtual_time import VirtualTimeLoop
from tests.node_settings import addresses, node_settings

SEED, LEADER = "10.0.0.1", "10.0.0.2"
VERSIONS = TableVersions(1)
TABLES = CompleteTables(VERSIONS, msgspec.Raw(b"null"), (), (), (), (), ())
CHANGE = TableChanges(VERSIONS, TableVersions(1, 0, 1))
ON_ANOTHER_BASE = TableChanges(TableVersions(1, 0, 8), TableVersions(1, 0, 9))


class Machine:
    """A control machine's end of a connection: its first answer is to `Subscribe`, its last to renewals."""

    closed = False

    def __init__(self, *answers: msgspec.Struct, handler: MessageHandler) -> None:
        self._answers = list(answers)
        self._handler = handler

    async def request(self, _message: msgspec.Struct, _timeout_s: float) -> msgspec.Struct:
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]

    def push(self, message: msgspec.Struct) -> None:
        self._handler(cast(Channel, self), message)

    def close(self) -> None:
        self.closed = True


class Network:
    """The control machines by IP, and when which of them was contacted, in virtual time."""

    def __init__(self, answers: Mapping[str, tuple[msgspec.Struct, ...]]) -> None:
        self.loop = VirtualTimeLoop()
        self.requests: list[tuple[float, str]] = []
        self.machines: list[Machine] = []
        self._answers = answers

    async def open_channel(
        self, settings: ChannelSettings, ip: str, _port: int, _timeout_s: float
    ) -> Channel:
        self.requests.append((self.loop.time(), ip))
        assert settings.on_message is not None
        self.machines.append(Machine(*self._answers[ip], handler=settings.on_message))
        return cast(Channel, self.machines[-1])

    def subscriber(self, on_tables: Any) -> FeedSubscriber:
        record = NodeRecord("n", "gateway", "10.0.0.9", "z", "incarnation")
        return FeedSubscriber(
            node_settings("gateway", "10.0.0.9", seeds=addresses([SEED], 80)),
            cast(MessageCodec, None),
            NodeReport(lambda: record),
            on_tables,
            FeedEnvironment(random.Random(1), self.loop.time, self.open_channel),
        )


def requests(answers: Mapping[str, tuple[msgspec.Struct, ...]], duration_s: float) -> list[tuple[float, str]]:
    """When which machine was contacted."""
    network = Network(answers)

    async def play() -> None:
        subscriber = network.subscriber(lambda _old, _new: None)
        await subscriber.start()
        await asyncio.sleep(duration_s)
        await subscriber.stop()

    network.loop.run_until_complete(play())
    network.loop.close()
    return network.requests


def test_a_redirect_is_followed_at_once() -> None:
    answers = {SEED: (Redirect(LEADER),), LEADER: (TABLES, Redirect(""))}
    assert requests(answers, 0.3) == [(0.0, SEED), (0.0, LEADER)]


def test_machines_that_name_each_other_are_contacted_with_pauses() -> None:
    duration_s = 40 * SEARCH_PAUSE_S
    seen = requests({SEED: (Redirect(LEADER),), LEADER: (Redirect(SEED),)}, duration_s)
    most_rounds = duration_s / (0.5 * SEARCH_PAUSE_S) + 1
    assert len(seen) <= (MAX_REDIRECTS + 1) * most_rounds
    assert len({moment for moment, _ in seen}) > 20


def test_where_no_leader_is_known_each_round_has_a_pause() -> None:
    moments = [moment for moment, _ in requests({SEED: (Redirect(""),)}, 2.0)]
    pauses = [later - earlier for earlier, later in itertools.pairwise(moments)]
    assert all(0.5 * SEARCH_PAUSE_S <= pause <= 1.5 * SEARCH_PAUSE_S for pause in pauses)


class Session:
    """Plays a session with a leader to which `push` sends a change, and keeps what happens."""

    def __init__(self, change: TableChanges, fails: bool = False) -> None:
        self.network = Network({SEED: (TABLES, Renewed(VERSIONS))})
        self.swaps: list[tuple[Tables, Tables]] = []
        self._change = change
        self._fails = fails

    def take(self, old: Tables, new: Tables) -> None:
        self.swaps.append((old, new))
        if self._fails:
            raise LookupError("a fault of the node")

    async def _play(self) -> None:
        subscriber = self.network.subscriber(self.take)
        await subscriber.start()
        await asyncio.sleep(0.5 * RENEWAL_INTERVAL_S)
        self.network.machines[0].push(self._change)
        await asyncio.sleep(0.25 * RENEWAL_INTERVAL_S)
        await subscriber.stop()

    def run(self) -> list[dict[str, Any]]:
        """The events that were logged, as what was bound to them."""
        events: list[dict[str, Any]] = []
        sink = logger.add(lambda message: events.append(message.record["extra"]), level="INFO")
        try:
            self.network.loop.run_until_complete(self._play())
        finally:
            logger.remove(sink)
            self.network.loop.close()
        return events


def test_a_change_reaches_the_node() -> None:
    session = Session(CHANGE)
    assert session.run() == []
    assert [new.versions for _, new in session.swaps] == [VERSIONS, CHANGE.versions]
    assert session.swaps[0][1] is session.swaps[1][0]


def test_a_missed_change_ends_the_session_which_is_logged_as_an_event() -> None:
    session = Session(ON_ANOTHER_BASE)
    ended = {"event": "feed_session_ended", "control_ip": SEED, "reason": "a change was missed"}
    assert ended in session.run()
    assert session.network.machines[0].closed


def test_a_fault_of_the_node_while_it_takes_tables_does_not_end_the_session() -> None:
    session = Session(CHANGE, fails=True)
    assert session.run() == [{"event": "table_update_failed"}] * 2
    assert [new.versions for _, new in session.swaps] == [VERSIONS, CHANGE.versions]
    assert len(session.network.requests) == 1
