"""The gateway on loopback sockets with emulated workers: forwarding, outcomes, and one answer per request."""

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
from pewterring.standalone.policy import interface
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


def test_requests_and_responses_are_forwarded_unchanged() -> None:
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
def test_invalid_requests_reach_no_worker_and_no_customer_account(
    asked: bytes, status: int, stays: bool
) -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            caller = await rig.caller()
            response = await caller.ask(asked)
            assert (response.status, response.keep_alive) == (status, stays)
            if stays:  # the connection stays open
                assert (await caller.ask(asking())).status == 200
            else:
                assert await caller.ended()
            assert len(worker.requests) == int(stays)
            # Nothing was charged to the customer that the request names.
            gatekeeper = rig.gateway.policy
            assert isinstance(gatekeeper, GatewayPolicy)
            assert len(gatekeeper.quota.accounts) == int(stays)

    run(test)


def test_the_id_of_a_request_in_flight_or_just_answered_is_rejected() -> None:
    """If it were forwarded, the same request could take effect a second time."""

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


def test_request_ids_are_forgotten_after_two_longest_deadlines() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            gateway = rig.gateway
            assert not gateway.is_known(b"7")
            assert gateway.is_known(b"7")
            for _ in range(2):
                gateway.generations_rotated_at -= gateway.patience
                gateway.is_known(b"8")
            assert not gateway.is_known(b"7")
            assert sum(map(len, gateway.recent)) == 2

    run(test)


def test_a_client_that_keeps_sending_invalid_requests_is_slowed_down() -> None:
    """Each is answered at once; the delay before the next is read leaves loop time to other clients."""

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


def test_the_policy_gets_the_values_of_the_headers() -> None:
    async def test() -> None:
        policy = Script(lambda e: [interface.Refuse(e.id, 0.25)] if isinstance(e, interface.Request) else [])
        async with Rig(policy, Address("127.0.0.1", 9)) as rig:
            response = await rig.ask(asking(X_Retry=b"1"))
            assert (response.status, response.get(b"retry-after")) == (429, b"0.250")
            (asked,) = policy.of(interface.Request)
            assert (asked.cls, asked.plan, asked.customer) == ("pure", "free", 0xB4D65521)
            assert (asked.units, asked.set_size, asked.set_from, asked.is_retry) == (2.0, 3, 1, True)

    run(test)


def test_pipelined_requests_on_one_connection_are_all_answered() -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            rig.service.pool.rest_s = 0.0  # otherwise the worker's connection would not be reused yet
            caller = await rig.caller()
            caller.write(b"".join(asking() for _ in range(5)))
            assert [(await caller.answer()).status for _ in range(5)] == [200] * 5
            assert len(worker.talks) == 1  # sequentially, on one connection

    run(test)


def test_pipelined_requests_are_bounded_and_all_answered() -> None:
    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(b"GET /healthz HTTP/1.1\r\n\r\n" * 5000)
            assert {(await caller.answer()).status for _ in range(5000)} == {200}

    run(test)


def outcome_of(answer: bytes | None, then: str = "") -> interface.Outcome:
    """The outcome of an attempt that gets this answer, after which the worker closes or resets."""
    found: list[interface.Outcome] = []

    async def test() -> None:
        def give(talk: Talk, request: Request) -> None:
            if answer:
                talk.write(answer)
            if then == "reset":
                asyncio.get_running_loop().call_later(0.02, talk.reset)
            elif then == "close":
                talk.close()

        policy = Script(send_to(1), fail_when_over)
        async with StandIn(give) as worker, Rig(policy, worker.address) as rig:
            status = (await rig.ask(asking())).status
            found.extend(policy.of(interface.Outcome))
            assert (status == 200) == (found[0].code is interface.Code.OK)
            assert status not in (429, 503)

    run(test)
    (outcome,) = found
    return outcome


NOT_RUN = [(b"x-not-run", b"1")]


@pytest.mark.parametrize(
    ("answer", "then", "code"),
    [
        (OK, "", interface.Code.OK),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", "close", interface.Code.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "", interface.Code.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, "", interface.Code.OK),
        (write_response(500, []), "", interface.Code.INTERNAL),
        (write_response(404, []), "", interface.Code.INTERNAL),
        (write_response(503, NOT_RUN), "", interface.Code.RESOURCE_EXHAUSTED),
        (write_response(504, NOT_RUN), "", interface.Code.RESOURCE_EXHAUSTED),
        (write_response(503, []), "", interface.Code.INTERNAL),
        (write_response(504, [(b"x-not-run", b"0")]), "", interface.Code.INTERNAL),
        (write_response(500, NOT_RUN), "", interface.Code.INTERNAL),
        (None, "close", interface.Code.ABORTED),
        (None, "reset", interface.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "close", interface.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil a reset", "reset", interface.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "close", interface.Code.ABORTED),
        (b"what is this?\r\n\r\n", "", interface.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", "", interface.Code.ABORTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "", interface.Code.ABORTED),
    ],
)
def test_each_ending_of_an_attempt_has_its_outcome_code(
    answer: bytes | None, then: str, code: interface.Code
) -> None:
    assert outcome_of(answer, then).code is code


def test_a_refused_connection_is_reported_as_unavailable() -> None:
    async def test() -> None:
        async with StandIn() as worker:
            address = worker.address
        policy = Script(send_to(1), fail_when_over)
        async with Rig(policy, address) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in policy.of(interface.Outcome)] == [interface.Code.UNAVAILABLE]

    run(test)


def test_a_timeout_closes_the_connection_and_late_bytes_are_dropped() -> None:
    async def test() -> None:
        policy = Script(send_to(1, timeout=0.05), fail_when_over)
        async with StandIn(silent) as worker, Rig(policy, worker.address) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in policy.of(interface.Outcome)] == [interface.Code.DEADLINE_EXCEEDED]
            await until(lambda: worker.talks[0].ended)
            worker.talks[0].write(OK)
            worker.answer = lambda talk, request: write_response(200, [], b"second")
            assert (await rig.ask(asking())).body == b"second"
            assert len(worker.talks) == 2

    run(test)


def test_the_first_complete_200_is_the_answer_and_the_other_attempt_is_cancelled() -> None:
    async def test() -> None:
        def cancel_rest(e: interface.Event) -> list[interface.Action]:
            return (
                [interface.Cancel(e.id, 1 - e.attempt)]
                if isinstance(e, interface.Outcome) and e.no_more
                else []
            )

        policy = Script(send_to(1, 2), cancel_rest)
        async with StandIn(silent) as slow, StandIn() as fast, Rig(policy, slow.address, fast.address) as rig:
            assert (await rig.ask(asking())).body == b"served"
            await until(lambda: len(policy.of(interface.Outcome)) == 2)
            codes = {o.attempt: (o.code, o.no_more) for o in policy.of(interface.Outcome)}
            assert codes == {1: (interface.Code.OK, True), 0: (interface.Code.CANCELLED, True)}
            await until(lambda: slow.talks[0].ended)
            await until(lambda: not rig.gateway.calls)

    run(test)


def test_a_second_200_is_reported_to_the_policy_but_not_sent_to_the_client() -> None:
    async def test() -> None:
        policy = Script(send_to(1, 2))  # cancels nothing
        async with StandIn() as one, StandIn() as two, Rig(policy, one.address, two.address) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 200
            await until(lambda: len(policy.of(interface.Outcome)) == 2)
            assert [o.no_more for o in policy.of(interface.Outcome)] == [True, True]
            assert (await caller.ask(b"GET /healthz HTTP/1.1\r\n\r\n")).body == b""

    run(test)


def test_a_disconnected_client_expires_once_and_its_attempts_still_end() -> None:
    async def test() -> None:
        def cancel(e: interface.Event) -> list[interface.Action]:
            return [interface.Cancel(e.id, 0)] if isinstance(e, interface.Expired) else []

        policy = Script(send_to(1), cancel)
        async with StandIn(silent) as worker, Rig(policy, worker.address) as rig:
            caller = await rig.caller()
            caller.write(asking())
            await until(lambda: worker.requests)
            caller.close()
            await until(lambda: policy.of(interface.Outcome))
            assert len(policy.of(interface.Expired)) == 1
            (outcome,) = policy.of(interface.Outcome)
            assert (outcome.code, outcome.no_more) == (interface.Code.CANCELLED, True)
            await until(lambda: worker.talks[0].ended and not rig.gateway.calls)

    run(test)


def test_the_deadline_ends_attempts_and_the_policy_answers() -> None:
    async def test() -> None:
        policy = Script(send_to(1), fail_when_over)
        async with StandIn(silent) as worker, Rig(policy, worker.address) as rig:
            assert (await rig.ask(asking(X_Deadline_Ms=b"80"))).status == 504
            (outcome,) = policy.of(interface.Outcome)
            assert (outcome.code, outcome.no_more) == (interface.Code.DEADLINE_EXCEEDED, False)
            assert not policy.of(interface.Expired)
            assert not rig.log.lines[1:]

    run(test)


@pytest.mark.parametrize("attempts", [0, 1])
def test_a_request_that_the_policy_forgets_is_answered_at_its_deadline(attempts: int) -> None:
    async def test() -> None:
        policy = Script(send_to(*[1] * attempts))
        async with StandIn(silent) as worker, Rig(policy, worker.address) as rig:
            assert (await rig.ask(asking(X_Deadline_Ms=b"50"))).status == 504
            assert len(policy.of(interface.Expired)) == 1
            assert not rig.gateway.calls
            assert rig.gateway.faults == 1

    run(test)


def test_a_request_past_its_deadline_is_never_sent() -> None:
    async def test() -> None:
        policy = Script(send_to(1), fail_when_over)
        async with StandIn() as worker, Rig(policy, worker.address) as rig:
            turn = rig.gateway.turn

            def late() -> None:
                time.sleep(0.005)
                turn()

            rig.gateway.turn = late  # type: ignore[method-assign]
            assert (await rig.ask(asking(X_Deadline_Ms=b"1"))).status in (502, 504)
            assert [o.code for o in policy.of(interface.Outcome)] == [interface.Code.TOO_LATE]
            assert not worker.talks

    run(test)


def test_attempts_beyond_the_limit_are_never_sent() -> None:
    async def test() -> None:
        policy = Script(send_to(1, 1, 1, 1))
        async with StandIn() as worker, Rig(policy, worker.address) as rig:
            assert (await rig.ask(asking())).status == 200
            await until(lambda: len(policy.of(interface.Outcome)) == 4)
            assert [o.code for o in policy.of(interface.Outcome) if o.attempt == 3] == [
                interface.Code.TOO_LATE
            ]

    run(test)


def test_nothing_is_sent_to_an_unlisted_worker() -> None:
    async def test() -> None:
        policy = Script(send_to(77), fail_when_over)
        async with Rig(policy, Address("127.0.0.1", 9)) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in policy.of(interface.Outcome)] == [interface.Code.UNAVAILABLE]

    run(test)


def test_an_attempt_sent_in_the_turn_of_the_answer_gets_its_outcome() -> None:
    """The policy sends a second attempt and gets the answer in the same turn: the attempt is too late."""

    async def test() -> None:
        policy = Script(send_to(1))
        async with StandIn() as worker, Rig(policy, worker.address) as rig:
            policy.steps.append(lambda e: [interface.Send(1, 1)] if isinstance(e, interface.TimerDue) else [])
            gather = rig.gateway.gather

            def with_timer(item: object) -> None:
                if type(item).__name__ == "AttemptEnded" and not policy.of(interface.TimerDue):
                    gather(interface.TimerDue(9))
                gather(item)  # type: ignore[arg-type]

            rig.gateway.gather = with_timer  # type: ignore[method-assign]
            assert (await rig.ask(asking())).status == 200
            await until(lambda: len(policy.of(interface.Outcome)) == 2)
            assert [o.code for o in policy.of(interface.Outcome)] == [
                interface.Code.OK,
                interface.Code.TOO_LATE,
            ]
            await until(lambda: not rig.gateway.calls)
            assert len(worker.requests) == 1

    run(test)


def broken(kind: type[interface.Event]) -> Script:
    def fault(e: interface.Event) -> list[interface.Action]:
        if isinstance(e, kind):
            raise RuntimeError("a fault")
        return []

    return Script(send_to(1), fault)


def test_an_error_in_the_policy_rejects_only_one_request() -> None:
    async def test() -> None:
        policy = broken(interface.Request)
        async with StandIn() as worker, Rig(policy, worker.address) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 429
            policy.steps[1:] = []
            assert (await caller.ask(asking())).status == 200
            assert [line["event"] for line in rig.log.lines] == ["started", "module_fault"]

    run(test)


def test_an_error_on_an_outcome_fails_the_request_at_once() -> None:
    async def test() -> None:
        answer = write_response(500, [])
        async with (
            StandIn(lambda talk, request: answer) as worker,
            Rig(broken(interface.Outcome), worker.address) as rig,
        ):
            assert (await rig.ask(asking())).status == 502

    run(test)


def test_an_error_on_a_timer_keeps_the_timer_running() -> None:
    async def test() -> None:
        policy = broken(interface.TimerDue)
        policy.steps.insert(
            0, lambda e: [interface.SetTimer(0.01, 5)] if isinstance(e, interface.ServerList) else []
        )
        async with Rig(policy, Address("127.0.0.1", 9)):
            await until(lambda: len(policy.of(interface.TimerDue)) >= 3)
            assert {e.label for e in policy.of(interface.TimerDue)} == {5}

    run(test)


def test_invalid_actions_of_the_policy_are_ignored() -> None:
    async def test() -> None:
        unfit: Any = None  # a value that the types forbid
        odd: list[interface.Action] = [
            interface.Tell(0, unfit),
            interface.Send(99, 1),
            interface.Cancel(99, 0),
            interface.Refuse(99),
            interface.Fail(99),
            interface.Probe(99),
            interface.Tell(5, b"x" * 300),
        ]
        policy = Script(
            lambda e: (
                [*odd, interface.Refuse(e.id), interface.Fail(e.id)]
                if isinstance(e, interface.Request)
                else []
            )
        )
        async with Rig(policy, Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking())).status == 429
            assert (await caller.ask(asking())).status == 429
            await until(
                lambda: [p.code for p in policy.of(interface.ProbeResult)] == [interface.Code.UNAVAILABLE] * 2
            )

    run(test)


def test_events_of_one_turn_have_the_same_time() -> None:
    async def test() -> None:
        times: list[float] = []

        class Timed(Script):
            def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
                times.append(now)
                return super().handle(now, event)

        policy = Timed(send_to(1))
        async with Rig(policy, Address("127.0.0.1", 9)) as rig:
            await until(lambda: times)
            times.clear()
            for n in range(5):
                rig.gateway.gather(interface.TimerDue(n))
            await until(lambda: len(times) == 5)
            assert len(set(times)) == 1

    run(test)


def test_probes_send_health_checks_on_a_new_connection() -> None:
    async def test() -> None:
        policy = Script(send_to(1))
        async with StandIn() as worker, Rig(policy, worker.address) as rig:
            assert (await rig.ask(asking())).status == 200
            rig.gateway.carry_out(0.0, interface.Probe(1))
            await until(lambda: policy.of(interface.ProbeResult))
            assert [(p.server, p.code) for p in policy.of(interface.ProbeResult)] == [(1, interface.Code.OK)]
            assert worker.requests[1].target == b"/healthz"
            assert len(worker.talks) == 2

    run(test)


def test_the_health_check_fails_without_workers_and_during_shutdown() -> None:
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


def test_too_many_requests_in_flight_are_rejected() -> None:
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


def test_a_client_that_expects_100_continue_gets_it() -> None:
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


def test_an_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Time counts from the connect, later from the first byte of a request; more bytes do not extend it."""
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


def test_idle_client_connections_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients_module, "IDLE_S", 0.1)

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            silent, asked, busy = [await rig.caller() for _ in range(3)]
            assert (await asked.ask(HEALTH)).keep_alive
            busy.write(asking())  # the policy never answers it
            await until(lambda: rig.gateway.by_client)
            assert await silent.ended()
            assert await asked.ended()
            await until(lambda: len(rig.listener.clients) == 1)
            assert rig.gateway.by_client
            assert not rig.listener.idle

    run(test)


def test_a_body_rejected_by_its_length_is_read_only_up_to_a_bound() -> None:
    """The answer is sent before the body is read, and only a bounded part of the body is ever read."""

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
            await until(lambda: not rig.listener.clients)  # its descriptor is still released

    run(test)


def test_incomplete_requests_stay_within_their_share_of_the_memory() -> None:
    """Hundreds of incomplete bodies, each within its bound, would together exceed the memory limit."""

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


def test_pipelined_requests_of_a_disconnected_client_are_dropped() -> None:
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


def test_the_connection_header_cannot_remove_the_request_id_or_idempotency_key() -> None:
    async def test() -> None:
        async with StandIn() as worker, Rig(None, worker.address) as rig:
            more = b"Connection: X-Request-Id, idempotency-key, X-Mine\r\nX-Mine: 1\r\n"
            asked = asking(b"POST", X_Class=b"token-all", X_Request_Id=b"7", Idempotency_Key=b"k", more=more)
            assert (await rig.ask(asked)).status == 200
            (got,) = worker.requests
            assert (got.get(b"x-request-id"), got.get(b"idempotency-key")) == (b"7", b"k")
            assert got.get(b"x-mine") is None

    run(test)


def test_no_request_waits_longer_than_the_deadline_of_its_class() -> None:
    async def test() -> None:
        policy = Script(lambda e: [interface.Refuse(e.id)] if isinstance(e, interface.Request) else [])
        async with Rig(policy, Address("127.0.0.1", 9)) as rig:
            before = rig.gateway.loop.time()
            assert (await rig.ask(asking(X_Deadline_Ms=b"999999999"))).status == 429
            (asked,) = policy.of(interface.Request)
            assert asked.deadline <= before + DEADLINE + PATIENCE

    run(test)


def test_clients_that_half_close_or_reset_leave_no_state() -> None:
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


def test_many_concurrent_requests_are_each_answered_once() -> None:
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
