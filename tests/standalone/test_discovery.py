"""Following the list of workers: the calls to discovery, and the lists passed to the policy."""

import asyncio
import itertools
from collections.abc import Callable

import orjson
import pytest

from pewterring.standalone.http.messages import Request
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.network import discovery
from pewterring.standalone.network.connection import Address
from pewterring.standalone.network.discovery import Discovery, Listing, read_listing
from pewterring.standalone.network.ending import Ending
from pewterring.standalone.network.workers import Target
from pewterring.standalone.policy import interface
from pewterring.standalone.proxy.directory import Directory
from tests.standalone.stand_ins import Rig, Script, StandIn, Talk, as_json, entry, listing, run, until

A, B, C = (Address("127.0.0.1", n) for n in (9001, 9002, 9003))
POLL, IMMEDIATE_POLL = b"/v1/servers?index=%d&wait=2000", b"/v1/servers?index=%d&wait=0"
BACKOFF_S = discovery.BACKOFF_S


@pytest.fixture(autouse=True)
def short_backoffs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "BACKOFF_S", (0.05, 2.0))


class Agent:
    """Sends these responses one after the other, and none to further requests."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers, self.targets = list(answers), list[bytes]()

    def __call__(self, talk: Talk, request: Request) -> bytes | None:
        self.targets.append(request.target)
        if not self.answers:
            return None
        answer = self.answers.pop(0)
        if answer is None:
            talk.reset()
        return answer


def ok(body: bytes) -> bytes:
    return write_response(200, [], body)


def follow(
    agent: Agent, version: int | None, calls: int, within: float | None = None
) -> tuple[list[Listing], list[str]]:
    listings: list[Listing] = []
    failures_seen: list[str] = []

    async def test() -> None:
        async with StandIn(agent) as stand_in:
            loop = asyncio.get_running_loop()
            poller = Discovery(loop, stand_in.address, listings.append, failures_seen.append, within)
            poller.start(version)
            await until(lambda: len(agent.targets) >= calls)
            poller.close()

    run(test)
    return listings, failures_seen


def test_consecutive_polls_use_one_connection() -> None:
    agent = Agent(ok(as_json(42, False, entry("a", A))), ok(as_json(42, False)), ok(as_json(50, True)))
    listings, failures_seen = follow(agent, 41, 4)
    assert agent.targets == [POLL % 41, POLL % 42, POLL % 42, POLL % 50]
    assert [(x.version, x.whole, len(x.entries)) for x in listings] == [
        (42, False, 1),
        (42, False, 0),
        (50, True, 0),
    ]
    assert not failures_seen


def test_without_a_version_the_complete_list_is_fetched_first() -> None:
    agent = Agent(ok(as_json(7, True, entry("a", A))))
    listings, _ = follow(agent, None, 2)
    assert agent.targets == [b"/v1/servers", POLL % 7]
    assert listings[0].whole


@pytest.mark.parametrize(
    "bad",
    [
        ok(b"no json"),
        ok(b"[]"),
        ok(b'{"seq":1,"hosts":[]}'),
        ok(b'{"seq":43,"whole":false,"hosts":[{"host":"a"}]}'),
        ok(as_json(43, False, entry("a", A)).replace(b'"up"', b'"odd"')),
        ok(as_json(43, False, entry("a", A)).replace(b"127.0.0.1:9001", b"nowhere")),
        ok(as_json(40, False)),  # older than the known version
    ],
)
def test_after_an_invalid_response_the_complete_list_is_fetched(bad: bytes | None) -> None:
    agent = Agent(bad, bad, ok(as_json(60, True, entry("a", A))))
    listings, failures_seen = follow(agent, 41, 4)
    assert agent.targets == [POLL % 41, b"/v1/servers", b"/v1/servers", POLL % 60]
    assert [x.version for x in listings] == [60]
    assert len(failures_seen) == 2


def test_an_older_complete_list_is_not_accepted_from_a_poll() -> None:
    """A poll returns newer versions only; an old list would set draining workers to serving again."""
    old = ok(as_json(40, True, entry("a", A)))
    agent = Agent(old, ok(as_json(60, True, entry("a", A, "draining"))))
    listings, failures_seen = follow(agent, 41, 3)
    assert agent.targets == [POLL % 41, b"/v1/servers", POLL % 60]
    assert [x.version for x in listings] == [60]
    assert len(failures_seen) == 1


@pytest.mark.parametrize("bad", [write_response(500, []), write_response(503, [])])
def test_after_a_rejection_polling_continues_from_the_known_version(bad: bytes) -> None:
    """The complete list costs discovery more; all rejected gateways requested it at once, repeatedly."""
    agent = Agent(bad, bad, ok(as_json(60, True, entry("a", A))))
    listings, failures_seen = follow(agent, 41, 4)
    assert agent.targets == [POLL % 41, POLL % 41, POLL % 41, POLL % 60]
    assert [x.version for x in listings] == [60]
    assert len(failures_seen) == 2


@pytest.mark.parametrize("bad", [None, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 8\r\n\r\n"])
def test_after_a_broken_poll_calls_ask_for_an_immediate_response(bad: bytes | None) -> None:
    """The calls still ask for changes since the known version, as the complete list costs discovery more."""
    agent = Agent(bad, bad, ok(as_json(60, True, entry("a", A))), bad, ok(as_json(61, False)))
    listings, failures_seen = follow(agent, 41, 6)
    assert agent.targets == [
        POLL % 41,
        IMMEDIATE_POLL % 41,
        IMMEDIATE_POLL % 41,
        POLL % 60,
        IMMEDIATE_POLL % 60,
        POLL % 61,
    ]
    assert [x.version for x in listings] == [60, 61]
    assert len(failures_seen) == 3


def test_updates_missed_by_a_broken_poll_are_fetched_before_they_count_as_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where lists are polled, an update counts as delivered 6 s after discovery became unresponsive, or after
    the end of an outage; sending may continue for at least 0.5 s more. The third call of an unresponsive poll
    came 12 s after that, and the first call after an outage up to 11 s after its end.
    """
    monkeypatch.setattr(discovery, "BACKOFF_S", BACKOFF_S)
    monkeypatch.setattr("random.uniform", lambda low, high: high)  # the longest backoff each time
    calls, clock, pollers = list[float](), 0.0, list[Discovery]()

    class Loop:
        """A simulated clock; no call gets a response."""

        def call_later(self, delay: float, callback: Callable[[], None]) -> None:
            nonlocal clock
            clock += delay
            if callback != pollers[0].overdue:  # the timer of the next call
                calls.append(clock)

    async def test() -> None:
        poller = Discovery(asyncio.get_running_loop(), A, lambda x: None, lambda reason: None)
        pollers.append(poller)
        poller.loop = Loop()  # type: ignore[assignment]
        monkeypatch.setattr(poller.pool, "start", lambda *args: None)
        poller.version, poller.known = 41, True
        for _ in range(12):
            poller.call()
            poller.ended(Ending.TIMED_OUT, None)

    run(test)
    assert calls[0] <= 3.5
    assert calls[1] <= 6.5
    assert len(calls) == 12
    assert all(later - sooner <= 6.5 for sooner, later in itertools.pairwise(calls))


def test_an_agent_is_called_again_at_once_and_without_a_wait() -> None:
    """An update that the agent has counts as delivered as soon as an outage ends: with backoffs of 2 to 8 s
    and calls that wait, a drain was applied too late.
    """
    agent = Agent(None, write_response(503, []), None, ok(as_json(60, False)))
    listings, failures_seen = follow(agent, 41, 5, within=8.0)
    assert agent.targets == [
        POLL % 41,
        IMMEDIATE_POLL % 41,
        IMMEDIATE_POLL % 41,
        IMMEDIATE_POLL % 41,
        POLL % 60,
    ]
    assert [x.version for x in listings] == [60]
    assert len(failures_seen) == 3


@pytest.mark.parametrize("within", [0.5, 1.0, 2.0])
def test_updates_of_an_agent_arrive_in_time_even_if_an_outage_broke_a_new_poll(within: float) -> None:
    """Updates that the agent got during an outage count as delivered at its end: a poll of 2 s and a margin
    of 1 s were too long. The worst case has the longest failures, the last one just before the end.
    """
    loop = type("Loop", (), {})()
    poller = Discovery(loop, A, lambda x: None, lambda reason: None, within)
    longest = poller.wait_ms / 1000 + poller.margin_s + discovery.BACKOFF_AGENT_S[0]
    retry = poller.margin_s + discovery.BACKOFF_AGENT_S[1]
    assert max(longest, retry) <= 0.9 * within


def test_an_unresponsive_poll_is_reopened_within_its_fraction_of_the_time() -> None:
    agent = Agent()  # does not respond, as after an outage shorter than the poll
    _, failures_seen = follow(agent, 41, 3, within=1.0)
    assert agent.targets[:2] == [b"/v1/servers?index=41&wait=250", b"/v1/servers?index=41&wait=0"]
    assert failures_seen


def test_changes_in_response_to_a_request_for_the_complete_list_are_a_gap() -> None:
    agent = Agent(ok(as_json(60, False)), ok(as_json(60, True)))
    listings, failures_seen = follow(agent, None, 3)
    assert len(failures_seen) == 1
    assert [x.whole for x in listings] == [True]


def test_a_missing_response_is_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "WAIT_MS", 20)
    monkeypatch.setattr(discovery, "MARGIN_S", 0.02)
    agent = Agent()
    _, failures_seen = follow(agent, 41, 3)
    assert agent.targets == [b"/v1/servers?index=41&wait=20", IMMEDIATE_POLL % 41, IMMEDIATE_POLL % 41]
    assert len(failures_seen) == 2


def test_backoffs_after_failures_grow_and_are_bounded() -> None:
    async def test() -> None:
        backoffs: list[float] = []
        loop = asyncio.get_running_loop()
        poller = Discovery(loop, A, lambda x: None, lambda reason: None)
        poller.loop = type("Loop", (), {"call_later": lambda self, s, f: backoffs.append(s)})()
        for known, (first, longest) in ((False, discovery.BACKOFF_NO_LIST_S), (True, discovery.BACKOFF_S)):
            poller.known, poller.failures = known, 0
            backoffs.clear()
            for _ in range(40):
                poller.retry("a test")
            assert first / 2 <= backoffs[0] <= first
            assert max(backoffs) <= longest
            assert min(backoffs[10:]) >= longest / 2


def test_gateways_with_a_list_do_not_overload_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    """28 of 40 gateways restart at once with an old list and are rejected: they make at most 56 calls in
    any 5 s after the first call.
    """
    monkeypatch.setattr(discovery, "BACKOFF_S", BACKOFF_S)

    async def test() -> None:
        calls: list[float] = []
        for _ in range(28):
            backoffs: list[float] = []
            loop = type(
                "Loop", (), {"call_later": lambda self, s, f, backoffs=backoffs: backoffs.append(s)}
            )()
            poller = Discovery(asyncio.get_running_loop(), A, lambda x: None, lambda reason: None)
            poller.loop, poller.known = loop, True
            while sum(backoffs) < 20.0:
                poller.retry("a test")
            calls += itertools.accumulate(backoffs)
        assert all(sum(a <= at < a + 5.0 for at in calls) <= 56 for a in range(15))

    run(test)


@pytest.mark.parametrize(
    "text",
    [
        "{}",
        '{"seq":"x","whole":true,"hosts":[]}',
        '{"seq":1,"whole":1,"hosts":[]}',
        '{"seq":1,"whole":true,"hosts":5}',
    ],
)
def test_malformed_lists_are_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        read_listing(orjson.loads(text))


def test_worker_ids_are_local_and_valid_while_a_worker_is_listed() -> None:
    directory = Directory(lambda: 1000.0, lambda: 5000.0)
    first = directory.take(
        listing(entry("a", A), entry("b", B, "draining", cell=3)), interface.ListForm.REMEMBERED
    )
    assert [(s.id, s.mode, s.cell) for s in first.servers] == [
        (1, interface.Mode.SERVING, 0),
        (2, interface.Mode.DRAINING, 3),
    ]
    assert directory.wanted() == {Target(1, A)}
    changed = directory.take(listing(entry("b", C), whole=False), interface.ListForm.CHANGES)
    assert [s.id for s in changed.servers] == [2]
    assert directory.targets == {1: Target(1, A), 2: Target(2, C)}
    gone = directory.take(listing(entry("a", A, "removed"), whole=False), interface.ListForm.CHANGES)
    assert [(s.id, s.mode) for s in gone.servers] == [(1, interface.Mode.DELETED)]
    assert directory.targets == {2: Target(2, C)}
    whole = directory.take(listing(entry("a", A)), interface.ListForm.WHOLE)
    assert [s.id for s in whole.servers] == [3]
    assert directory.targets == {3: Target(3, A)}
    assert len(directory.ids) == 1


def test_a_start_time_is_computed_once_however_the_clocks_drift() -> None:
    clock, unix = [1000.0], [5000.0]
    directory = Directory(lambda: clock[0], lambda: unix[0])

    def seen(born_ms: float) -> float:
        return (
            directory.take(listing(entry("a", A, born_ms=born_ms)), interface.ListForm.WHOLE)
            .servers[0]
            .came_up
        )

    assert seen(0) == 0.0
    assert not directory.restarted
    assert seen(4_990_000) == 990.0
    assert directory.restarted == {Target(1, A): 990.0}
    clock[0], unix[0] = 1100.0, 5100.7
    assert seen(4_990_000) == 990.0
    assert seen(5_090_700) == pytest.approx(1090.0)


def test_the_policy_gets_the_remembered_list_first_and_then_the_changes() -> None:
    async def test() -> None:
        agent = Agent(ok(as_json(2, False, entry("s-1", A, "draining"))))
        module = Script()
        async with StandIn(agent) as stand_in, Rig(module, A, B, discovery=stand_in.address) as rig:
            await until(lambda: len(module.of(interface.ServerList)) == 2)
            first, second = module.of(interface.ServerList)
            assert (first.form, [s.id for s in first.servers]) == (interface.ListForm.REMEMBERED, [1, 2])
            assert (second.form, [s.mode for s in second.servers]) == (
                interface.ListForm.CHANGES,
                [interface.Mode.DRAINING],
            )
            assert agent.targets[0] == b"/v1/servers?index=1&wait=250"
            assert rig.gateway.ready

    run(test)


def test_a_gateway_without_a_list_is_ready_after_the_first_list() -> None:
    async def test() -> None:
        agent = Agent(None, ok(as_json(2, True, entry("s-1", A))))
        async with StandIn(agent) as stand_in, Rig(Script(), discovery=stand_in.address) as rig:
            assert not rig.gateway.ready
            await until(lambda: rig.gateway.ready)
            assert agent.targets[0] == b"/v1/servers"

    run(test)
