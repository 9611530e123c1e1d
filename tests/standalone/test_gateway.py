"""The gatekeeper on loopback sockets, before stand-ins: what passes, what ends how, that all ends once."""

import asyncio
import contextlib
import time
from typing import Any

import pytest

from pewterring.standalone.http.messages import Request
from pewterring.standalone.http.reader import MAX_BODY
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.network import clients as clients_module
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.settings import Transport
from tests.standalone.helpers import DEADLINE
from tests.standalone.stand_ins import (
    OK,
    PATH,
    PATIENCE,
    Rig,
    Script,
    StandIn,
    Talk,
    asking,
    fail_when_over,
    run,
    send_to,
    until,
)

HEALTH = b"GET /healthz HTTP/1.1\r\n\r\n"


def silent(talk: Talk, request: Request) -> None:
    return None


def test_a_request_passes_unchanged_and_so_does_its_answer() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 8
        answer = write_response(200, [(b"x-made-by", b"worker")], body[::-1])
        async with StandIn(lambda talk, request: answer) as worker, Rig(None, worker.address) as rig:
            target = b"/api/x%20y/00000000b4d65521?q=%2F&r=1"
            more = {"X_Request_Id": b"9b1f03aa5c7e2d41", "Idempotency_Key": b"5c0f", "X_Other": b"9"}
            asked = asking(b"POST", target, body, X_Class=b"token-all", **more)
            response = await rig.ask(asked)
            assert (response.status, response.body) == (200, body[::-1])
            assert response.get(b"x-made-by") == b"worker"
            (got,) = worker.requests
            assert (got.method, got.target, got.body) == (b"POST", target, body)
            assert got.get(b"x-request-id") == b"9b1f03aa5c7e2d41"
            assert (got.get(b"idempotency-key"), got.get(b"x-other")) == (b"5c0f", b"9")
            assert 0 < int(got.get(b"x-deadline-ms") or 0) <= 4000

    run(test)


@pytest.mark.parametrize(
    ("asked", "status", "stays"),
    [
        (asking(X_Request_Id=None), 400, True),
        (asking(X_Request_Id=b""), 400, True),
        (asking(X_Class=None), 400, True),
        (asking(X_Class=b"\xff"), 400, True),
        (asking(X_Class=b"nobody-knows"), 400, True),
        (asking(X_Request_Id=b"7" * 300), 400, True),
        (asking(X_Deadline_Ms=b"0"), 400, True),
        (asking(X_Deadline_Ms=b"nan"), 400, True),
        (asking(Quota_Info=None), 400, True),
        (asking(Quota_Info=b"units=-1,spread=3,first=1"), 400, True),
        (asking(Quota_Info=b"units=+1,spread=3,first=1"), 400, True),
        (asking(Quota_Info=b"units=0,spread=3,first=1"), 400, True),
        (asking(Quota_Info=b"units=5,spread=3,first=1"), 400, True),
        (asking(Quota_Info=b"units=1e3,spread=3,first=1"), 400, True),
        (asking(Quota_Info=b"units=inf,spread=3,first=1"), 400, True),
        (asking(Quota_Info=b"units=1,spread=0,first=1"), 400, True),
        (asking(Quota_Info=b"units=1,spread=4,first=1"), 400, True),
        (asking(Quota_Info=b"units=1,spread=1.5,first=1"), 400, True),
        (asking(Quota_Info=b"units=1,spread=3,first=3"), 400, True),
        (asking(Quota_Info=b"units=1,spread=3,first=-1"), 400, True),
        (asking(Quota_Info=b"units=1,units=2,spread=3,first=1"), 400, True),
        (asking(b"POST"), 405, True),
        (asking(b"GET", X_Class=b"once"), 405, True),
        (asking(b"DELETE", X_Class=b"once"), 405, True),
        (asking(X_Class=b"x" * 300), 400, True),
        (asking(Quota_Info=b"units=1," * 50 + b"units=1"), 400, True),
        (asking(Plan=None), 400, True),
        (asking(Plan=b"nobody's"), 400, True),
        (asking(X_Deadline_Ms=None), 400, True),
        (asking(X_Deadline_Ms=b"soon"), 400, True),
        (asking(X_Deadline_Ms=b"-1"), 400, True),
        (asking(X_Deadline_Ms=b"1.5"), 400, True),
        (asking(X_Deadline_Ms=b"9" * 30), 400, True),
        (asking(Quota_Info=b"units"), 400, True),
        (asking(Quota_Info=b"units=nan"), 400, True),
        (asking(target=b"/api/"), 400, True),
        (asking(target=b"/api/b4d65521"), 400, True),
        (asking(target=b"/api/00000002b4d65521"), 400, True),
        (asking(target=b"/api/0000000_b4d65521"), 400, True),
        (asking(b"POST", X_Class=b"token-all"), 400, True),
        (asking(more=b"X-Request-Id: 2\r\n"), 400, True),
        (asking(b"POST", more=b"Content-Length: %d\r\n" % (MAX_BODY + 1)), 413, False),
        (asking(b"POST", more=b"Content-Length: 1\r\nContent-Length: 2\r\n"), 400, False),
        (asking(more=b"X-A: 1\r\n 2\r\n"), 400, False),
        (asking(b"POST", X_Class=b"once", body=b"x", more=b"Transfer-Encoding: chunked\r\n"), 400, False),
        (asking(b"POST", X_Class=b"once", more=b"Content-Length: -1\r\n"), 400, False),
        (asking(b"POST", X_Class=b"once", more=b"Content-Length: %b\r\n" % (b"9" * 30)), 400, False),
        (b"nonsense\r\n\r\n", 400, False),
        (b"\r\n" * 99, 400, False),
    ],
)
def test_what_cannot_be_read_reaches_no_worker(asked: bytes, status: int, stays: bool) -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            caller = await rig.caller()
            response = await caller.ask(asked)
            assert (response.status, response.keep_alive) == (status, stays)
            if stays:  # the connection goes on
                assert (await caller.ask(asking())).status == 200
            else:
                assert await caller.ended()
            assert len(worker.requests) == int(stays)
            # Nor is there a mark on the customer that it names.
            gatekeeper = rig.gateway.module
            assert isinstance(gatekeeper, GatewayPolicy)
            assert len(gatekeeper.quota.accounts) == int(stays)

    run(test)


def test_the_id_of_an_open_request_or_of_one_just_answered_is_turned_away() -> None:
    """Sent on it would be the same request once more: a second effect."""

    async def test() -> None:
        async with StandIn(silent) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            first = await rig.caller()
            first.write(asking(X_Request_Id=b"7"))
            await until(lambda: worker.requests)
            assert (await rig.ask(asking(X_Request_Id=b"7"))).status == 409
            worker.talks[0].write(OK)
            assert (await first.answer()).status == 200
            assert (await first.ask(asking(X_Request_Id=b"7"))).status == 409
            assert len(worker.requests) == 1
            assert rig.gateway.taken == 1

    run(test)


def test_ids_are_forgotten_after_a_while() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            gateway = rig.gateway
            assert not gateway.is_known(b"7")
            assert gateway.is_known(b"7")
            for _ in range(2):
                gateway.turned_over -= gateway.patience
                gateway.is_known(b"8")
            assert not gateway.is_known(b"7")
            assert sum(map(len, gateway.recent)) == 2

    run(test)


def test_who_sends_what_cannot_be_used_again_and_again_waits_between() -> None:
    """Each is answered at once; the pause before the next is read leaves the loop to others."""

    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            bad = await rig.caller()
            bad.write(b"".join(asking(X_Request_Id=None) for _ in range(50)))
            assert (await bad.answer()).status == 400
            other = await rig.caller()
            for _ in range(10):
                assert (await other.ask(asking())).status == 200
            (waiting,) = [c for c in rig.listener.clients if c.resting]
            assert waiting.reader.started
            waiting.resume()
            assert [(await bad.answer()).status for _ in range(3)] == [400] * 3
            bad.close()
            await until(lambda: len(rig.listener.clients) == 1)

    run(test)


def test_the_module_gets_what_the_headers_say() -> None:
    async def test() -> None:
        module = Script(lambda e: [i.Refuse(e.id, 0.25)] if isinstance(e, i.Request) else [])
        async with Rig(module, Address("127.0.0.1", 9)) as rig:
            response = await rig.ask(asking(X_Retry=b"1"))
            assert (response.status, response.get(b"retry-after")) == (429, b"0.250")
            (asked,) = module.of(i.Request)
            assert (asked.cls, asked.plan, asked.customer) == ("pure", "free", 0xB4D65521)
            assert (asked.units, asked.set_size, asked.set_from, asked.is_retry) == (2.0, 3, 1, True)

    run(test)


def test_many_requests_on_one_connection_even_sent_ahead() -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            rig.service.pool.rest_s = 0.0  # else the next one would find the worker's connection at rest
            caller = await rig.caller()
            caller.write(b"".join(asking() for _ in range(5)))
            assert [(await caller.answer()).status for _ in range(5)] == [200] * 5
            assert len(worker.talks) == 1  # one after the other, on one connection

    run(test)


def test_requests_sent_ahead_are_bounded_and_all_answered() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(b"GET /healthz HTTP/1.1\r\n\r\n" * 5000)
            assert {(await caller.answer()).status for _ in range(5000)} == {200}

    run(test)


def outcome_of(answer: bytes | None, then: str = "") -> i.Outcome:
    """How an attempt ends that gets this answer, after which the worker closes or resets."""
    found: list[i.Outcome] = []

    async def test() -> None:
        def give(talk: Talk, request: Request) -> None:
            if answer:
                talk.write(answer)
            if then == "reset":
                asyncio.get_running_loop().call_later(0.02, talk.reset)
            elif then == "close":
                talk.close()

        module = Script(send_to(1), fail_when_over)
        async with StandIn(give) as worker, Rig(module, worker.address) as rig:
            status = (await rig.ask(asking())).status
            found.extend(module.of(i.Outcome))
            assert (status == 200) == (found[0].code is i.Code.OK)
            assert status not in (429, 503)

    run(test)
    (outcome,) = found
    return outcome


NOT_RUN = [(b"x-not-run", b"1")]


@pytest.mark.parametrize(
    ("answer", "then", "code"),
    [
        (OK, "", i.Code.OK),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", "close", i.Code.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "", i.Code.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, "", i.Code.OK),
        (write_response(500, []), "", i.Code.INTERNAL),
        (write_response(404, []), "", i.Code.INTERNAL),
        (write_response(503, NOT_RUN), "", i.Code.RESOURCE_EXHAUSTED),
        (write_response(504, NOT_RUN), "", i.Code.RESOURCE_EXHAUSTED),
        (write_response(503, []), "", i.Code.INTERNAL),
        (write_response(504, [(b"x-not-run", b"0")]), "", i.Code.INTERNAL),
        (write_response(500, NOT_RUN), "", i.Code.INTERNAL),
        (None, "close", i.Code.ABORTED),
        (None, "reset", i.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "close", i.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil a reset", "reset", i.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "close", i.Code.ABORTED),
        (b"what is this?\r\n\r\n", "", i.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", "", i.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "", i.Code.ABORTED),
    ],
)
def test_how_attempts_end(answer: bytes | None, then: str, code: i.Code) -> None:
    assert outcome_of(answer, then).code is code


def test_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        async with StandIn() as worker:
            address = worker.address
        module = Script(send_to(1), fail_when_over)
        async with Rig(module, address) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.UNAVAILABLE]

    run(test)


def test_a_time_out_closes_the_connection_and_late_bytes_go_nowhere() -> None:
    async def test() -> None:
        module = Script(send_to(1, timeout=0.05), fail_when_over)
        async with StandIn(silent) as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.DEADLINE_EXCEEDED]
            await until(lambda: worker.talks[0].ended)
            worker.talks[0].write(OK)
            worker.answer = lambda talk, request: write_response(200, [], b"second")
            assert (await rig.ask(asking())).body == b"second"
            assert len(worker.talks) == 2

    run(test)


def test_the_first_whole_200_is_the_answer_and_the_other_attempt_is_cancelled() -> None:
    async def test() -> None:
        def cancel_rest(e: i.Event) -> list[i.Action]:
            return [i.Cancel(e.id, 1 - e.attempt)] if isinstance(e, i.Outcome) and e.no_more else []

        module = Script(send_to(1, 2), cancel_rest)
        async with StandIn(silent) as slow, StandIn() as fast, Rig(module, slow.address, fast.address) as rig:
            assert (await rig.ask(asking())).body == b"served"
            await until(lambda: len(module.of(i.Outcome)) == 2)
            codes = {o.attempt: (o.code, o.no_more) for o in module.of(i.Outcome)}
            assert codes == {1: (i.Code.OK, True), 0: (i.Code.CANCELLED, True)}
            await until(lambda: slow.talks[0].ended)
            await until(lambda: not rig.gateway.calls)

    run(test)


def test_a_second_200_after_the_answer_is_told_but_goes_nowhere() -> None:
    async def test() -> None:
        module = Script(send_to(1, 2))  # cancels nothing
        async with StandIn() as one, StandIn() as two, Rig(module, one.address, two.address) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 200
            await until(lambda: len(module.of(i.Outcome)) == 2)
            assert [o.no_more for o in module.of(i.Outcome)] == [True, True]
            assert (await caller.ask(b"GET /healthz HTTP/1.1\r\n\r\n")).body == b""

    run(test)


def test_a_client_gone_is_expired_once_and_its_attempts_still_end() -> None:
    async def test() -> None:
        def cancel(e: i.Event) -> list[i.Action]:
            return [i.Cancel(e.id, 0)] if isinstance(e, i.Expired) else []

        module = Script(send_to(1), cancel)
        async with StandIn(silent) as worker, Rig(module, worker.address) as rig:
            caller = await rig.caller()
            caller.write(asking())
            await until(lambda: worker.requests)
            caller.close()
            await until(lambda: module.of(i.Outcome))
            assert len(module.of(i.Expired)) == 1
            (outcome,) = module.of(i.Outcome)
            assert (outcome.code, outcome.no_more) == (i.Code.CANCELLED, True)
            await until(lambda: worker.talks[0].ended and not rig.gateway.calls)

    run(test)


def test_the_deadline_ends_attempts_and_the_module_answers() -> None:
    async def test() -> None:
        module = Script(send_to(1), fail_when_over)
        async with StandIn(silent) as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking(X_Deadline_Ms=b"80"))).status == 504
            (outcome,) = module.of(i.Outcome)
            assert (outcome.code, outcome.no_more) == (i.Code.DEADLINE_EXCEEDED, False)
            assert not module.of(i.Expired)
            assert not rig.log.lines[1:]

    run(test)


@pytest.mark.parametrize("attempts", [0, 1])
def test_a_module_that_forgets_a_request_is_answered_for(attempts: int) -> None:
    async def test() -> None:
        module = Script(send_to(*[1] * attempts))
        async with StandIn(silent) as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking(X_Deadline_Ms=b"50"))).status == 504
            assert len(module.of(i.Expired)) == 1
            assert not rig.gateway.calls
            assert rig.gateway.faults == 1

    run(test)


def test_a_request_whose_time_is_over_is_never_begun() -> None:
    async def test() -> None:
        module = Script(send_to(1), fail_when_over)
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            turn = rig.gateway.turn

            def late() -> None:
                time.sleep(0.005)
                turn()

            rig.gateway.turn = late  # type: ignore[method-assign]
            assert (await rig.ask(asking(X_Deadline_Ms=b"1"))).status in (502, 504)
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.TOO_LATE]
            assert not worker.talks

    run(test)


def test_more_attempts_than_allowed_are_never_begun() -> None:
    async def test() -> None:
        module = Script(send_to(1, 1, 1, 1))
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking())).status == 200
            await until(lambda: len(module.of(i.Outcome)) == 4)
            assert [o.code for o in module.of(i.Outcome) if o.attempt == 3] == [i.Code.TOO_LATE]

    run(test)


def test_a_worker_that_nobody_listed_gets_nothing() -> None:
    async def test() -> None:
        module = Script(send_to(77), fail_when_over)
        async with Rig(module, Address("127.0.0.1", 9)) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.UNAVAILABLE]

    run(test)


def test_a_copy_sent_in_the_turn_that_brings_the_answer_gets_its_outcome() -> None:
    """The module sends a copy and then hears of the answer, all in one turn: the copy is too late."""

    async def test() -> None:
        module = Script(send_to(1))
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            module.steps.append(lambda e: [i.Send(1, 1)] if isinstance(e, i.TimerDue) else [])
            gather = rig.gateway.gather

            def with_timer(item: object) -> None:
                if type(item).__name__ == "Ended" and not module.of(i.TimerDue):
                    gather(i.TimerDue(9))
                gather(item)  # type: ignore[arg-type]

            rig.gateway.gather = with_timer  # type: ignore[method-assign]
            assert (await rig.ask(asking())).status == 200
            await until(lambda: len(module.of(i.Outcome)) == 2)
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.OK, i.Code.TOO_LATE]
            await until(lambda: not rig.gateway.calls)
            assert len(worker.requests) == 1

    run(test)


def broken(kind: type[i.Event]) -> Script:
    def fault(e: i.Event) -> list[i.Action]:
        if isinstance(e, kind):
            raise RuntimeError("a fault")
        return []

    return Script(send_to(1), fault)


def test_a_fault_of_the_module_costs_one_request_a_refusal() -> None:
    async def test() -> None:
        module = broken(i.Request)
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 429
            module.steps[1:] = []
            assert (await caller.ask(asking())).status == 200
            assert [line["event"] for line in rig.log.lines] == ["started", "module_fault"]

    run(test)


def test_a_fault_over_an_outcome_ends_its_request_at_once() -> None:
    async def test() -> None:
        answer = write_response(500, [])
        async with (
            StandIn(lambda talk, request: answer) as worker,
            Rig(broken(i.Outcome), worker.address) as rig,
        ):
            assert (await rig.ask(asking())).status == 502

    run(test)


def test_a_fault_in_a_timer_leaves_it_ticking() -> None:
    async def test() -> None:
        module = broken(i.TimerDue)
        module.steps.insert(0, lambda e: [i.SetTimer(0.01, 5)] if isinstance(e, i.ServerList) else [])
        async with Rig(module, Address("127.0.0.1", 9)):
            await until(lambda: len(module.of(i.TimerDue)) >= 3)
            assert {e.label for e in module.of(i.TimerDue)} == {5}

    run(test)


def test_nonsense_of_the_module_harms_nobody() -> None:
    async def test() -> None:
        unfit: Any = None  # what the types forbid may still come
        odd: list[i.Action] = [
            i.Tell(0, unfit),
            i.Send(99, 1),
            i.Cancel(99, 0),
            i.Refuse(99),
            i.Fail(99),
            i.Probe(99),
            i.Tell(5, b"x" * 300),
        ]
        module = Script(lambda e: [*odd, i.Refuse(e.id), i.Fail(e.id)] if isinstance(e, i.Request) else [])
        async with Rig(module, Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 429
            assert (await caller.ask(asking())).status == 429
            await until(lambda: [p.code for p in module.of(i.ProbeResult)] == [i.Code.UNAVAILABLE] * 2)

    run(test)


def test_events_of_one_turn_share_one_time() -> None:
    async def test() -> None:
        times: list[float] = []

        class Timed(Script):
            def handle(self, now: float, event: i.Event) -> list[i.Action]:
                times.append(now)
                return super().handle(now, event)

        module = Timed(send_to(1))
        async with Rig(module, Address("127.0.0.1", 9)) as rig:
            await until(lambda: times)
            times.clear()
            for n in range(5):
                rig.gateway.gather(i.TimerDue(n))
            await until(lambda: len(times) == 5)
            assert len(set(times)) == 1

    run(test)


def test_probes_ask_for_health_on_a_new_connection() -> None:
    async def test() -> None:
        module = Script(send_to(1))
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking())).status == 200
            rig.gateway.carry_out(0.0, i.Probe(1))
            await until(lambda: module.of(i.ProbeResult))
            assert [(p.server, p.code) for p in module.of(i.ProbeResult)] == [(1, i.Code.OK)]
            assert worker.requests[1].target == b"/healthz"
            assert len(worker.talks) == 2

    run(test)


def test_health_says_whether_requests_can_be_decided() -> None:
    async def test() -> None:
        health = b"GET /healthz HTTP/1.1\r\n\r\n"
        async with Rig(Script()) as rig:  # no worker known yet
            assert (await rig.ask(health)).status == 503
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            assert (await caller.ask(health)).status == 200
            rig.gateway.stopping = True
            assert (await caller.ask(health)).status == 503

    run(test)


def test_too_many_open_requests_are_turned_away() -> None:
    async def test() -> None:
        transport = Transport(connect_timeout=1.0, conn_idle=60.0, max_open=1)
        async with (
            StandIn(silent) as worker,
            Rig(Script(send_to(1)), worker.address, transport=transport) as rig,
        ):
            first = await rig.caller()
            first.write(asking())
            await until(lambda: worker.requests)
            assert (await rig.ask(asking())).status == 429

    run(test)


def test_a_client_that_waits_for_100_gets_it() -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            caller = await rig.caller()
            caller.write(
                asking(b"POST", X_Class=b"once", more=b"Expect: 100-continue\r\nContent-Length: 2\r\n")
            )
            assert await caller.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert (await caller.ask(b"hi")).status == 200
            assert worker.requests[0].body == b"hi"
            assert worker.requests[0].get(b"expect") is None

    run(test)


def test_a_request_that_does_not_come_whole_in_time_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time runs from connecting, for later requests from their first byte: trickled bytes win none."""
    monkeypatch.setattr(clients_module, "WHOLE_S", 0.3)

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            fresh, used = await rig.caller(), await rig.caller()
            assert (await used.ask(HEALTH)).status == 200
            began = rig.gateway.loop.time()
            for caller in (fresh, used):
                loop_until_told = asyncio.ensure_future(caller.answer())
                for byte in asking()[:-3]:
                    if loop_until_told.done():
                        break
                    caller.write(bytes([byte]))
                    await asyncio.sleep(0.005)
                assert (await loop_until_told).status == 408
                assert await caller.ended()
            assert rig.gateway.loop.time() - began < PATIENCE

    run(test)


def test_who_connects_and_says_nothing_or_nothing_more_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients_module, "IDLE_S", 0.1)

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            silent, asked, busy = [await rig.caller() for _ in range(3)]
            assert (await asked.ask(HEALTH)).keep_alive
            busy.write(asking())  # held by a module that says nothing
            await until(lambda: rig.gateway.by_client)
            assert await silent.ended()
            assert await asked.ended()
            await until(lambda: len(rig.listener.clients) == 1)
            assert rig.gateway.by_client
            assert not rig.listener.idle

    run(test)


def test_a_body_refused_by_its_length_is_dropped_within_bounds() -> None:
    """The answer comes before the body is read; not more than some of the body ever is."""

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(asking(b"POST", X_Class=b"once", more=b"Content-Length: 60000000\r\n"))
            assert (await caller.answer()).status == 413
            (client,) = rig.listener.clients
            with contextlib.suppress(ConnectionError):
                for _ in range(100):
                    caller.write(b"x" * 100_000)
                    await asyncio.sleep(0)
            assert client.discarded <= clients_module.DISCARD + 64 * 1024
            await until(lambda: not rig.listener.clients)  # its descriptor comes free all the same

    run(test)


def test_unfinished_requests_fill_no_more_than_their_part_of_the_memory() -> None:
    """Hundreds of bodies that never end, each within its bound, would add up past the limit."""

    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            rig.listener.room = 150_000
            slow = [await rig.caller() for _ in range(4)]
            for n, caller in enumerate(slow):
                caller.write(asking(b"POST", X_Class=b"once", more=b"Content-Length: 65000\r\n"))
                caller.write(b"x" * 60_000)
                await until(lambda n=n: rig.listener.held >= min(n + 1, 2) * 60_000)  # type: ignore[misc]
            assert {(await caller.answer()).status for caller in slow[2:]} == {503}
            assert rig.listener.held <= 150_000
            slow[0].write(b"x" * 5000)
            assert (await slow[0].answer()).status == 200
            for caller in slow:
                caller.close()
            await until(lambda: not rig.listener.clients)
            assert rig.listener.held == 0

    run(test)


def test_what_a_gone_client_sent_ahead_is_nobodys() -> None:
    async def test() -> None:
        async with StandIn(silent) as worker, Rig(None, worker.address) as rig:
            caller = await rig.caller()
            caller.write(asking() * 3)
            await until(lambda: worker.requests)
            caller.writer.transport.abort()
            await until(lambda: not rig.listener.clients)
            await asyncio.sleep(0)
            assert rig.gateway.taken == 1
            assert len(worker.requests) == 1

    run(test)


def test_connection_cannot_take_the_id_or_the_key_away() -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            more = b"Connection: X-Request-Id, idempotency-key, X-Mine\r\nX-Mine: 1\r\n"
            asked = asking(b"POST", X_Class=b"token-all", X_Request_Id=b"7", Idempotency_Key=b"k", more=more)
            assert (await rig.ask(asked)).status == 200
            (got,) = worker.requests
            assert (got.get(b"x-request-id"), got.get(b"idempotency-key")) == (b"7", b"k")
            assert got.get(b"x-mine") is None

    run(test)


def test_no_request_is_held_for_longer_than_its_class_says() -> None:
    async def test() -> None:
        module = Script(lambda e: [i.Refuse(e.id)] if isinstance(e, i.Request) else [])
        async with Rig(module, Address("127.0.0.1", 9)) as rig:
            before = rig.gateway.loop.time()
            assert (await rig.ask(asking(X_Deadline_Ms=b"999999999"))).status == 429
            (asked,) = module.of(i.Request)
            assert asked.deadline <= before + DEADLINE + PATIENCE

    run(test)


def test_a_client_that_half_closes_or_resets_leaves_nothing_behind() -> None:
    async def test() -> None:
        async with StandIn(silent) as worker, Rig(None, worker.address) as rig:
            for how in ("eof", "reset"):
                caller = await rig.caller()
                caller.write(asking())
                await until(lambda: rig.gateway.by_client)
                caller.writer.write_eof() if how == "eof" else caller.writer.transport.abort()
                await until(lambda: not rig.gateway.by_client and not rig.gateway.calls)
                await until(lambda: not rig.listener.clients)
            assert rig.gateway.left == 2
            assert rig.gateway.faults == 0

    run(test)


def test_everything_is_answered_once_under_many_requests_at_once() -> None:
    async def test() -> None:
        async def one(rig: Rig, n: int) -> int:
            with contextlib.suppress(ConnectionError):
                return (await rig.ask(asking(target=PATH[:-4] + b"%04x" % n))).status
            return 0

        async with StandIn() as a, StandIn() as b, Rig(None, a.address, b.address) as rig:
            found = await asyncio.gather(*(one(rig, n) for n in range(100)))
            assert set(found) <= {200, 429}
            assert found.count(200) > 0
            assert len(a.requests) + len(b.requests) == found.count(200)
            assert rig.gateway.taken == 100
            assert not rig.gateway.calls

    run(test)
