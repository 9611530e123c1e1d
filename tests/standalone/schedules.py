"""Seeded schedules against the whole program, on loopback sockets in virtual time.

The events of a schedule are drawn before it runs; the stand-ins check the rules at each event.
"""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

from pewterring.standalone.http.messages import Request
from pewterring.standalone.http.reader import ResponseReader
from pewterring.standalone.http.writer import write_response
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.proxy.service import Service
from tests.standalone.stand_ins import Rig, StandIn, Talk, as_json, asking, entry, until
from tests.transport import virtual_time

WORKERS, REQUESTS, DISCONNECTS, DURATION_S = 3, 300, 75, 1.5
DRAIN_GRACE_S, DISCONNECT_GRACE_S, SLACK_S = 0.6, 0.3, 0.05
CLASSES = {
    "pure": interface.RequestClass("pure", 0.3, 0.9),
    "keyed": interface.RequestClass("keyed", 0.3, 0.9, interface.Effect.TOKEN, interface.Group.CELL, 0.5),
    "once": interface.RequestClass("once", 0.3, 0.7, interface.Effect.SIDE_EFFECT),
}
METHODS = {"pure": b"GET", "keyed": b"POST", "once": b"POST"}
FULL_LIMITS = interface.Limits(
    max_attempts=3, may_duplicate=True, cancel=True, retry_after=True, max_retry_after=1.0
)
MINIMAL_LIMITS = interface.Limits(max_attempts=2)  # no cancellation, no duplicates, no Retry-After
# How a worker handles a request, and how long a new connection to it takes.
WORKER_BEHAVIOURS = ("answers",) * 24 + (
    "answers twice",
    "answers twice",
    "resets",
    "hangs",
    "rejects",
    "truncates",
    "answers and closes",
)
CONNECT_DELAYS_S = (0.0,) * 6 + (0.05, 0.2, 0.4)


@dataclass
class Step:
    at: float
    action: str
    index: int = 0
    more: float = 0.0


@dataclass
class ClientRequest:
    """One request of a client, and its outcome."""

    id: bytes
    cls: str
    disconnected_at: float = float("inf")
    status: int = 0  # 0: none yet; -1: the connection was closed before an answer
    executions: list[tuple[float, int]] = field(default_factory=list)  # when, at which worker


def draw_schedule(seed: int) -> list[Step]:
    rng = random.Random(seed)
    steps = [Step(rng.uniform(0, DURATION_S), "request", n) for n in range(REQUESTS)]
    for n in rng.sample(range(REQUESTS), DISCONNECTS):
        steps.append(Step(steps[n].at + rng.choice((0.0, 0.02, 0.1, 0.3)), "disconnect", n))
    drained = rng.randrange(WORKERS)
    steps.append(Step(rng.uniform(0.1, 0.3), "drain", drained))
    steps += [Step(rng.uniform(0.0, 0.4), "ignore list request"), Step(rng.uniform(0.2, 0.9), "reload")]
    steps += [Step(rng.uniform(DURATION_S, DURATION_S + 0.1), "terminate")]
    steps += [Step(DURATION_S + 0.1 + rng.uniform(0.02, 0.4), "request", REQUESTS + n) for n in range(8)]
    return sorted(steps, key=lambda step: step.at)


class ScheduleRun:
    """The run of one schedule; `violations` lists the rules that were broken."""

    def __init__(self, seed: int) -> None:
        self.seed, self.steps, self.violations = seed, draw_schedule(seed), list[str]()
        self.rng = random.Random(seed + 1)
        self.requests: dict[bytes, ClientRequest] = {}
        self.clients: dict[int, tuple[ClientRequest, asyncio.StreamWriter]] = {}
        self.draining_since: dict[int, float] = defaultdict(
            lambda: float("inf")
        )  # when each worker began to drain
        self.version, self.list_changed = 2, asyncio.Event()
        self.ignore_list_request = False  # whether the open list request gets no answer
        self.terminated_at = float("inf")
        self.loop = asyncio.get_running_loop()
        self.workers: list[StandIn] = []

    def record_violation(self, message: str) -> None:
        self.violations.append(f"{self.loop.time() - self.began:.3f} s: {message}")

    # Stand-ins of workers and of the discovery service

    def execute(self, worker: int, talk: Talk, http_request: Request) -> None:
        now, request = self.loop.time(), self.requests.get(http_request.get(b"x-request-id") or b"")
        if request is None:
            return self.record_violation(f"worker {worker} received a request that no client had sent")
        if now > request.disconnected_at + DISCONNECT_GRACE_S + SLACK_S:
            self.record_violation(
                f"{request.id!r} reached worker {worker} "
                f"{now - request.disconnected_at:.3f} s after its client disconnected"
            )
        if now > self.draining_since[worker] + DRAIN_GRACE_S + SLACK_S:
            self.record_violation(f"{request.id!r} reached worker {worker}, which is draining")
        behaviour = self.rng.choice(WORKER_BEHAVIOURS)
        if request.executions and request.cls == "once":
            self.record_violation(f"{request.id!r} must not be repeated and was")
        if request.executions and request.cls == "keyed":
            executed_at, first_worker = request.executions[0]
            if worker != first_worker or now > executed_at + CLASSES["keyed"].repeat_window + SLACK_S:
                self.record_violation(f"{request.id!r} was repeated outside its group or window")
        if behaviour == "rejects":
            return talk.write(write_response(503, [(b"x-not-run", b"1")]))
        request.executions.append((now, worker))
        body = b"for " + request.id
        response = write_response(200, [], body)
        if behaviour == "answers":
            self.loop.call_later(self.rng.uniform(0.0, 0.03), talk.write, response)
        elif behaviour == "answers twice":
            talk.write(response)
            self.loop.call_later(0.005, talk.write, response)
        elif behaviour == "answers and closes":
            talk.write(response)
            talk.close()
        elif behaviour == "resets":
            talk.reset()
        elif behaviour == "truncates":
            talk.write(response[: len(response) // 2])

    def on_list_request(self, talk: Talk, request: Request) -> None:
        task = self.loop.create_task(self.answer_list_request(talk, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer_list_request(self, talk: Talk, request: Request) -> None:
        query = dict(part.split(b"=") for part in request.target.partition(b"?")[2].split(b"&") if part)
        if query and int(query[b"index"]) >= self.version:
            try:
                async with asyncio.timeout(int(query[b"wait"]) / 1000):
                    await self.list_changed.wait()
            except TimeoutError:
                pass
            if self.ignore_list_request:
                self.ignore_list_request = False
                return  # never: the gateway has to send it again
        entries = [
            entry(f"s-{n}", worker.address, "draining" if n in self.draining else "up", cell=n)
            for n, worker in enumerate(self.workers, 1)
        ]
        talk.write(write_response(200, [], as_json(self.version, True, *entries)))

    # Clients

    async def send_request(self, number: int) -> None:
        cls = self.rng.choice(("pure", "pure", "keyed", "once"))
        request = ClientRequest(b"%d-%d" % (self.seed, number), cls)
        self.requests[request.id] = request
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            if self.loop.time() < self.terminated_at + 0.4:
                self.record_violation(f"{request.id!r} could not connect")
            return
        self.clients[number] = request, writer
        parser = ResponseReader()
        key_header = b"Idempotency-Key: k\r\n" if cls == "keyed" else b""
        body = b"" if cls == "pure" else b"payload"
        writer.write(asking(METHODS[cls], body=body, more=key_header, X_Class=cls.encode(),
                            X_Request_Id=request.id, Quota_Info=b"units=1,spread=1,first=0",
                            X_Deadline_Ms=b"%d" % (1000 * CLASSES[cls].deadline)))  # fmt: skip
        try:
            async with asyncio.timeout(CLASSES[cls].deadline + 0.6):
                while (response := parser.next()) is None:
                    data = await reader.read(65536)
                    if not data:
                        request.status = -1
                        break
                    parser.feed(data)
        except ConnectionError:
            request.status = -1
        except TimeoutError:
            response = None
        if response is not None:
            request.status = response.status
            if response.status == 200 and response.body != b"for " + request.id:
                self.record_violation(f"{request.id!r} was answered with {response.body!r}")
            if response.status == 429 and cls != "pure" and request.executions:
                self.record_violation(f"{request.id!r} may have been executed and was rejected")
        if request.disconnected_at == float("inf") and request.status <= 0:
            self.record_violation(f"{request.id!r} got no answer ({request.status})")
        await asyncio.sleep(0.02)  # a second answer would arrive now
        if response is not None and (parser.started or reader._buffer):  # type: ignore[attr-defined]
            self.record_violation(f"{request.id!r} was answered twice")
        writer.close()

    # The schedule

    async def step(self, step: Step) -> None:
        await asyncio.sleep(max(0.0, self.began + step.at - self.loop.time()))
        if step.action == "request":
            await self.send_request(step.index)
        elif step.action == "disconnect" and step.index in self.clients:
            request, writer = self.clients[step.index]
            if not request.status:
                request.disconnected_at = self.loop.time()
            writer.close()
        elif step.action == "drain":
            self.draining.add(step.index + 1)
            self.version += 1
            self.draining_since[step.index + 1] = (
                self.loop.time()
            )  # a list from the local agent counts at once
            self.list_changed.set()
            self.list_changed = asyncio.Event()  # later list requests wait for later changes
        elif step.action == "ignore list request":
            self.ignore_list_request = True
        elif step.action == "reload":
            self.service.reload()
        elif step.action == "terminate":
            self.terminated_at = self.loop.time()
            self.service.stop.set()

    async def run(self, limits: interface.Limits) -> None:
        self.draining, self.tasks = set[int](), set[asyncio.Task[None]]()
        rules = interface.Rules(
            stop_sending_within=DRAIN_GRACE_S, cold=5.0, cold_share=0.3, fall_multiple=3.0
        )
        settings = interface.Settings(0, 1, "a", CLASSES, {"free": interface.Plan("free")}, limits, rules)
        self.workers = [StandIn(lambda t, r, n=n: self.execute(n, t, r)) for n in range(1, WORKERS + 1)]  # type: ignore[misc]
        agents = [StandIn(self.on_list_request), StandIn(self.on_list_request)]
        for stand_in in (*self.workers, *agents):
            await stand_in.__aenter__()
        policy = GatewayPolicy(settings, self.seed)
        rig = Rig(None, *(w.address for w in self.workers), discovery=agents[0].address, setup=settings)
        service = self.service = Service(
            rig.config, rig.log, policy, lambda: replace(rig.config, discovery=agents[1].address)
        )
        create_connection = self.loop.create_connection

        async def connect_late(factory: object, host: str, port: int, **options: object) -> object:
            if any(Address(host, port) == w.address for w in self.workers):
                await asyncio.sleep(self.rng.choice(CONNECT_DELAYS_S))
            return await create_connection(factory, host, port, **options)  # type: ignore[call-overload]

        self.loop.create_connection = connect_late  # type: ignore[assignment,method-assign]
        try:
            running = self.loop.create_task(service.run())
            await until(lambda: service.discovery and service.discovery.version == self.version)
            assert service.listener is not None
            self.address, self.began = service.listener.address, self.loop.time()
            await asyncio.gather(*(self.step(step) for step in self.steps))
            await running
            self.nothing_left(service, policy)
        finally:
            self.loop.create_connection = create_connection  # type: ignore[method-assign]
            for stand_in in (*self.workers, *agents):
                await stand_in.__aexit__(None, None, None)

    def nothing_left(self, service: Service, policy: GatewayPolicy) -> None:
        listener = service.listener
        assert listener is not None
        remaining = {
            "calls": len(service.gateway.calls), "clients": len(listener.clients),
            "bytes of clients": listener.held, "bytes of workers": service.pool.held,
            "opening": len(service.pool.opening), "requests in the policy": len(policy.requests),
            "attempts in the policy": len(policy.attempts), "faults": service.gateway.faults,
        }  # fmt: skip
        served = sum(request.status == 200 for request in self.requests.values())
        if served < REQUESTS / 3:
            self.record_violation(f"only {served} of {len(self.requests)} were served: too few for the test")
        for what, count in remaining.items():
            if count:
                self.record_violation(f"{count} {what} left at the end")


def run_schedule(seed: int, limits: interface.Limits) -> list[str]:
    """The violations in one run of a schedule, with its steps."""
    found: list[str] = []

    async def main() -> None:
        run = ScheduleRun(seed)
        async with asyncio.timeout(30):
            await run.run(limits)
        found.extend(run.violations)
        if run.violations:
            found.extend(f"    {s.at:.3f} {s.action} {s.index}" for s in run.steps)

    virtual_time.run(main())
    return found
