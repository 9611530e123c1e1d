"""How a node finds and follows the control leader, and which failures end its session."""

import asyncio
import itertools
import random
from collections.abc import Mapping
from typing import Any, cast

import msgspec
from loguru import logger

from pewterring.configuration.steps import STEP_BYTES
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
from tests.configuration.large_documents import large
from tests.consensus.virtual_time import VirtualTimeLoop
from tests.node_settings import addresses, node_settings

SEED, LEADER = "10.0.0.1", "10.0.0.2"
VERSIONS = TableVersions(1)
TABLES = CompleteTables(VERSIONS, msgspec.Raw(b"null"), (), (), (), (), ())
CHANGE = TableChanges(VERSIONS, TableVersions(1, 0, 1))
CHANGE_ON_ANOTHER_BASE = TableChanges(TableVersions(1, 0, 8), TableVersions(1, 0, 9))


class ControlMachine:
    """A control machine's end of a connection: answers requests in order, and repeats the last answer."""

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
    """Control machines with scripted answers, by IP, and a record of the contacts in virtual time."""

    def __init__(self, answers: Mapping[str, tuple[msgspec.Struct, ...]]) -> None:
        self.loop = VirtualTimeLoop()
        self.contacts: list[tuple[float, str]] = []
        self.machines: list[ControlMachine] = []
        self._answers = answers

    async def open_channel(
        self, settings: ChannelSettings, ip: str, _port: int, _timeout_s: float
    ) -> Channel:
        self.contacts.append((self.loop.time(), ip))
        assert settings.on_message is not None
        self.machines.append(ControlMachine(*self._answers[ip], handler=settings.on_message))
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


def contacts_of(
    answers: Mapping[str, tuple[msgspec.Struct, ...]], duration_s: float
) -> list[tuple[float, str]]:
    """Returns the time and IP of each contact of a subscriber that runs for `duration_s`."""
    network = Network(answers)

    async def scenario() -> None:
        subscriber = network.subscriber(lambda _old, _new: None)
        await subscriber.start()
        await asyncio.sleep(duration_s)
        await subscriber.stop()

    network.loop.run_until_complete(scenario())
    network.loop.close()
    return network.contacts


def test_a_redirect_is_followed_at_once() -> None:
    answers = {SEED: (Redirect(LEADER),), LEADER: (TABLES, Redirect(""))}
    assert contacts_of(answers, 0.3) == [(0.0, SEED), (0.0, LEADER)]


def test_machines_that_redirect_to_each_other_are_contacted_with_pauses() -> None:
    duration_s = 40 * SEARCH_PAUSE_S
    contacts = contacts_of({SEED: (Redirect(LEADER),), LEADER: (Redirect(SEED),)}, duration_s)
    max_rounds = duration_s / (0.5 * SEARCH_PAUSE_S) + 1
    assert len(contacts) <= (MAX_REDIRECTS + 1) * max_rounds
    assert len({at for at, _ in contacts}) > 20


def test_each_search_round_without_a_known_leader_has_a_pause() -> None:
    contacted_at = [at for at, _ in contacts_of({SEED: (Redirect(""),)}, 2.0)]
    pauses = [later - earlier for earlier, later in itertools.pairwise(contacted_at)]
    assert all(0.5 * SEARCH_PAUSE_S <= pause <= 1.5 * SEARCH_PAUSE_S for pause in pauses)


class SessionScenario:
    """Runs a session with a leader that pushes one change, and records the table updates."""

    def __init__(self, change: TableChanges, handler_fails: bool = False) -> None:
        self.network = Network({SEED: (TABLES, Renewed(VERSIONS))})
        self.table_swaps: list[tuple[Tables, Tables]] = []
        self._change = change
        self._fails = handler_fails

    def record_tables(self, old: Tables, new: Tables) -> None:
        self.table_swaps.append((old, new))
        if self._fails:
            raise LookupError("error in the table handler")

    async def _run_session(self) -> None:
        subscriber = self.network.subscriber(self.record_tables)
        await subscriber.start()
        await asyncio.sleep(0.5 * RENEWAL_INTERVAL_S)
        self.network.machines[0].push(self._change)
        await asyncio.sleep(0.25 * RENEWAL_INTERVAL_S)
        await subscriber.stop()

    def run(self) -> list[dict[str, Any]]:
        """Runs the session and returns the bound fields of the logged events."""
        events: list[dict[str, Any]] = []
        sink = logger.add(lambda message: events.append(message.record["extra"]), level="INFO")
        try:
            self.network.loop.run_until_complete(self._run_session())
        finally:
            logger.remove(sink)
            self.network.loop.close()
        return events


def test_a_pushed_change_is_passed_to_the_table_handler() -> None:
    session = SessionScenario(CHANGE)
    assert session.run() == []
    assert [new.versions for _, new in session.table_swaps] == [VERSIONS, CHANGE.versions]
    assert session.table_swaps[0][1] is session.table_swaps[1][0]


def test_a_missed_change_ends_the_session_and_is_logged() -> None:
    session = SessionScenario(CHANGE_ON_ANOTHER_BASE)
    ended = {"event": "feed_session_ended", "control_ip": SEED, "reason": "a change was missed"}
    assert ended in session.run()
    assert session.network.machines[0].closed


def test_an_error_of_the_table_handler_does_not_end_the_session() -> None:
    session = SessionScenario(CHANGE, handler_fails=True)
    assert session.run() == [{"event": "table_update_failed"}] * 2
    assert [new.versions for _, new in session.table_swaps] == [VERSIONS, CHANGE.versions]
    assert len(session.network.contacts) == 1


def test_a_large_configuration_is_read_between_other_events_and_then_put_in_force() -> None:
    document = large(version=5, routes=300)
    change = TableChanges(VERSIONS, TableVersions(1, 5), msgspec.Raw(document))
    session = SessionScenario(change)
    turns: list[Tables] = []

    async def count(subscriber_tables: list[tuple[Tables, Tables]]) -> None:
        while not any(new.configuration for _, new in subscriber_tables):
            if len(subscriber_tables) == 2:  # the change has arrived, the configuration is not in force yet
                turns.append(subscriber_tables[-1][1])
            await asyncio.sleep(0 if len(subscriber_tables) == 2 else RENEWAL_INTERVAL_S / 100)

    counting = session.network.loop.create_task(count(session.table_swaps))
    assert session.run() == []
    assert counting.done()
    assert len(turns) >= len(document) // STEP_BYTES
    assert [new.versions.configuration for _, new in session.table_swaps] == [0, 5, 5]
    configuration = session.table_swaps[-1][1].configuration
    assert configuration is not None
    assert len(configuration.routes) == 300


def test_a_large_configuration_that_cannot_be_read_is_logged_and_the_session_goes_on() -> None:
    document = large(version=5, routes=300)[:-1] + b',"limits":5}'
    session = SessionScenario(TableChanges(VERSIONS, TableVersions(1, 5), msgspec.Raw(document)))
    (event,) = session.run()
    assert event["event"] == "configuration_unreadable"
    assert [new.configuration for _, new in session.table_swaps] == [None] * 3
    assert len(session.network.contacts) == 1
