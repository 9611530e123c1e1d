"""The pool of connections to workers, and all endings of connections and exchanges."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import pytest

from pewterring.standalone.http.messages import Request, Response
from pewterring.standalone.http.reader import MAX_ANSWER
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.network.connection import Address
from pewterring.standalone.network.descriptors import Descriptors
from pewterring.standalone.network.ending import CODES, Ending, of_answer
from pewterring.standalone.network.workers import Exchange, Pool, Target, WorkerConnection
from pewterring.standalone.policy.interface import NEVER_RAN, Code
from tests.standalone.stand_ins import OK, StandIn, Talk, asking, rested, run, until


class RecordingPool:
    """A pool that records the endings of its exchanges."""

    def __init__(self, idle_s: float = 60.0, connect_s: float = 1.0, descriptors: int = 1000) -> None:
        self.loop = asyncio.get_running_loop()
        self.budget = Descriptors(descriptors)
        self.pool = Pool(self.loop, self.budget, connect_s, idle_s)
        self.budget.shed_early = self.pool.shed
        self.results: list[Ending] = []

    def start(self, address: Address, data: bytes = b"", fresh: bool = False) -> Exchange:
        def done(ending: Ending, response: Response | None) -> None:
            self.results.append(ending)

        return self.pool.start(Target(1, address), data or asking(), done, fresh=fresh)

    async def request(self, address: Address) -> Ending:
        count = len(self.results)
        self.start(address)
        await until(lambda: len(self.results) > count)
        return self.results[-1]


def leave_unanswered(talk: Talk, request: Request) -> None:
    """Leaves the request unanswered until the test writes a response."""


def test_every_ending_has_a_code_and_only_requests_that_reached_no_worker_count_as_never_run() -> None:
    assert set(CODES) == set(Ending)
    proven = {ending for ending, code in CODES.items() if code in NEVER_RAN}
    assert proven == {
        Ending.TURNED_AWAY,
        Ending.REFUSED,
        Ending.NEVER_UP,
        Ending.NO_DESCRIPTOR,
        Ending.BROKEN_EARLY,
        Ending.TOO_LATE,
        Ending.UNKNOWN,
    }
    assert {code for code in CODES.values() if code} == set(Code)


@pytest.mark.parametrize(
    ("status", "not_run", "ending"),
    [
        (200, b"1", Ending.SERVED),
        (201, None, Ending.ERROR),
        (500, b"1", Ending.ERROR),
        (503, None, Ending.ERROR),
        (503, b"1", Ending.TURNED_AWAY),
        (504, b"1", Ending.TURNED_AWAY),
        (504, b"yes", Ending.ERROR),
    ],
)
def test_responses_are_classified_by_status_and_header(
    status: int, not_run: bytes | None, ending: Ending
) -> None:
    assert of_answer(Response(status, [(b"x-not-run", not_run)] if not_run else [])) is ending


def test_the_most_recently_used_idle_connection_is_reused_first() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as worker:
            for _ in range(3):
                recorder.start(worker.address)
            await until(lambda: len(worker.requests) == 3)
            order = [worker.talks[n] for n in (1, 2, 0)]
            for n, talk in enumerate(order, 1):
                talk.write(OK)
                await until(lambda n=n: len(recorder.results) == n)  # type: ignore[misc]
            worker.answer = lambda talk, request: OK
            rested(recorder.pool)
            assert await recorder.request(worker.address) is Ending.SERVED
            assert [len(talk.requests) for talk in order] == [1, 1, 2]
            assert (recorder.pool.opened, recorder.pool.reused) == (3, 1)

    run(test)


def test_idle_connections_are_dropped_well_before_their_idle_timeout() -> None:
    async def test() -> None:
        recorder = RecordingPool(idle_s=1.0)
        async with StandIn() as worker:
            assert await recorder.request(worker.address) is Ending.SERVED
            (connection,) = recorder.pool.idle[Target(1, worker.address)]
            connection.idle_since -= 0.4
            recorder.pool.sweep()
            assert recorder.pool.idle[Target(1, worker.address)] == [connection]
            connection.idle_since -= 0.2
            recorder.pool.sweep()
            assert not recorder.pool.idle
            await until(lambda: worker.talks[0].ended)
            assert await recorder.request(worker.address) is Ending.SERVED  # on a new connection
            # Expired, but not removed by a sweep yet.
            recorder.pool.idle[Target(1, worker.address)][0].idle_since -= 0.6
            assert await recorder.request(worker.address) is Ending.SERVED
            assert recorder.pool.opened == 3
            assert recorder.pool.reused == 0

    run(test)


@pytest.mark.parametrize("what", ["spoke", "closed", "reset"])
def test_a_connection_with_unsolicited_data_or_a_close_is_not_reused(what: str) -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn() as worker:
            assert await recorder.request(worker.address) is Ending.SERVED
            talk = worker.talks[0]
            {"spoke": lambda: talk.write(OK), "closed": talk.close, "reset": talk.reset}[what]()
            await until(lambda: not recorder.pool.idle.get(Target(1, worker.address)))
            assert await recorder.request(worker.address) is Ending.SERVED
            assert len(worker.talks) == 2

    run(test)


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"more",
        write_response(200, [], b"x", keep_alive=False),
        b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_connections_are_not_reused_after_these_responses(answer: bytes) -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(lambda talk, request: answer) as worker:
            assert [await recorder.request(worker.address) for _ in range(2)] == [Ending.SERVED] * 2
            assert len(worker.talks) == 2
            assert not recorder.pool.idle

    run(test)


def test_an_unread_close_is_detected_before_reuse() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn() as worker:
            assert await recorder.request(worker.address) is Ending.SERVED
            far = worker.talks[0].writer.get_extra_info("socket")
            with socket.socket(fileno=socket.dup(far.fileno())) as copy:
                copy.shutdown(socket.SHUT_WR)
            assert await recorder.request(worker.address) is Ending.SERVED
            assert [len(talk.requests) for talk in worker.talks] == [1, 1]

    run(test)


def test_an_idle_connection_whose_first_write_fails_counts_as_already_dead() -> None:
    """Its first write fails, so the worker got no byte and the request is sent on the next connection."""

    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn() as worker:
            assert await recorder.request(worker.address) is Ending.SERVED
            (connection,) = recorder.pool.idle[Target(1, worker.address)]
            sock = connection.transport.get_extra_info("socket")
            socket.socket(fileno=socket.dup(sock.fileno())).shutdown(socket.SHUT_WR)
            assert await recorder.request(worker.address) is Ending.SERVED
            assert [len(talk.requests) for talk in worker.talks] == [1, 1]

    run(test)


def test_a_refused_connection_differs_from_one_never_established() -> None:
    async def test() -> None:
        recorder = RecordingPool(connect_s=0.1)
        async with StandIn() as worker:
            address = worker.address
        assert await recorder.request(address) is Ending.REFUSED
        with socket.socket() as full:  # its accept queue is full: connections are never established
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            waiting = [socket.socket() for _ in range(4)]
            for one in waiting:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            assert await recorder.request(Address(*full.getsockname())) is Ending.NEVER_UP
            for one in waiting:
                one.close()
        await until(lambda: recorder.budget.used == 0)

    run(test)


class LimitedTransport:
    """A transport that pauses writing after more than `takes` bytes."""

    def __init__(self, takes: int) -> None:
        self.takes, self.closed = takes, False

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def write(self, data: bytes) -> None:
        if len(data) > self.takes:
            self.connection.pause_writing()

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    connection: WorkerConnection


def connected_exchange(recorder: RecordingPool, takes: int) -> tuple[WorkerConnection, Exchange]:
    connection = WorkerConnection(recorder.pool, Target(1, Address("127.0.0.1", 9)))
    transport = LimitedTransport(takes)
    transport.connection = connection
    assert recorder.budget.take()
    connection.connection_made(cast(asyncio.Transport, transport))
    exchange = Exchange(
        recorder.pool, connection.target, asking(), False, lambda e, r: recorder.results.append(e)
    )
    assert connection.send(exchange)
    return connection, exchange


def feed(connection: WorkerConnection, data: bytes) -> bool:
    connection.get_buffer(len(data))[: len(data)] = data
    connection.buffer_updated(len(data))
    return True


@pytest.mark.parametrize(
    ("takes", "then", "ending"),
    [
        (10, lambda c, e: c.connection_lost(OSError()), Ending.BROKEN_EARLY),
        (10, lambda c, e: c.eof_received(), Ending.BROKEN_EARLY),
        (10, lambda c, e: e.give_up(Ending.TIMED_OUT), Ending.BROKEN_EARLY),
        (10, lambda c, e: e.give_up(Ending.CANCELLED), Ending.TOO_LATE),
        (10, lambda c, e: e.withdraw(), Ending.TOO_LATE),
        (9999, lambda c, e: e.give_up(Ending.CANCELLED), Ending.CANCELLED),
        (9999, lambda c, e: (e.withdraw(), feed(c, OK)), Ending.SERVED),
        (10, lambda c, e: (c.resume_writing(), c.connection_lost(OSError())), Ending.RESET),
        (10, lambda c, e: feed(c, OK), Ending.SERVED),
        (9999, lambda c, e: c.connection_lost(OSError()), Ending.RESET),
        (9999, lambda c, e: c.connection_lost(None), Ending.RESET),
        (9999, lambda c, e: (feed(c, OK[:9]), c.connection_lost(OSError())), Ending.CUT),
        (
            9999,
            lambda c, e: (feed(c, b"HTTP/1.1 200 OK\r\n\r\nab"), c.connection_lost(OSError())),
            Ending.CUT,
        ),
        (9999, lambda c, e: (feed(c, b"HTTP/1.1 200 OK\r\n\r\nab"), c.eof_received()), Ending.SERVED),
        (9999, lambda c, e: e.give_up(Ending.TIMED_OUT), Ending.TIMED_OUT),
    ],
)
def test_a_request_not_completely_written_when_the_connection_breaks_never_ran(
    takes: int, then: Callable[[WorkerConnection, Exchange], object], ending: Ending
) -> None:
    async def test() -> None:
        recorder = RecordingPool()
        connection, exchange = connected_exchange(recorder, takes)
        then(connection, exchange)
        connection.connection_lost(None) if connection.up else None
        assert recorder.results == [ending]
        assert exchange.ending is ending
        if takes == 10 and ending is Ending.SERVED:
            assert not recorder.pool.idle  # part of the request is still unsent on it

    run(test)


def test_an_exchange_abandoned_while_connecting_never_ran_and_leaks_nothing() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as worker:
            recorder.start(worker.address).give_up(Ending.TIMED_OUT)
            recorder.start(worker.address).give_up(Ending.CANCELLED)
            recorder.start(worker.address).withdraw()
            assert recorder.results == [Ending.NEVER_UP, Ending.TOO_LATE, Ending.TOO_LATE]
            await until(lambda: not recorder.pool.opening)
            await until(lambda: recorder.budget.used == 0)
            assert not worker.requests

    run(test)


def test_an_ending_is_reported_once() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as worker:
            exchange = recorder.start(worker.address)
            await until(lambda: worker.requests)
            exchange.give_up(Ending.CANCELLED)
            exchange.give_up(Ending.TIMED_OUT)
            exchange.end(Ending.SERVED)
            await until(lambda: worker.talks[0].ended)
            assert recorder.results == [Ending.CANCELLED]

    run(test)


def test_a_reset_drops_the_idle_connections_to_the_same_worker() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as worker:
            for _ in range(2):
                recorder.start(worker.address)
            await until(lambda: len(worker.requests) == 2)
            worker.talks[0].write(OK)
            await until(lambda: recorder.pool.idle)
            worker.talks[1].reset()
            await until(lambda: not recorder.pool.idle)
            assert recorder.results == [Ending.SERVED, Ending.RESET]

    run(test)


def test_idle_connections_are_closed_first_and_without_a_descriptor_an_attempt_never_ran() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        recorder.budget.hard, recorder.budget.soft = 2, 1
        async with StandIn() as one, StandIn(leave_unanswered) as two:
            assert await recorder.request(one.address) is Ending.SERVED
            recorder.start(two.address)  # closes the idle connection
            await until(lambda: two.requests and one.talks[0].ended)
            recorder.start(two.address)
            await until(lambda: len(two.requests) == 2)
            recorder.start(two.address)
            assert recorder.results[1:] == [Ending.NO_DESCRIPTOR]
            two.talks[0].write(OK)
            two.talks[1].reset()
            await until(lambda: len(recorder.results) == 4)
            await until(lambda: recorder.budget.used <= 1)

    run(test)


def test_a_request_still_connecting_to_a_draining_worker_never_reaches_it() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as draining, StandIn(leave_unanswered) as serving:
            recorder.start(draining.address)
            recorder.start(serving.address)
            recorder.pool.retain({Target(1, serving.address)})
            assert recorder.results == [Ending.NEVER_UP]
            await until(lambda: serving.requests and not recorder.pool.opening)
            assert not draining.requests
            sent = recorder.start(serving.address)
            await until(lambda: len(serving.requests) == 2)
            assert sent.task is not None
            recorder.pool.opening[sent.task] = sent  # its task may end shortly after the request was sent
            recorder.pool.retain(set())
            assert sent.ending is None  # the request may run

    run(test)


def test_connections_older_than_their_worker_are_dropped_and_newer_ones_kept() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as worker:
            recorder.start(worker.address)
            await until(lambda: worker.requests)
            between = recorder.loop.time()
            recorder.start(worker.address)
            await until(lambda: len(worker.requests) == 2)
            for talk in worker.talks:
                talk.write(OK)
            await until(lambda: len(recorder.results) == 2)
            recorder.pool.drop_idle(Target(1, worker.address), made_before=between)
            await until(lambda: worker.talks[0].ended)
            assert len(recorder.pool.idle[Target(1, worker.address)]) == 1
            assert not worker.talks[1].ended
            assert recorder.pool.endings == {Ending.LEFT: 1}

    run(test)


def test_connections_to_workers_no_longer_in_use_are_dropped() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn() as one, StandIn() as two:
            assert await recorder.request(one.address) is Ending.SERVED
            assert await recorder.request(two.address) is Ending.SERVED
            recorder.pool.retain({Target(1, two.address)})
            await until(lambda: one.talks[0].ended)
            assert set(recorder.pool.idle) == {Target(1, two.address)}
            assert not two.talks[0].ended
            recorder.pool.close()
            await until(lambda: two.talks[0].ended and recorder.budget.used == 0)

    run(test)


def test_the_budget_reserves_descriptors_to_accept_and_closes_client_connections_last() -> None:
    budget = Descriptors(200)
    assert 2 * budget.calls <= budget.hard
    assert budget.soft < budget.hard < budget.all < 200
    freed, early, late = [], [1, 2], [3]
    budget.freed = lambda: freed.append(1)
    budget.shed_early = lambda: bool(early and early.pop())
    budget.shed_late = lambda: bool(late and late.pop())
    assert all(budget.take() for _ in range(budget.soft))
    assert len(early) == 2
    assert budget.crowded
    assert budget.take()
    assert budget.take()
    assert (early, late) == ([], [3])
    assert sum(budget.take() for _ in range(200)) == budget.hard - budget.soft - 2
    assert not late
    assert sum(budget.take(accepting=True) for _ in range(200)) == budget.all - budget.hard
    budget.give_back()
    assert freed == [1]
    assert budget.take(accepting=True)


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nX-A: ",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\n\r\nends with a connection that stays open",
    ],
)
def test_an_incomplete_response_without_further_data_ends_as_stalled(part: bytes) -> None:
    """Its connection stays open without data: with no timeout the request would wait until its deadline."""

    async def test() -> None:
        recorder = RecordingPool(connect_s=0.05)
        async with StandIn(lambda talk, request: part) as worker:
            assert await recorder.request(worker.address) is Ending.STALLED
            assert CODES[Ending.STALLED] is Code.ABORTED  # the request may have run
            await until(lambda: worker.talks[0].ended and recorder.budget.used == 0)
            worker.answer = lambda talk, request: OK
            assert await recorder.request(worker.address) is Ending.SERVED
            assert len(worker.talks) == 2

    run(test)


@pytest.mark.parametrize(
    "malformed", [b"HTTP/1.1 200 OK\r\n" + b"X-A: 1\r\n" * 4000, b"\x00\xff" * 9000, b"\r\n" * 9000,
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000,
                b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                b"HTTP/1.1 102 Processing\r\n\r\n" * 50]
)  # fmt: skip
def test_a_malformed_response_is_a_failed_attempt_that_may_have_run(malformed: bytes) -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(lambda talk, request: malformed) as worker:
            assert await recorder.request(worker.address) is Ending.MALFORMED
            await until(lambda: worker.talks[0].ended and recorder.budget.used == 0)

    run(test)


def test_a_response_in_small_chunks_is_complete() -> None:
    """The total time is not limited while further data keeps arriving."""

    async def test() -> None:
        def slowly(talk: Talk, request: Request) -> None:
            for n in range(0, len(OK), 5):
                asyncio.get_running_loop().call_later(n / 200, talk.write, OK[n : n + 5])

        recorder = RecordingPool(connect_s=0.2)
        async with StandIn(slowly) as worker:
            assert await recorder.request(worker.address) is Ending.SERVED
            rested(recorder.pool)
            assert await recorder.request(worker.address) is Ending.SERVED
            assert len(worker.talks) == 1

    run(test)


def test_a_new_worker_at_an_old_address_inherits_no_connection() -> None:
    async def test() -> None:
        recorder = RecordingPool()
        async with StandIn(leave_unanswered) as worker:
            old, new = Target(1, worker.address), Target(2, worker.address)
            idle, busy = (
                recorder.pool.start(old, asking(), lambda e, r: recorder.results.append(e)) for _ in range(2)
            )
            await until(lambda: len(worker.requests) == 2)
            worker.talks[0].write(OK)
            await until(lambda: len(recorder.results) == 1)
            recorder.pool.retain({new})  # the old worker is removed, its attempt still in flight
            await until(lambda: worker.talks[0].ended)
            assert busy.ending is None
            worker.talks[1].write(OK)
            await until(lambda: len(recorder.results) == 2)
            await until(lambda: worker.talks[1].ended)  # not reused for the new worker
            worker.answer = lambda talk, request: OK
            recorder.pool.start(new, asking(), lambda e, r: recorder.results.append(e))
            await until(lambda: len(recorder.results) == 3)
            assert len(worker.talks) == 3
            assert idle.ending is Ending.SERVED

    run(test)


def test_a_large_response_is_accepted_within_the_limits_of_size_and_memory() -> None:
    """Workers exceed the 64 KiB of the protocol; an endless response must not exhaust the memory."""

    async def test() -> None:
        recorder = RecordingPool()
        large = write_response(200, [], b"x" * MAX_ANSWER)
        async with StandIn(lambda talk, request: large) as worker:
            assert await recorder.request(worker.address) is Ending.SERVED
            assert recorder.pool.held == 0
            large = write_response(200, [], b"x" * (MAX_ANSWER + 1))
            assert await recorder.request(worker.address) is Ending.MALFORMED
            assert recorder.pool.held == 0
            recorder.pool.room = 200_000
            large = write_response(200, [], b"x" * 300_000)
            assert await recorder.request(worker.address) is Ending.NO_ROOM
            assert recorder.pool.held == 0
            large = write_response(200, [], b"x" * 100_000)
            assert await recorder.request(worker.address) is Ending.SERVED
            large = large[:90_000]
            given_up = recorder.start(worker.address)
            await until(lambda: recorder.pool.held)
            given_up.give_up(Ending.CANCELLED)
            assert recorder.pool.held == 0
            assert CODES[Ending.NO_ROOM] is Code.ABORTED

    run(test)
