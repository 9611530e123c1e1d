"""Following the list of workers: the calls that are made, and what the module is told."""

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
from pewterring.standalone.policy import interface as i
from pewterring.standalone.proxy.directory import Directory
from tests.standalone.stand_ins import Rig, Script, StandIn, Talk, as_json, entry, listing, run, until

A, B, C = (Address("127.0.0.1", n) for n in (9001, 9002, 9003))
WATCH, AT_ONCE = b"/v1/servers?index=%d&wait=2000", b"/v1/servers?index=%d&wait=0"
BACKOFF_S = discovery.BACKOFF_S


@pytest.fixture(autouse=True)
def without_long_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "BACKOFF_S", (0.05, 2.0))


class Agent:
    """Gives these answers one after the other, then says nothing more."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers, self.asked = list(answers), list[bytes]()

    def __call__(self, talk: Talk, request: Request) -> bytes | None:
        self.asked.append(request.target)
        if not self.answers:
            return None
        answer = self.answers.pop(0)
        if answer is None:
            talk.reset()
        return answer


def ok(body: bytes) -> bytes:
    return write_response(200, [], body)


def followed(
    agent: Agent, version: int | None, calls: int, within: float | None = None
) -> tuple[list[Listing], list[str]]:
    told: list[Listing] = []
    failed: list[str] = []

    async def test() -> None:
        async with StandIn(agent) as stand_in:
            loop = asyncio.get_running_loop()
            watch = Discovery(loop, stand_in.address, told.append, failed.append, within)
            watch.start(version)
            await until(lambda: len(agent.asked) >= calls)
            watch.close()

    run(test)
    return told, failed


def test_one_watch_follows_the_other_on_one_connection() -> None:
    agent = Agent(ok(as_json(42, False, entry("a", A))), ok(as_json(42, False)), ok(as_json(50, True)))
    told, failed = followed(agent, 41, 4)
    assert agent.asked == [WATCH % 41, WATCH % 42, WATCH % 42, WATCH % 50]
    assert [(x.version, x.whole, len(x.entries)) for x in told] == [
        (42, False, 1),
        (42, False, 0),
        (50, True, 0),
    ]
    assert not failed


def test_without_a_version_the_whole_list_comes_first() -> None:
    agent = Agent(ok(as_json(7, True, entry("a", A))))
    told, _ = followed(agent, None, 2)
    assert agent.asked == [b"/v1/servers", WATCH % 7]
    assert told[0].whole


@pytest.mark.parametrize(
    "bad",
    [
        ok(b"no json"),
        ok(b"[]"),
        ok(b'{"seq":1,"hosts":[]}'),
        ok(b'{"seq":43,"whole":false,"hosts":[{"host":"a"}]}'),
        ok(as_json(43, False, entry("a", A)).replace(b'"up"', b'"odd"')),
        ok(as_json(43, False, entry("a", A)).replace(b"127.0.0.1:9001", b"nowhere")),
        ok(as_json(40, False)),  # older than what is known: not its continuation
    ],
)
def test_after_an_answer_that_does_not_follow_the_whole_list(bad: bytes | None) -> None:
    agent = Agent(bad, bad, ok(as_json(60, True, entry("a", A))))
    told, failed = followed(agent, 41, 4)
    assert agent.asked == [WATCH % 41, b"/v1/servers", b"/v1/servers", WATCH % 60]
    assert [x.version for x in told] == [60]
    assert len(failed) == 2


def test_an_older_whole_list_is_no_answer_to_a_watch() -> None:
    """A watch is answered with what is newer; in an old list who drains since would be up again."""
    old = ok(as_json(40, True, entry("a", A)))
    agent = Agent(old, ok(as_json(60, True, entry("a", A, "draining"))))
    told, failed = followed(agent, 41, 3)
    assert agent.asked == [WATCH % 41, b"/v1/servers", WATCH % 60]
    assert [x.version for x in told] == [60]
    assert len(failed) == 1


@pytest.mark.parametrize("bad", [write_response(500, []), write_response(503, [])])
def test_after_a_refusal_the_watch_goes_on(bad: bytes) -> None:
    """The whole list costs discovery more; all that it turned away asked for it at once, and again."""
    agent = Agent(bad, bad, ok(as_json(60, True, entry("a", A))))
    told, failed = followed(agent, 41, 4)
    assert agent.asked == [WATCH % 41, WATCH % 41, WATCH % 41, WATCH % 60]
    assert [x.version for x in told] == [60]
    assert len(failed) == 2


@pytest.mark.parametrize("bad", [None, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 8\r\n\r\n"])
def test_a_watch_that_broke_goes_on_with_calls_that_wait_for_nothing(bad: bytes | None) -> None:
    """From the version known, all the same: the whole list costs discovery more."""
    agent = Agent(bad, bad, ok(as_json(60, True, entry("a", A))), bad, ok(as_json(61, False)))
    told, failed = followed(agent, 41, 6)
    assert agent.asked == [WATCH % 41, AT_ONCE % 41, AT_ONCE % 41, WATCH % 60, AT_ONCE % 60, WATCH % 61]
    assert [x.version for x in told] == [60, 61]
    assert len(failed) == 3


def test_what_a_broken_watch_missed_is_asked_for_before_it_counts_as_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It does 6 s after the silence, or after the end of an outage, where lists are asked for; sending may go
    on for half a second at the least. The third call of a watch that fell silent came 12 s after that, the
    first one after an outage up to 11 s behind its end.
    """
    monkeypatch.setattr(discovery, "BACKOFF_S", BACKOFF_S)
    monkeypatch.setattr("random.uniform", lambda low, high: high)  # each pause as long as it may be
    calls, clock, watches = list[float](), 0.0, list[Discovery]()

    class Loop:
        """A clock of the test's own, on which each call stays without an answer."""

        def call_later(self, past: float, do: Callable[[], None]) -> None:
            nonlocal clock
            clock += past
            if do != watches[0].overdue:  # the next call
                calls.append(clock)

    async def test() -> None:
        watch = Discovery(asyncio.get_running_loop(), A, lambda x: None, lambda why: None)
        watches.append(watch)
        watch.loop = Loop()  # type: ignore[assignment]
        monkeypatch.setattr(watch.pool, "start", lambda *asked: None)
        watch.version, watch.known = 41, True
        for _ in range(12):
            watch.call()
            watch.ended(Ending.TIMED_OUT, None)

    run(test)
    assert calls[0] <= 3.5
    assert calls[1] <= 6.5
    assert len(calls) == 12
    assert all(later - sooner <= 6.5 for sooner, later in itertools.pairwise(calls))


def test_an_agent_is_asked_again_at_once_and_without_a_wait() -> None:
    """What it has counts as told from the first moment after an outage: pauses of 2 to 8 s and calls that may
    wait came too late for a drain.
    """
    agent = Agent(None, write_response(503, []), None, ok(as_json(60, False)))
    told, failed = followed(agent, 41, 5, within=8.0)
    assert agent.asked == [WATCH % 41, AT_ONCE % 41, AT_ONCE % 41, AT_ONCE % 41, WATCH % 60]
    assert [x.version for x in told] == [60]
    assert len(failed) == 3


@pytest.mark.parametrize("within", [0.5, 1.0, 2.0])
def test_an_agent_s_news_come_in_time_even_if_an_outage_broke_the_watch_just_opened(within: float) -> None:
    """What it got meanwhile counts as told at its return: a watch of 2 s and a second more came too late.
    Reckoned with every failure at its longest, the last of them just before the return.
    """
    loop = type("Loop", (), {})()
    watch = Discovery(loop, A, lambda x: None, lambda why: None, within)
    longest = watch.wait_ms / 1000 + watch.margin_s + discovery.BACKOFF_AGENT_S[0]
    again = watch.margin_s + discovery.BACKOFF_AGENT_S[1]
    assert max(longest, again) <= 0.9 * within


def test_a_watch_that_falls_silent_is_opened_anew_within_its_part_of_the_time() -> None:
    agent = Agent()  # says nothing, as after an outage that was shorter than the watch
    _, failed = followed(agent, 41, 3, within=1.0)
    assert agent.asked[:2] == [b"/v1/servers?index=41&wait=250", b"/v1/servers?index=41&wait=0"]
    assert failed


def test_changes_in_answer_to_the_whole_list_are_a_gap() -> None:
    agent = Agent(ok(as_json(60, False)), ok(as_json(60, True)))
    told, failed = followed(agent, None, 3)
    assert len(failed) == 1
    assert [x.whole for x in told] == [True]


def test_silence_is_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "WAIT_MS", 20)
    monkeypatch.setattr(discovery, "MARGIN_S", 0.02)
    agent = Agent()
    _, failed = followed(agent, 41, 3)
    assert agent.asked == [b"/v1/servers?index=41&wait=20", AT_ONCE % 41, AT_ONCE % 41]
    assert len(failed) == 2


def test_pauses_after_failures_grow_and_are_bounded() -> None:
    async def test() -> None:
        pauses: list[float] = []
        loop = asyncio.get_running_loop()
        watch = Discovery(loop, A, lambda x: None, lambda why: None)
        watch.loop = type("Loop", (), {"call_later": lambda self, s, f: pauses.append(s)})()
        for known, (first, most) in ((False, discovery.BACKOFF_NO_LIST_S), (True, discovery.BACKOFF_S)):
            watch.known, watch.failures = known, 0
            pauses.clear()
            for _ in range(40):
                watch.retry("a test")
            assert first / 2 <= pauses[0] <= first
            assert max(pauses) <= most
            assert min(pauses[10:]) >= most / 2


def test_who_knows_a_list_leaves_an_overbooked_discovery_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Twenty-eight of forty gatekeepers restart at once, know an old list and are turned away: in no five
    seconds after the first do they call more than 56 times.
    """
    monkeypatch.setattr(discovery, "BACKOFF_S", BACKOFF_S)

    async def test() -> None:
        calls: list[float] = []
        for _ in range(28):
            pauses: list[float] = []
            loop = type("Loop", (), {"call_later": lambda self, s, f, pauses=pauses: pauses.append(s)})()
            watch = Discovery(asyncio.get_running_loop(), A, lambda x: None, lambda why: None)
            watch.loop, watch.known = loop, True
            while sum(pauses) < 20.0:
                watch.retry("a test")
            calls += itertools.accumulate(pauses)
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
def test_what_is_no_list(text: str) -> None:
    with pytest.raises(ValueError):
        read_listing(orjson.loads(text))


def test_numbers_are_our_own_and_last_while_a_worker_is_listed() -> None:
    directory = Directory(lambda: 1000.0, lambda: 5000.0)
    first = directory.take(listing(entry("a", A), entry("b", B, "draining", cell=3)), i.ListForm.REMEMBERED)
    assert [(s.id, s.mode, s.cell) for s in first.servers] == [
        (1, i.Mode.SERVING, 0),
        (2, i.Mode.DRAINING, 3),
    ]
    assert directory.wanted() == {Target(1, A)}
    changed = directory.take(listing(entry("b", C), whole=False), i.ListForm.CHANGES)
    assert [s.id for s in changed.servers] == [2]
    assert directory.targets == {1: Target(1, A), 2: Target(2, C)}
    gone = directory.take(listing(entry("a", A, "removed"), whole=False), i.ListForm.CHANGES)
    assert [(s.id, s.mode) for s in gone.servers] == [(1, i.Mode.DELETED)]
    assert directory.targets == {2: Target(2, C)}
    whole = directory.take(listing(entry("a", A)), i.ListForm.WHOLE)
    assert [s.id for s in whole.servers] == [3]
    assert directory.targets == {3: Target(3, A)}
    assert len(directory.ids) == 1


def test_a_start_is_reckoned_once_however_the_clocks_drift() -> None:
    clock, unix = [1000.0], [5000.0]
    directory = Directory(lambda: clock[0], lambda: unix[0])

    def seen(born_ms: float) -> float:
        return directory.take(listing(entry("a", A, born_ms=born_ms)), i.ListForm.WHOLE).servers[0].came_up

    assert seen(0) == 0.0
    assert not directory.restarted
    assert seen(4_990_000) == 990.0
    assert directory.restarted == {Target(1, A): 990.0}
    clock[0], unix[0] = 1100.0, 5100.7
    assert seen(4_990_000) == 990.0
    assert seen(5_090_700) == pytest.approx(1090.0)


def test_the_module_hears_what_was_known_first_and_then_the_changes() -> None:
    async def test() -> None:
        agent = Agent(ok(as_json(2, False, entry("s-1", A, "draining"))))
        module = Script()
        async with StandIn(agent) as stand_in, Rig(module, A, B, discovery=stand_in.address) as rig:
            await until(lambda: len(module.of(i.ServerList)) == 2)
            first, second = module.of(i.ServerList)
            assert (first.form, [s.id for s in first.servers]) == (i.ListForm.REMEMBERED, [1, 2])
            assert (second.form, [s.mode for s in second.servers]) == (i.ListForm.CHANGES, [i.Mode.DRAINING])
            assert agent.asked[0] == b"/v1/servers?index=1&wait=250"
            assert rig.gateway.ready

    run(test)


def test_a_gatekeeper_that_knows_nobody_is_ready_with_the_first_list() -> None:
    async def test() -> None:
        agent = Agent(None, ok(as_json(2, True, entry("s-1", A))))
        async with StandIn(agent) as stand_in, Rig(Script(), discovery=stand_in.address) as rig:
            assert not rig.gateway.ready
            await until(lambda: rig.gateway.ready)
            assert agent.asked[0] == b"/v1/servers"

    run(test)
