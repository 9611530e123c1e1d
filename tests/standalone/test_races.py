"""Races between the end of a request, connection or process and work in flight; events force each order."""

import asyncio
import socket
from dataclasses import replace
from typing import Any

import pytest

from pewterring.standalone.http.messages import Request
from pewterring.standalone.http.reader import MAX_BODY, MAX_HEAD
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.network import clients as clients_module
from pewterring.standalone.network.clients import Client
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.proxy import gateway as gateway_module
from pewterring.standalone.proxy import service as service_module
from tests.standalone.helpers import CLASSES, LIMITS, settings
from tests.standalone.stand_ins import (
    OK,
    Caller,
    Rig,
    Script,
    StandIn,
    Talk,
    asking,
    entry,
    fail_when_over,
    listing,
    run,
    send_to,
    until,
)

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n"
# The second variant has no cancellations, duplicates or probes.
LIMITS_VARIANTS = [LIMITS, interface.Limits(max_attempts=3, peers=True)]
PIPELINED_REQUESTS = 700  # together larger than the read-ahead limit of a connection


def leave_unanswered(talk: Talk, request: Request) -> None:
    """Leaves the request unanswered until the test writes a response."""


class RecordingPolicy(GatewayPolicy):
    """The policy, with a record of its events."""

    def __init__(self, setup: interface.Settings) -> None:
        super().__init__(setup, 7)
        self.events: list[interface.Event] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.events.append(event)
        return super().handle(now, event)

    def of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


class ConnectionGate:
    """Delays new connections to workers until the test opens the gate."""

    def __init__(self, rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
        self.open, self.waiting = asyncio.Event(), 0
        real = rig.service.loop.create_connection

        async def late(*args: Any, **more: Any) -> Any:
            if Address(*args[1:3]) != rig.address:  # the test's own connections are not delayed
                self.waiting += 1
                await self.open.wait()
            return await real(*args, **more)

        monkeypatch.setattr(rig.service.loop, "create_connection", late)


# Responses that belong to another request


def test_a_late_duplicate_response_is_not_taken_for_that_of_the_next_request() -> None:
    """Otherwise the second client would get the response to another request."""

    async def test() -> None:
        async with StandIn(leave_unanswered) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            first, second = await rig.caller(), await rig.caller()
            first.write(asking())
            await until(lambda: worker.requests)
            worker.talks[0].write(write_response(200, [], b"one"))
            assert (await first.answer()).body == b"one"
            second.write(asking())
            await until(lambda: len(worker.requests) == 2)
            worker.talks[0].write(write_response(200, [], b"one"))  # a duplicate, some milliseconds later
            await until(lambda: worker.talks[0].ended or not rig.gateway.calls)
            worker.talks[-1].write(write_response(200, [], b"two"))
            assert (await second.answer()).body == b"two"

    run(test)


# Clients that disconnect while their request is pending


@pytest.mark.parametrize("limits", LIMITS_VARIANTS)
def test_a_request_waiting_for_a_connection_is_not_sent_after_its_client_disconnected(
    limits: interface.Limits, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        module = RecordingPolicy(settings(limits=limits))
        async with StandIn() as worker, Rig(module, worker.address, setup=module.settings) as rig:
            gate = ConnectionGate(rig, monkeypatch)
            caller = await rig.caller()
            caller.write(asking(Plan=b"small", Quota_Info=b"units=2,spread=1,first=0"))
            await until(lambda: gate.waiting)
            (customer,) = module.quota.accounts.values()
            assert (customer.in_flight, round(customer.own.spent, 1)) == (1, 2.0)
            caller.close()
            await until(lambda: rig.gateway.left)
            gate.open.set()
            await until(lambda: not rig.gateway.calls and not rig.service.pool.opening)
            assert [(o.code, o.no_more) for o in module.of(interface.Outcome)] == [
                (interface.Code.TOO_LATE, True)
            ]
            assert (customer.in_flight, customer.own.spent, module.in_flight) == (0, 0.0, 0)
            assert (await rig.ask(asking(X_Request_Id=b"marker"))).status == 200
            assert [r.get(b"x-request-id") for r in worker.requests] == [b"marker"]
            await until(lambda: rig.service.descriptors.used == len(rig.service.pool.idle))

    run(test)


@pytest.mark.parametrize("limits", LIMITS_VARIANTS)
def test_a_request_waiting_for_the_account_owner_is_not_sent_after_its_client_disconnected(
    limits: interface.Limits,
) -> None:
    async def test() -> None:
        module = RecordingPolicy(settings(limits=limits))
        async with StandIn() as worker, Rig(module, worker.address, setup=module.settings) as rig:
            customer = next(n for n in range(9) if (1 + n % 3) % 3 != module.settings.me)
            path, plan = b"/api/%016x" % customer, b"narrow"
            caller = await rig.caller()
            caller.write(asking(target=path, Plan=plan))
            await until(lambda: module.awaiting_owner)
            caller.close()
            await until(lambda: rig.gateway.left)
            assert not module.awaiting_owner
            assert not rig.gateway.calls
            # The owner does not respond to the second request either: once it proceeds, the first would have.
            answer = await rig.ask(asking(target=path, Plan=plan, X_Request_Id=b"marker"))
            assert answer.status == 200
            assert [r.get(b"x-request-id") for r in worker.requests] == [b"marker"]

    run(test)


@pytest.mark.parametrize("limits", LIMITS_VARIANTS)
def test_no_retry_is_made_after_the_client_disconnected(limits: interface.Limits) -> None:
    async def test() -> None:
        module = RecordingPolicy(settings(limits=limits))
        async with (
            StandIn(leave_unanswered) as one, StandIn(leave_unanswered) as two,
            Rig(module, one.address, two.address, setup=module.settings) as rig,
        ):  # fmt: skip
            caller = await rig.caller()
            caller.write(asking())
            await until(lambda: one.requests or two.requests)
            caller.close()
            await until(lambda: rig.gateway.left)
            (talk,) = one.talks + two.talks
            talk.reset()
            await until(lambda: not rig.gateway.calls)
            (outcome,) = module.of(interface.Outcome)
            assert outcome.no_more
            assert outcome.code is (interface.Code.CANCELLED if limits.cancel else interface.Code.ABORTED)
            one.answer = two.answer = lambda talk, request: OK
            assert (await rig.ask(asking(X_Request_Id=b"marker"))).status == 200
            sent = [r.get(b"x-request-id") for r in one.requests + two.requests]
            assert len(sent) == 2
            assert b"marker" in sent

    run(test)


def test_an_attempt_still_connecting_ends_when_another_attempt_serves_its_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Withdrawing an attempt that was never sent is permitted even where cancellations are not."""

    async def test() -> None:
        module = Script(send_to(1, 2))
        async with StandIn() as one, StandIn() as two, Rig(module, one.address, two.address) as rig:
            assert (await rig.ask(asking())).status == 200
            await until(lambda: not rig.gateway.calls)
            rig.service.pool.retain({rig.gateway.directory.targets[1]})  # drops the idle connection to 2
            rig.service.pool.wanted = None
            for idle in rig.service.pool.idle.values():
                idle[0].idle_since -= rig.service.pool.rest_s
            gate, before = ConnectionGate(rig, monkeypatch), len(two.requests)
            assert (await rig.ask(asking())).status == 200
            assert gate.waiting == 1
            gate.open.set()
            await until(lambda: not rig.gateway.calls)
            assert sorted(o.code.value for o in module.of(interface.Outcome)[2:]) == ["ok", "too_late"]
            assert len(two.requests) == before
            assert len(one.requests) == 2

    run(test)


@pytest.mark.parametrize("how", ["closes", "resets"])
def test_a_disconnect_behind_many_pipelined_requests_is_detected(how: str) -> None:
    """Reading is paused after that much data, so neither an end of stream nor a reset is read."""

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(b"".join(asking() for _ in range(PIPELINED_REQUESTS)))
            await until(lambda: any(not c.transport.is_reading() for c in rig.listener.clients))
            await until(lambda: caller.writer.transport.get_write_buffer_size() == 0)
            assert rig.gateway.taken == 1
            caller.close() if how == "closes" else caller.writer.transport.abort()
            await until(lambda: rig.gateway.left == 1)
            await until(lambda: not rig.listener.clients and not rig.gateway.calls)
            assert rig.gateway.taken == 1
            assert rig.listener.held == 0

    run(test)


def test_a_request_sent_after_an_error_is_not_started_once_its_client_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients_module, "ERROR_PAUSE_S", 3600.0)

    async def test() -> None:
        async with StandIn() as worker, Rig(Script(send_to(1)), worker.address) as rig:
            caller = await rig.caller()
            assert (await caller.ask(asking(X_Class=b"unknown"))).status == 400
            (client,) = rig.listener.clients
            caller.write(asking())
            await until(lambda: not client.transport.is_reading())
            caller.close()
            await until(client.hung_up)
            client.resume()
            await until(lambda: not rig.listener.clients)
            assert rig.gateway.taken == 0
            assert not worker.requests

    run(test)


def test_a_request_in_the_accept_queue_is_not_started_after_its_client_disconnected() -> None:
    """Accepting pauses without free descriptors: a complete request and a close can be in the queue."""

    async def test() -> None:
        async with StandIn() as worker, Rig(Script(send_to(1)), worker.address) as rig:
            rig.listener.pause()
            leaving, staying = await rig.caller(), await rig.caller()
            for caller in (leaving, staying):
                caller.write(asking())
            leaving.close()
            await leaving.writer.wait_closed()
            rig.listener.start()
            assert (await staying.answer()).status == 200
            await until(lambda: len(rig.listener.clients) == 1)
            assert len(worker.requests) == 1
            assert rig.gateway.taken == 1
            assert rig.listener.held == 0

    run(test)


def test_a_client_whose_last_byte_crosses_an_eviction_gets_a_503() -> None:
    """It was reset without a response: accepted, by the protocol, and lost."""

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller, request = await rig.caller(), asking()
            caller.write(request[:-1])
            await until(lambda: any(c.reader.started for c in rig.listener.clients))
            assert rig.listener.shed()
            caller.write(request[-1:])
            answer = await caller.answer()
            assert (answer.status, answer.keep_alive) == (503, False)
            await until(lambda: not rig.listener.clients)
            assert rig.service.descriptors.used == 0
            assert rig.listener.held == 0
            assert rig.gateway.taken == 0

    run(test)


def test_pipelined_requests_beyond_the_read_ahead_limit_stay_in_the_socket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each response allowed one more read, however much data was already buffered."""
    most = 0

    class MeasuringClient(Client):
        def update_buffered(self) -> None:
            nonlocal most
            most = max(most, len(self.reader.data))
            super().update_buffered()

    monkeypatch.setattr(clients_module, "Client", MeasuringClient)

    async def test() -> None:
        async with Rig(None, Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(HEALTH * 20_000)
            for _ in range(20_000):
                assert (await caller.answer()).status == 200

    run(test)
    assert MAX_HEAD + MAX_BODY < most <= MAX_HEAD + MAX_BODY + 64 * 1024


# Sends decided at the same time as a change of the list


def test_a_send_decided_while_a_list_drains_its_worker_is_not_started() -> None:
    """All events of a loop iteration are passed to the policy before any action is executed."""

    async def test() -> None:
        def drain(event: interface.Event) -> list[interface.Action]:
            if isinstance(event, interface.Request):
                rig.gateway.listed(listing(entry("s-1", worker.address, "draining"), version=2))
            return []

        module = Script(drain, send_to(1), fail_when_over)
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in module.of(interface.Outcome)] == [interface.Code.UNAVAILABLE]
            assert not worker.talks
            assert not rig.gateway.calls

    run(test)


@pytest.mark.parametrize("class_vanishes", [False, True])
def test_a_retry_whose_connection_is_established_after_its_window_is_not_sent(
    class_vanishes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After the window the workers have forgotten the key and would run the request a second time. A request
    keeps the class that it arrived with, even if the settings change while it is in flight.
    """

    async def test() -> None:
        window = 0.2  # seconds, of the class; connecting may take 1 s
        classes = {**CLASSES, "token-all": replace(CLASSES["token-all"], repeat_window=window)}
        module = Script(send_to(1), repeat_once)
        setup = replace(settings(), classes=classes)
        async with StandIn(leave_unanswered) as worker, Rig(module, worker.address, setup=setup) as rig:
            caller = await rig.caller()
            key = b"Idempotency-Key: k\r\n"
            caller.write(asking(b"POST", body=b"x", more=key, X_Class=b"token-all"))
            await until(lambda: worker.requests)
            gate = ConnectionGate(rig, monkeypatch)
            if class_vanishes:
                rest = {name: cls for name, cls in classes.items() if name != "token-all"}
                rig.service.switch(replace(rig.config, settings=replace(setup, classes=rest)))
            worker.talks[0].reset()
            after_window = rig.service.loop.time() + 2 * window
            await until(lambda: rig.service.loop.time() > after_window)  # the window must have passed
            assert gate.waiting
            gate.open.set()
            assert (await caller.answer()).status == 502
            await until(lambda: not rig.gateway.calls and not rig.service.pool.opening)
            assert [o.code for o in module.of(interface.Outcome)] == [
                interface.Code.ABORTED,
                interface.Code.UNAVAILABLE,
            ]
            assert len(worker.requests) == 1

    def repeat_once(event: interface.Event) -> list[interface.Action]:
        if not isinstance(event, interface.Outcome):
            return []
        return [interface.Send(event.id, 1)] if event.attempt == 0 else [interface.Fail(event.id)]

    run(test)


# Shutdown


def test_a_client_whose_connection_is_closed_at_a_shutdown_can_reconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A recently used connection was closed after the listening socket, so its client could not reconnect."""
    monkeypatch.setattr(service_module, "ON_S", 0.0)

    async def test() -> None:
        async with StandIn() as worker, Rig(Script(send_to(1)), worker.address) as rig:
            rig.gateway.patience = 0.2
            caller = await rig.caller()
            end = asyncio.ensure_future(rig.service.end())
            await until(lambda: rig.gateway.stopping)
            while not rig.listener.closing:
                await caller.ask(HEALTH)
            assert await caller.ended()
            second_caller = await Caller.to(rig.address)
            response = await second_caller.ask(asking())
            assert (response.status, response.keep_alive) == (200, False)
            await end

    run(test)


def test_a_shutdown_does_not_end_early_while_clients_are_connected() -> None:
    """Clients keep using open connections, and could not reconnect before the next start."""

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            began = rig.service.loop.time() - 1.0
            caller = await rig.caller()
            assert (await caller.ask(HEALTH)).keep_alive
            rig.listener.accepted_at = rig.gateway.asked_at = began
            assert not rig.service.quiet(began, 3.0)
            caller.close()
            await until(lambda: not rig.listener.clients)
            assert rig.service.quiet(began, 3.0)
            assert rig.service.quiet(began, 1.0 - service_module.ON_S)

    run(test)


# Errors before a request reaches a worker


@pytest.mark.parametrize("where", ["for_worker", "start", "task"])
def test_an_error_before_the_first_byte_reports_an_outcome_and_leaks_nothing(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def broken(*args: Any, **more: Any) -> Any:
        raise RuntimeError("injected")

    async def test() -> None:
        module = Script(send_to(1), fail_when_over)
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            with monkeypatch.context() as patch:
                if where == "for_worker":
                    patch.setattr(gateway_module, "for_worker", broken)
                elif where == "start":
                    patch.setattr(rig.service.pool, "start", broken)
                else:
                    patch.setattr(rig.service.pool, "open", broken)
                caller = await rig.caller()
                assert (await caller.ask(asking())).status == 502
            assert [o.code for o in module.of(interface.Outcome)] == [interface.Code.TOO_LATE]
            assert rig.gateway.faults == 1
            assert not rig.gateway.calls
            assert rig.service.descriptors.used == 1  # the client connection's
            assert (await caller.ask(asking())).status == 200

    run(test)


def test_a_shutdown_during_the_start_is_graceful() -> None:
    async def test() -> None:
        async with Rig(None, Address("127.0.0.1", 9)) as rig:
            service = service_module.Service(rig.config, rig.log)
            service.stop.set()  # like a signal during the start; a second one follows
            running = asyncio.ensure_future(service.run())
            await until(lambda: service.gateway.stopping)
            service.stop.set()
            await running
            assert [line["event"] for line in rig.log.lines][-2:] == ["stopping", "stopped"]

    run(test)


def test_a_client_that_does_not_read_its_response_does_not_keep_a_descriptor() -> None:
    async def test() -> None:
        async with StandIn(leave_unanswered) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            loop = rig.service.loop
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.setblocking(False)
                await loop.sock_connect(client, rig.address)
                await loop.sock_sendall(client, asking())
                await until(lambda: worker.requests)
                (server_side,) = rig.listener.clients
                sending = server_side.transport.get_extra_info("socket")
                sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                worker.talks[0].write(write_response(200, [], b"x" * 1_000_000))
                await until(lambda: rig.gateway.served)
                assert server_side.unsent
                rig.listener.sweep(patience=3600.0)
                assert rig.listener.clients
                rig.listener.sweep(patience=0.0)
                await until(lambda: not rig.listener.clients)
                await until(lambda: rig.service.descriptors.used == len(rig.service.pool.idle))

    run(test)
