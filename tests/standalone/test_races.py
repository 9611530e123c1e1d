"""Instants in which something ends while something is still owed. Each order is forced by events."""

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
from pewterring.standalone.policy import interface as i
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
LIMITED = [LIMITS, i.Limits(max_attempts=3, peers=True)]  # the second: no cancel, no second copies, no probes
MANY = 700  # requests that together are more than is read ahead of one connection


def held(talk: Talk, request: Request) -> None:
    """Answers when the test says so."""


class Heard(GatewayPolicy):
    """The module, and what it was told."""

    def __init__(self, setup: i.Settings) -> None:
        super().__init__(setup, 7)
        self.told: list[i.Event] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.told.append(event)
        return super().handle(now, event)

    def of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.told if isinstance(event, kind)]


class Gate:
    """Connections to workers come up when the test says so."""

    def __init__(self, rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
        self.open, self.waiting = asyncio.Event(), 0
        real = rig.service.loop.create_connection

        async def late(*args: Any, **more: Any) -> Any:
            if Address(*args[1:3]) != rig.address:  # the test's own come up at once
                self.waiting += 1
                await self.open.wait()
            return await real(*args, **more)

        monkeypatch.setattr(rig.service.loop, "create_connection", late)


# An answer that belongs to another request


def test_a_second_answer_that_comes_late_is_not_the_next_request_s() -> None:
    """It would serve it with what no worker made for it."""

    async def test() -> None:
        async with StandIn(held) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            first, second = await rig.caller(), await rig.caller()
            first.write(asking())
            await until(lambda: worker.requests)
            worker.talks[0].write(write_response(200, [], b"one"))
            assert (await first.answer()).body == b"one"
            second.write(asking())
            await until(lambda: len(worker.requests) == 2)
            worker.talks[0].write(write_response(200, [], b"one"))  # again, some milliseconds later
            await until(lambda: worker.talks[0].ended or not rig.gateway.calls)
            worker.talks[-1].write(write_response(200, [], b"two"))
            assert (await second.answer()).body == b"two"

    run(test)


# A client that leaves while its request waits


@pytest.mark.parametrize("limits", LIMITED)
def test_what_waits_for_a_connection_is_not_sent_once_its_client_has_left(
    limits: i.Limits, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        module = Heard(settings(limits=limits))
        async with StandIn() as worker, Rig(module, worker.address, setup=module.settings) as rig:
            gate = Gate(rig, monkeypatch)
            caller = await rig.caller()
            caller.write(asking(Plan=b"small", Quota_Info=b"units=2,spread=1,first=0"))
            await until(lambda: gate.waiting)
            (customer,) = module.quota.accounts.values()
            assert (customer.in_flight, round(customer.own.spent, 1)) == (1, 2.0)
            caller.close()
            await until(lambda: rig.gateway.left)
            gate.open.set()
            await until(lambda: not rig.gateway.calls and not rig.service.pool.opening)
            assert [(o.code, o.no_more) for o in module.of(i.Outcome)] == [(i.Code.TOO_LATE, True)]
            assert (customer.in_flight, customer.own.spent, module.in_flight) == (0, 0.0, 0)
            assert (await rig.ask(asking(X_Request_Id=b"marker"))).status == 200
            assert [r.get(b"x-request-id") for r in worker.requests] == [b"marker"]
            await until(lambda: rig.service.descriptors.used == len(rig.service.pool.idle))

    run(test)


@pytest.mark.parametrize("limits", LIMITED)
def test_what_waits_for_its_account_s_keeper_is_not_sent_once_its_client_has_left(limits: i.Limits) -> None:
    async def test() -> None:
        module = Heard(settings(limits=limits))
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
            # The keeper says nothing to the next one either: when that one goes on, the first would have.
            answer = await rig.ask(asking(target=path, Plan=plan, X_Request_Id=b"marker"))
            assert answer.status == 200
            assert [r.get(b"x-request-id") for r in worker.requests] == [b"marker"]

    run(test)


@pytest.mark.parametrize("limits", LIMITED)
def test_no_further_attempt_is_made_once_the_client_has_left(limits: i.Limits) -> None:
    async def test() -> None:
        module = Heard(settings(limits=limits))
        async with (
            StandIn(held) as one, StandIn(held) as two,
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
            (outcome,) = module.of(i.Outcome)
            assert outcome.no_more
            assert outcome.code is (i.Code.CANCELLED if limits.cancel else i.Code.ABORTED)
            one.answer = two.answer = lambda talk, request: OK
            assert (await rig.ask(asking(X_Request_Id=b"marker"))).status == 200
            sent = [r.get(b"x-request-id") for r in one.requests + two.requests]
            assert len(sent) == 2
            assert b"marker" in sent

    run(test)


def test_an_attempt_still_connecting_ends_with_its_request_whoever_answers_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another attempt served it, say: to take back what never began needs no leave."""

    async def test() -> None:
        module = Script(send_to(1, 2))
        async with StandIn() as one, StandIn() as two, Rig(module, one.address, two.address) as rig:
            assert (await rig.ask(asking())).status == 200
            await until(lambda: not rig.gateway.calls)
            rig.service.pool.retain({rig.gateway.directory.targets[1]})  # the idle one to 2 goes
            rig.service.pool.wanted = None
            for idle in rig.service.pool.idle.values():
                idle[0].idle_since -= rig.service.pool.rest_s
            gate, before = Gate(rig, monkeypatch), len(two.requests)
            assert (await rig.ask(asking())).status == 200
            assert gate.waiting == 1
            gate.open.set()
            await until(lambda: not rig.gateway.calls)
            assert sorted(o.code.value for o in module.of(i.Outcome)[2:]) == ["ok", "too_late"]
            assert len(two.requests) == before
            assert len(one.requests) == 2

    run(test)


@pytest.mark.parametrize("how", ["closes", "resets"])
def test_a_client_that_sent_much_ahead_and_left_is_seen_to_have_left(how: str) -> None:
    """Reading is paused behind so much: neither the end nor the reset of its bytes is read."""

    async def test() -> None:
        async with Rig(Script(), Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(b"".join(asking() for _ in range(MANY)))
            await until(lambda: any(not c.transport.is_reading() for c in rig.listener.clients))
            await until(lambda: caller.writer.transport.get_write_buffer_size() == 0)
            assert rig.gateway.taken == 1
            caller.close() if how == "closes" else caller.writer.transport.abort()
            await until(lambda: rig.gateway.left == 1)
            await until(lambda: not rig.listener.clients and not rig.gateway.calls)
            assert rig.gateway.taken == 1
            assert rig.listener.held == 0

    run(test)


def test_what_a_client_sent_behind_an_error_is_not_begun_once_it_has_left(
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


def test_what_waited_in_the_system_s_queue_is_not_begun_once_its_client_has_left() -> None:
    """Accepting pauses where descriptors run out: a request lies there whole, its client's end behind it."""

    async def test() -> None:
        async with StandIn() as worker, Rig(Script(send_to(1)), worker.address) as rig:
            rig.listener.pause()
            gone, stays = await rig.caller(), await rig.caller()
            for caller in (gone, stays):
                caller.write(asking())
            gone.close()
            await gone.writer.wait_closed()
            rig.listener.start()
            assert (await stays.answer()).status == 200
            await until(lambda: len(rig.listener.clients) == 1)
            assert len(worker.requests) == 1
            assert rig.gateway.taken == 1
            assert rig.listener.held == 0

    run(test)


def test_whose_last_byte_crosses_an_eviction_is_told_so() -> None:
    """It was reset without a word: taken, by the protocol, and lost."""

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


def test_what_is_sent_ahead_waits_in_the_socket_however_many_answers_are_given(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each answer let one more read in, whatever lay there already."""
    most = 0

    class Measured(Client):
        def update_buffered(self) -> None:
            nonlocal most
            most = max(most, len(self.reader.data))
            super().update_buffered()

    monkeypatch.setattr(clients_module, "Client", Measured)

    async def test() -> None:
        async with Rig(None, Address("127.0.0.1", 9)) as rig:
            caller = await rig.caller()
            caller.write(HEALTH * 20_000)
            for _ in range(20_000):
                assert (await caller.answer()).status == 200

    run(test)
    assert MAX_HEAD + MAX_BODY < most <= MAX_HEAD + MAX_BODY + 64 * 1024


# A send decided beside a change of the list


def test_a_send_decided_beside_the_list_that_drains_its_worker_is_not_begun() -> None:
    """All events of a turn are told before any action is carried out."""

    async def test() -> None:
        def drain(event: i.Event) -> list[i.Action]:
            if isinstance(event, i.Request):
                rig.gateway.listed(listing(entry("s-1", worker.address, "draining"), version=2))
            return []

        module = Script(drain, send_to(1), fail_when_over)
        async with StandIn() as worker, Rig(module, worker.address) as rig:
            assert (await rig.ask(asking())).status == 502
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.UNAVAILABLE]
            assert not worker.talks
            assert not rig.gateway.calls

    run(test)


@pytest.mark.parametrize("class_vanishes", [False, True])
def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_begun(
    class_vanishes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The workers know it no more by then, and would run it a second time. A request keeps the class that it
    came with, whatever settings come while it is under way.
    """

    async def test() -> None:
        window = 0.2  # of the class; a connection may take a second to come up
        classes = {**CLASSES, "token-all": replace(CLASSES["token-all"], repeat_window=window)}
        module = Script(send_to(1), repeat_once)
        setup = replace(settings(), classes=classes)
        async with StandIn(held) as worker, Rig(module, worker.address, setup=setup) as rig:
            caller = await rig.caller()
            key = b"Idempotency-Key: k\r\n"
            caller.write(asking(b"POST", body=b"x", more=key, X_Class=b"token-all"))
            await until(lambda: worker.requests)
            gate = Gate(rig, monkeypatch)
            if class_vanishes:
                rest = {name: cls for name, cls in classes.items() if name != "token-all"}
                rig.service.switch(replace(rig.config, settings=replace(setup, classes=rest)))
            worker.talks[0].reset()
            over = rig.service.loop.time() + 2 * window
            await until(lambda: rig.service.loop.time() > over)  # what is tested is a time that is over
            assert gate.waiting
            gate.open.set()
            assert (await caller.answer()).status == 502
            await until(lambda: not rig.gateway.calls and not rig.service.pool.opening)
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.ABORTED, i.Code.UNAVAILABLE]
            assert len(worker.requests) == 1

    def repeat_once(event: i.Event) -> list[i.Action]:
        if not isinstance(event, i.Outcome):
            return []
        return [i.Send(event.id, 1)] if event.attempt == 0 else [i.Fail(event.id)]

    run(test)


# A stop


def test_what_crosses_the_last_close_at_a_stop_finds_the_door_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that had been used just before was closed after the door was."""
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
            again = await Caller.to(rig.address)
            response = await again.ask(asking())
            assert (response.status, response.keep_alive) == (200, False)
            await end

    run(test)


def test_while_somebody_is_connected_a_stop_does_not_end_early() -> None:
    """Clients go on using what stays open, and find nobody in this place before the next start."""

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


# A fault on the way to a worker


@pytest.mark.parametrize("where", ["for_worker", "start", "task"])
def test_a_fault_before_the_first_byte_owes_an_outcome_and_keeps_nothing(
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
            assert [o.code for o in module.of(i.Outcome)] == [i.Code.TOO_LATE]
            assert rig.gateway.faults == 1
            assert not rig.gateway.calls
            assert rig.service.descriptors.used == 1  # the client's
            assert (await caller.ask(asking())).status == 200

    run(test)


def test_a_stop_within_the_start_ends_in_good_order() -> None:
    async def test() -> None:
        async with Rig(None, Address("127.0.0.1", 9)) as rig:
            service = service_module.Service(rig.config, rig.log)
            service.stop.set()  # as a signal before the start is complete, and again
            running = asyncio.ensure_future(service.run())
            await until(lambda: service.gateway.stopping)
            service.stop.set()
            await running
            assert [line["event"] for line in rig.log.lines][-2:] == ["stopping", "stopped"]

    run(test)


def test_who_does_not_take_its_answer_keeps_no_descriptor_for_long() -> None:
    async def test() -> None:
        async with StandIn(held) as worker, Rig(Script(send_to(1)), worker.address) as rig:
            loop = rig.service.loop
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.setblocking(False)
                await loop.sock_connect(client, rig.address)
                await loop.sock_sendall(client, asking())
                await until(lambda: worker.requests)
                (theirs,) = rig.listener.clients
                sending = theirs.transport.get_extra_info("socket")
                sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                worker.talks[0].write(write_response(200, [], b"x" * 1_000_000))
                await until(lambda: rig.gateway.served)
                assert theirs.unsent
                rig.listener.sweep(patience=3600.0)
                assert rig.listener.clients
                rig.listener.sweep(patience=0.0)
                await until(lambda: not rig.listener.clients)
                await until(lambda: rig.service.descriptors.used == len(rig.service.pool.idle))

    run(test)
