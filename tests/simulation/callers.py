"""Operators and workers, as the protocol describes them.

They record what they saw in the run's `History`; an answer that the protocol does not know is a violation.
"""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import orjson

from pewterring.configuration.digest import document_digest
from pewterring.control.calls import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    READ_PATH,
    REPLACE_PATH,
    UPDATE_PATH,
    Answer,
    Call,
)
from tests.simulation.history import NONE, Order, Outcome, Read, State
from tests.simulation.route_limits import RouteLimits

if TYPE_CHECKING:
    from tests.simulation.world import World

PATCHED_SHARE = 0.5  # of the orders that build on a configuration
CALL_TIMEOUT_S = 1.0  # a caller that got no answer for so long tries another machine
REFUSALS = (400, 409, 412)
HEARTBEAT_S = 1.0
USUAL_LIMITS = RouteLimits()
END_S = 3.0  # a worker stops after that time, acknowledged or not


def document(version: int, text: str, limits: RouteLimits = USUAL_LIMITS) -> bytes:
    """Encodes a small valid configuration, told apart by its label."""
    services = [{"name": "s"}]
    return orjson.dumps({"version": version, "routes": [only_route(text, limits)], "backends": services})


def only_route(text: str, limits: RouteLimits) -> dict[str, object]:
    """Returns the only route of a configuration: that of batch jobs, unless the limits lack it."""
    return batch_route(text, limits) if limits.is_present else live_route(text)


def live_route(text: str) -> dict[str, object]:
    """Returns the route of a configuration without batch jobs."""
    return {
        "name": "jobs",
        "label": text,
        "hostname": "h",
        "path_prefix": "/live/",
        "route_type": "idempotent",
        "backend": "s",
    }


def batch_route(text: str, limits: RouteLimits) -> dict[str, object]:
    """Returns the route of batch jobs."""
    return {
        "name": "jobs",
        "label": text,
        "hostname": "h",
        "path_prefix": "/jobs/",
        "route_type": "batch_job",
        "backend": "s",
        "max_attempts": limits.max_attempts,
        "run_aim_ms": limits.completion_target_ms,
        "keep_s": limits.keep_s,
    }


def patch_of(version: int, text: str, limits: RouteLimits = USUAL_LIMITS) -> tuple[bytes, State]:
    """Returns a patch that replaces the route, and the state that it makes of any `document`."""
    upsert = {"routes": [only_route(text, limits)]}
    body = orjson.dumps({"version": version, "upsert": upsert, "delete": {"backends": ["unused"]}})
    return body, state_of(document(version, text, limits))


def state_of(body: bytes) -> State:
    """Returns the register's state that a document stands for."""
    return State(orjson.loads(body)["version"], document_digest(body))


class _SentOrder(NamedTuple):
    """An order as it is sent, and sent again: the call, the state that it makes, and its base version."""

    call: Call
    state: State
    base: int


class Operator:
    """Reads, builds on what it read, retries until the outcome is known, and resends old orders at times."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._rng = random.Random(world.rng.random())
        self._name = name
        self._count = 0
        self._acknowledged: list[_SentOrder] = []
        self._forms = random.Random()  # separate, so that the share of patches changes no other draw
        self._forms.setstate(self._rng.getstate())
        self.busy = True

    async def work(self) -> None:
        """Sends orders until `busy` is false."""
        base = 0
        while self.busy:
            await asyncio.sleep(self._rng.uniform(0.05, 0.5))
            if self._acknowledged and self._rng.random() < 0.15:
                newest = self._rng.random() < 0.5
                await self.send(self._acknowledged[-1] if newest else self._rng.choice(self._acknowledged))
                continue
            if self._rng.random() < 0.6:
                base = await self.read_version(base)
            base = await self._order(base)

    async def _order(self, base: int) -> int:
        """Sends a new configuration; returns the base of the next one."""
        self._count += 1
        version = base + self._rng.choice((1, 1, 2, 5))
        order = self._new_order(base, version, f"{self._name}-{self._count}")
        for _ in range(30):
            answer = await self.send(order)
            if answer is not None and answer.status == 200:
                self._acknowledged.append(order)
                return version
            if answer is not None and answer.status in REFUSALS:
                break
            if not self.busy:
                break
            await asyncio.sleep(self._rng.uniform(0.02, 0.3))
        return await self.read_version(base)

    def _new_order(self, base: int, version: int, text: str) -> _SentOrder:
        """Returns a complete configuration, or a patch if there is one to build on."""
        limits = self._world.limits.at(self._world.loop.time())
        if not base or self._forms.random() >= PATCHED_SHARE:
            body = document(version, text, limits)
            order = _SentOrder(Call("POST", REPLACE_PATH, str(base), body), state_of(body), base)
        else:
            body, state = patch_of(version, text, limits)
            order = _SentOrder(Call("POST", UPDATE_PATH, str(base), body), state, base)
        self._world.limits.record_sent(order.state, limits)
        return order

    async def send(self, order: _SentOrder) -> Answer | None:
        """Sends an order once, to any machine, and records the outcome."""
        began_s = self._world.loop.time()
        answer = await self._world.http.call(self._any_ip(), order.call, CALL_TIMEOUT_S)
        outcome = Outcome.UNKNOWN
        if answer is not None and answer.status == 200:
            outcome = Outcome.DONE
        elif answer is not None and answer.status in REFUSALS:
            outcome = Outcome.REFUSED
        status = answer.status if answer is not None else 0
        if outcome is Outcome.UNKNOWN and status not in (0, 503):
            self._world.invariants.record_violation(f"an order was answered {status}")
        self._world.history.orders.append(
            Order(order.state, order.base, began_s, self._world.loop.time(), outcome, status)
        )
        if outcome is Outcome.DONE:
            self._world.reached("order_acked", self._world.leader() or self._world.present_machines()[0])
        return answer

    async def read_version(self, otherwise: int) -> int:
        """Returns the current version according to any one machine, or `otherwise`."""
        state = await self.read(self._any_ip())
        return otherwise if state is None else state.version

    async def read(self, ip: str) -> State | None:
        """Reads the configuration at one machine; returns None where there was no answer."""
        began_s = self._world.loop.time()
        answer = await self._world.http.call(ip, Call("GET", READ_PATH), CALL_TIMEOUT_S)
        if answer is None or answer.status == 503:
            return None
        try:
            state = NONE if answer.status == 404 else state_of(answer.body)
        except (KeyError, orjson.JSONDecodeError):
            self._world.invariants.record_violation(f"a read was answered {answer.body!r}")
            return None
        self._world.history.reads.append(Read(state, began_s, self._world.loop.time()))
        return state

    async def read_often(self) -> None:
        """Reads at random machines until `busy` is false."""
        while self.busy:
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))
            await self.read(self._any_ip())

    def _any_ip(self) -> str:
        return self._rng.choice(self._world.known_control())


class Worker:
    """Registers, drains and deregisters; then the next incarnation follows at its address."""

    def __init__(self, world: "World", number: int) -> None:
        self._world = world
        self._rng = random.Random(world.rng.random())
        self._number = number
        self._sequence = 0
        self._target = ""

    async def work(self) -> None:
        """Runs one incarnation after the other, until the simulation ends."""
        incarnation = 0
        while True:
            incarnation += 1
            await self._run_incarnation(f"w{self._number}-{incarnation}")
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))

    async def _run_incarnation(self, name: str) -> None:
        self._sequence = 0
        end = self._world.loop.time() + self._rng.uniform(2.0, 12.0)
        while self._world.loop.time() < end:
            await self._heartbeat(name, "ready")
            await asyncio.sleep(HEARTBEAT_S * self._rng.uniform(0.5, 1.1))
        if self._rng.random() < 0.15:
            return  # it crashes
        if self._rng.random() < 0.8:
            await self._until_acknowledged(name, self._drain_call)
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            if self._rng.random() < 0.3:
                await self._late_heartbeat(name)
        await self._until_acknowledged(name, self._deregister_call)
        if self._rng.random() < 0.3:
            late = self._heartbeat_call(name, "ready")
            self._world.loop.create_task(self._send_late(late, self._rng.uniform(0.5, 8.0)))

    async def _late_heartbeat(self, name: str) -> None:
        """Sends a heartbeat from before the drain, which arrives only now."""
        self._sequence -= 2
        await self._heartbeat(name, "ready")
        self._sequence += 2

    async def _send_late(self, call: Call, after_s: float) -> None:
        """Sends a heartbeat that was delayed for seconds."""
        await asyncio.sleep(after_s)
        await self._send(call)

    async def _until_acknowledged(self, name: str, make: Callable[[str], Call]) -> None:
        end = self._world.loop.time() + END_S
        while self._world.loop.time() < end:
            call = make(name)
            if await self._send(call):
                self._world.invariants.left.setdefault(name, self._world.loop.time())
                self._world.reached("drain_acked", self._world.leader() or self._world.present_machines()[0])
                return
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))

    async def _heartbeat(self, name: str, state: str) -> None:
        for _ in range(3):
            if await self._send(self._heartbeat_call(name, state)):
                return

    def _heartbeat_call(self, name: str, state: str) -> Call:
        self._sequence += 1
        body = {
            "backend": "s",
            "address": f"10.9.0.{self._number}:80",
            "capacity": 4,
            "state": state,
            "sequence": self._sequence,
        }
        return Call("POST", f"{HEARTBEAT_PATH}{name}", body=orjson.dumps(body))

    def _drain_call(self, name: str) -> Call:
        return self._heartbeat_call(name, "draining")

    def _deregister_call(self, name: str) -> Call:
        return Call("POST", f"{DEREGISTER_PATH}{name}")

    async def _send(self, call: Call) -> bool:
        if not self._target:
            self._target = self._rng.choice(self._world.known_control())
        answer = await self._world.http.call(self._target, call, CALL_TIMEOUT_S)
        if answer is not None and answer.status == 200:
            return True
        self._target = ""
        if answer is not None and answer.status != 503:
            self._world.invariants.record_violation(f"a worker's call was answered {answer.status}")
        return False
