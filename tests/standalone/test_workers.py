"""The pool of connections to workers, and every way in which one can end."""

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


class Ends:
    """What a pool's exchanges came to."""

    def __init__(self, idle_s: float = 60.0, connect_s: float = 1.0, descriptors: int = 1000) -> None:
        self.loop = asyncio.get_running_loop()
        self.budget = Descriptors(descriptors)
        self.pool = Pool(self.loop, self.budget, connect_s, idle_s)
        self.budget.shed_early = self.pool.shed
        self.found: list[Ending] = []

    def start(self, address: Address, data: bytes = b"", fresh: bool = False) -> Exchange:
        def done(ending: Ending, response: Response | None) -> None:
            self.found.append(ending)

        return self.pool.start(Target(1, address), data or asking(), done, fresh=fresh)

    async def one(self, address: Address) -> Ending:
        count = len(self.found)
        self.start(address)
        await until(lambda: len(self.found) > count)
        return self.found[-1]


def held(talk: Talk, request: Request) -> None:
    """Answers when the test says so."""


def test_every_ending_is_mapped_and_only_what_never_reached_a_worker_counts_as_never_ran() -> None:
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
    ("status", "said", "ending"),
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
def test_what_an_answer_means(status: int, said: bytes | None, ending: Ending) -> None:
    assert of_answer(Response(status, [(b"x-not-run", said)] if said else [])) is ending


def test_a_connection_is_used_again_the_newest_first() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as worker:
            for _ in range(3):
                ends.start(worker.address)
            await until(lambda: len(worker.requests) == 3)
            order = [worker.talks[n] for n in (1, 2, 0)]
            for n, talk in enumerate(order, 1):
                talk.write(OK)
                await until(lambda n=n: len(ends.found) == n)  # type: ignore[misc]
            worker.answer = lambda talk, request: OK
            rested(ends.pool)
            assert await ends.one(worker.address) is Ending.SERVED
            assert [len(talk.requests) for talk in order] == [1, 1, 2]
            assert (ends.pool.opened, ends.pool.reused) == (3, 1)

    run(test)


def test_idle_connections_are_dropped_well_before_their_life_ends() -> None:
    async def test() -> None:
        ends = Ends(idle_s=1.0)
        async with StandIn() as worker:
            assert await ends.one(worker.address) is Ending.SERVED
            (connection,) = ends.pool.idle[Target(1, worker.address)]
            connection.idle_since -= 0.4
            ends.pool.sweep()
            assert ends.pool.idle[Target(1, worker.address)] == [connection]
            connection.idle_since -= 0.2
            ends.pool.sweep()
            assert not ends.pool.idle
            await until(lambda: worker.talks[0].ended)
            assert await ends.one(worker.address) is Ending.SERVED  # on a new one
            ends.pool.idle[Target(1, worker.address)][0].idle_since -= 0.6  # too old, and not swept yet
            assert await ends.one(worker.address) is Ending.SERVED
            assert ends.pool.opened == 3
            assert ends.pool.reused == 0

    run(test)


@pytest.mark.parametrize("what", ["spoke", "closed", "reset"])
def test_a_connection_that_spoke_or_closed_is_not_used_again(what: str) -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn() as worker:
            assert await ends.one(worker.address) is Ending.SERVED
            talk = worker.talks[0]
            {"spoke": lambda: talk.write(OK), "closed": talk.close, "reset": talk.reset}[what]()
            await until(lambda: not ends.pool.idle.get(Target(1, worker.address)))
            assert await ends.one(worker.address) is Ending.SERVED
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
def test_an_answer_that_ends_its_connection(answer: bytes) -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(lambda talk, request: answer) as worker:
            assert [await ends.one(worker.address) for _ in range(2)] == [Ending.SERVED] * 2
            assert len(worker.talks) == 2
            assert not ends.pool.idle

    run(test)


def test_a_close_that_the_loop_has_not_seen_yet_is_noticed_before_reuse() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn() as worker:
            assert await ends.one(worker.address) is Ending.SERVED
            far = worker.talks[0].writer.get_extra_info("socket")
            with socket.socket(fileno=socket.dup(far.fileno())) as copy:
                copy.shutdown(socket.SHUT_WR)
            assert await ends.one(worker.address) is Ending.SERVED
            assert [len(talk.requests) for talk in worker.talks] == [1, 1]

    run(test)


def test_an_idle_connection_that_dies_as_it_is_written_on_counts_as_dead_before() -> None:
    """Its first write fails, so the worker never saw a byte: the request goes out on the next connection."""

    async def test() -> None:
        ends = Ends()
        async with StandIn() as worker:
            assert await ends.one(worker.address) is Ending.SERVED
            (connection,) = ends.pool.idle[Target(1, worker.address)]
            sock = connection.transport.get_extra_info("socket")
            socket.socket(fileno=socket.dup(sock.fileno())).shutdown(socket.SHUT_WR)
            assert await ends.one(worker.address) is Ending.SERVED
            assert [len(talk.requests) for talk in worker.talks] == [1, 1]

    run(test)


def test_refused_is_not_never_up() -> None:
    async def test() -> None:
        ends = Ends(connect_s=0.1)
        async with StandIn() as worker:
            address = worker.address
        assert await ends.one(address) is Ending.REFUSED
        with socket.socket() as full:  # its queue is full: connections to it never come up
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            waiting = [socket.socket() for _ in range(4)]
            for one in waiting:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            assert await ends.one(Address(*full.getsockname())) is Ending.NEVER_UP
            for one in waiting:
                one.close()
        await until(lambda: ends.budget.used == 0)

    run(test)


class Pipe:
    """A transport that takes only so many bytes."""

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


def piped(ends: Ends, takes: int) -> tuple[WorkerConnection, Exchange]:
    connection = WorkerConnection(ends.pool, Target(1, Address("127.0.0.1", 9)))
    pipe = Pipe(takes)
    pipe.connection = connection
    assert ends.budget.take()
    connection.connection_made(cast(asyncio.Transport, pipe))
    exchange = Exchange(ends.pool, connection.target, asking(), False, lambda e, r: ends.found.append(e))
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
def test_broken_before_the_last_byte_was_written_never_ran(
    takes: int, then: Callable[[WorkerConnection, Exchange], object], ending: Ending
) -> None:
    async def test() -> None:
        ends = Ends()
        connection, exchange = piped(ends, takes)
        then(connection, exchange)
        connection.connection_lost(None) if connection.up else None
        assert ends.found == [ending]
        assert exchange.ending is ending
        if takes == 10 and ending is Ending.SERVED:
            assert not ends.pool.idle  # half a request still waits in it

    run(test)


def test_given_up_while_connecting_never_ran_and_leaves_nothing() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as worker:
            ends.start(worker.address).give_up(Ending.TIMED_OUT)
            ends.start(worker.address).give_up(Ending.CANCELLED)
            ends.start(worker.address).withdraw()
            assert ends.found == [Ending.NEVER_UP, Ending.TOO_LATE, Ending.TOO_LATE]
            await until(lambda: not ends.pool.opening)
            await until(lambda: ends.budget.used == 0)
            assert not worker.requests

    run(test)


def test_an_ending_is_told_once() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as worker:
            exchange = ends.start(worker.address)
            await until(lambda: worker.requests)
            exchange.give_up(Ending.CANCELLED)
            exchange.give_up(Ending.TIMED_OUT)
            exchange.end(Ending.SERVED)
            await until(lambda: worker.talks[0].ended)
            assert ends.found == [Ending.CANCELLED]

    run(test)


def test_when_one_connection_is_reset_the_idle_ones_beside_it_are_not_trusted() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as worker:
            for _ in range(2):
                ends.start(worker.address)
            await until(lambda: len(worker.requests) == 2)
            worker.talks[0].write(OK)
            await until(lambda: ends.pool.idle)
            worker.talks[1].reset()
            await until(lambda: not ends.pool.idle)
            assert ends.found == [Ending.SERVED, Ending.RESET]

    run(test)


def test_without_a_descriptor_an_attempt_never_ran_and_idle_ones_are_shed_first() -> None:
    async def test() -> None:
        ends = Ends()
        ends.budget.hard, ends.budget.soft = 2, 1
        async with StandIn() as one, StandIn(held) as two:
            assert await ends.one(one.address) is Ending.SERVED
            ends.start(two.address)  # the idle one goes
            await until(lambda: two.requests and one.talks[0].ended)
            ends.start(two.address)
            await until(lambda: len(two.requests) == 2)
            ends.start(two.address)
            assert ends.found[1:] == [Ending.NO_DESCRIPTOR]
            two.talks[0].write(OK)
            two.talks[1].reset()
            await until(lambda: len(ends.found) == 4)
            await until(lambda: ends.budget.used <= 1)

    run(test)


def test_what_is_still_connecting_to_a_worker_that_drains_never_reaches_it() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as drains, StandIn(held) as stays:
            ends.start(drains.address)
            ends.start(stays.address)
            ends.pool.retain({Target(1, stays.address)})
            assert ends.found == [Ending.NEVER_UP]
            await until(lambda: stays.requests and not ends.pool.opening)
            assert not drains.requests
            sent = ends.start(stays.address)
            await until(lambda: len(stays.requests) == 2)
            assert sent.task is not None
            ends.pool.opening[sent.task] = sent  # its task may end a moment after it was sent
            ends.pool.retain(set())
            assert sent.ending is None  # it may run

    run(test)


def test_connections_older_than_their_worker_are_dropped_and_younger_ones_kept() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as worker:
            ends.start(worker.address)
            await until(lambda: worker.requests)
            between = ends.loop.time()
            ends.start(worker.address)
            await until(lambda: len(worker.requests) == 2)
            for talk in worker.talks:
                talk.write(OK)
            await until(lambda: len(ends.found) == 2)
            ends.pool.drop_idle(Target(1, worker.address), made_before=between)
            await until(lambda: worker.talks[0].ended)
            assert len(ends.pool.idle[Target(1, worker.address)]) == 1
            assert not worker.talks[1].ended
            assert ends.pool.endings == {Ending.LEFT: 1}

    run(test)


def test_connections_to_workers_no_longer_wanted_are_dropped() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn() as one, StandIn() as two:
            assert await ends.one(one.address) is Ending.SERVED
            assert await ends.one(two.address) is Ending.SERVED
            ends.pool.retain({Target(1, two.address)})
            await until(lambda: one.talks[0].ended)
            assert set(ends.pool.idle) == {Target(1, two.address)}
            assert not two.talks[0].ended
            ends.pool.close()
            await until(lambda: two.talks[0].ended and ends.budget.used == 0)

    run(test)


def test_the_budget_leaves_room_to_accept_and_sheds_workers_first_and_clients_last() -> None:
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
def test_an_answer_that_begins_and_does_not_end_is_cut_off(part: bytes) -> None:
    """Its connection stays open and silent: without a bound the request would wait to its deadline."""

    async def test() -> None:
        ends = Ends(connect_s=0.05)
        async with StandIn(lambda talk, request: part) as worker:
            assert await ends.one(worker.address) is Ending.STALLED
            assert CODES[Ending.STALLED] is Code.ABORTED  # it may have run
            await until(lambda: worker.talks[0].ended and ends.budget.used == 0)
            worker.answer = lambda talk, request: OK
            assert await ends.one(worker.address) is Ending.SERVED
            assert len(worker.talks) == 2

    run(test)


@pytest.mark.parametrize(
    "endless", [b"HTTP/1.1 200 OK\r\n" + b"X-A: 1\r\n" * 4000, b"\x00\xff" * 9000, b"\r\n" * 9000,
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000,
                b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                b"HTTP/1.1 102 Processing\r\n\r\n" * 50]
)  # fmt: skip
def test_a_spoilt_answer_is_a_failed_attempt_that_may_have_run(endless: bytes) -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(lambda talk, request: endless) as worker:
            assert await ends.one(worker.address) is Ending.MALFORMED
            await until(lambda: worker.talks[0].ended and ends.budget.used == 0)

    run(test)


def test_an_answer_that_comes_in_pieces_is_whole() -> None:
    """However long it takes in all, as long as parts go on coming."""

    async def test() -> None:
        def slowly(talk: Talk, request: Request) -> None:
            for n in range(0, len(OK), 5):
                asyncio.get_running_loop().call_later(n / 200, talk.write, OK[n : n + 5])

        ends = Ends(connect_s=0.2)
        async with StandIn(slowly) as worker:
            assert await ends.one(worker.address) is Ending.SERVED
            rested(ends.pool)
            assert await ends.one(worker.address) is Ending.SERVED
            assert len(worker.talks) == 1

    run(test)


def test_a_new_worker_at_an_old_address_inherits_no_connection() -> None:
    async def test() -> None:
        ends = Ends()
        async with StandIn(held) as machine:
            old, new = Target(1, machine.address), Target(2, machine.address)
            idle, busy = (ends.pool.start(old, asking(), lambda e, r: ends.found.append(e)) for _ in range(2))
            await until(lambda: len(machine.requests) == 2)
            machine.talks[0].write(OK)
            await until(lambda: len(ends.found) == 1)
            ends.pool.retain({new})  # the old one is gone, its attempt is still out
            await until(lambda: machine.talks[0].ended)
            assert busy.ending is None
            machine.talks[1].write(OK)
            await until(lambda: len(ends.found) == 2)
            await until(lambda: machine.talks[1].ended)  # not kept for the new one
            machine.answer = lambda talk, request: OK
            ends.pool.start(new, asking(), lambda e, r: ends.found.append(e))
            await until(lambda: len(ends.found) == 3)
            assert len(machine.talks) == 3
            assert idle.ending is Ending.SERVED

    run(test)


def test_a_large_answer_passes_within_bounds_of_size_and_memory() -> None:
    """Workers go past the protocol's 64 KiB; what keeps coming must not fill the memory."""

    async def test() -> None:
        ends = Ends()
        large = write_response(200, [], b"x" * MAX_ANSWER)
        async with StandIn(lambda talk, request: large) as worker:
            assert await ends.one(worker.address) is Ending.SERVED
            assert ends.pool.held == 0
            large = write_response(200, [], b"x" * (MAX_ANSWER + 1))
            assert await ends.one(worker.address) is Ending.MALFORMED
            assert ends.pool.held == 0
            ends.pool.room = 200_000
            large = write_response(200, [], b"x" * 300_000)
            assert await ends.one(worker.address) is Ending.NO_ROOM
            assert ends.pool.held == 0
            large = write_response(200, [], b"x" * 100_000)
            assert await ends.one(worker.address) is Ending.SERVED
            large = large[:90_000]
            given_up = ends.start(worker.address)
            await until(lambda: ends.pool.held)
            given_up.give_up(Ending.CANCELLED)
            assert ends.pool.held == 0
            assert CODES[Ending.NO_ROOM] is Code.ABORTED

    run(test)
