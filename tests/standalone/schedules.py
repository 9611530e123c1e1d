"""Seeded schedules against the whole program, small, on loopback sockets in virtual time.

What happens is drawn beforehand; what must hold is checked on each event, from the stand-ins' side.
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
from pewterring.standalone.policy.decisions import Gatekeeper
from pewterring.standalone.proxy.service import Service
from tests.standalone.stand_ins import Rig, StandIn, Talk, as_json, asking, entry, until
from tests.transport import virtual_time

WORKERS, REQUESTS, LEAVING, DAY_S = 3, 300, 75, 1.5
DRAIN_S, LEFT_S, SLACK_S = 0.6, 0.3, 0.05
CLASSES = {
    "pure": interface.RequestClass("pure", 0.3, 0.9),
    "keyed": interface.RequestClass("keyed", 0.3, 0.9, interface.Effect.TOKEN, interface.Group.CELL, 0.5),
    "once": interface.RequestClass("once", 0.3, 0.7, interface.Effect.SIDE_EFFECT),
}
METHODS = {"pure": b"GET", "keyed": b"POST", "once": b"POST"}
FREE = interface.Limits(
    max_attempts=3, may_duplicate=True, cancel=True, retry_after=True, max_retry_after=1.0
)
BARE = interface.Limits(max_attempts=2)  # no cancel, no second copies, no Retry-After
# What a worker does with a request, and what the way to it does with a new connection.
DOES = ("answers",) * 24 + ("twice", "twice", "resets", "hangs", "turns away", "spoils", "answers and closes")
UP_LATE_S = (0.0,) * 6 + (0.05, 0.2, 0.4)


@dataclass
class Step:
    at: float
    what: str
    which: int = 0
    more: float = 0.0


@dataclass
class Asked:
    """One request of a client, and what came of it."""

    id: bytes
    cls: str
    left_at: float = float("inf")
    status: int = 0  # 0: none; -1: the connection was closed and nothing of an answer had come
    ran: list[tuple[float, int]] = field(default_factory=list)  # when, at which worker


def schedule(seed: int) -> list[Step]:
    rng = random.Random(seed)
    steps = [Step(rng.uniform(0, DAY_S), "ask", n) for n in range(REQUESTS)]
    for n in rng.sample(range(REQUESTS), LEAVING):
        steps.append(Step(steps[n].at + rng.choice((0.0, 0.02, 0.1, 0.3)), "leave", n))
    drained = rng.randrange(WORKERS)
    steps.append(Step(rng.uniform(0.1, 0.3), "drain", drained))
    steps += [Step(rng.uniform(0.0, 0.4), "silence"), Step(rng.uniform(0.2, 0.9), "hang up")]
    steps += [Step(rng.uniform(DAY_S, DAY_S + 0.1), "terminate")]
    steps += [Step(DAY_S + 0.1 + rng.uniform(0.02, 0.4), "ask", REQUESTS + n) for n in range(8)]
    return sorted(steps, key=lambda step: step.at)


class Play:
    """One schedule, played. `wrong` holds what did not hold."""

    def __init__(self, seed: int) -> None:
        self.seed, self.steps, self.wrong = seed, schedule(seed), list[str]()
        self.rng = random.Random(seed + 1)
        self.asked: dict[bytes, Asked] = {}
        self.clients: dict[int, tuple[Asked, asyncio.StreamWriter]] = {}
        self.told_at: dict[int, float] = defaultdict(lambda: float("inf"))  # since when a worker drains
        self.version, self.news = 2, asyncio.Event()
        self.silent = False  # whether the watch that is open stays without an answer
        self.terminated_at = float("inf")
        self.loop = asyncio.get_running_loop()
        self.workers: list[StandIn] = []

    def accuse(self, what: str) -> None:
        self.wrong.append(f"{self.loop.time() - self.began:.3f} s: {what}")

    # The stand-ins

    def work(self, which: int, talk: Talk, request: Request) -> None:
        now, asked = self.loop.time(), self.asked.get(request.get(b"x-request-id") or b"")
        if asked is None:
            return self.accuse(f"worker {which} got a request that no client sent")
        if now > asked.left_at + LEFT_S + SLACK_S:
            self.accuse(
                f"{asked.id!r} came to worker {which} {now - asked.left_at:.3f} s after its client left"
            )
        if now > self.told_at[which] + DRAIN_S + SLACK_S:
            self.accuse(f"{asked.id!r} came to worker {which}, which drains")
        does = self.rng.choice(DOES)
        if asked.ran and asked.cls == "once":
            self.accuse(f"{asked.id!r} may not be repeated and was")
        if asked.ran and asked.cls == "keyed":
            at, first = asked.ran[0]
            if which != first or now > at + CLASSES["keyed"].repeat_window + SLACK_S:
                self.accuse(f"{asked.id!r} was repeated out of its group or window")
        if does == "turns away":
            return talk.write(write_response(503, [(b"x-not-run", b"1")]))
        asked.ran.append((now, which))
        body = b"for " + asked.id
        good = write_response(200, [], body)
        if does == "answers":
            self.loop.call_later(self.rng.uniform(0.0, 0.03), talk.write, good)
        elif does == "twice":
            talk.write(good)
            self.loop.call_later(0.005, talk.write, good)
        elif does == "answers and closes":
            talk.write(good)
            talk.close()
        elif does == "resets":
            talk.reset()
        elif does == "spoils":
            talk.write(good[: len(good) // 2])

    def listed(self, talk: Talk, request: Request) -> None:
        task = self.loop.create_task(self.tell(talk, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def tell(self, talk: Talk, request: Request) -> None:
        query = dict(part.split(b"=") for part in request.target.partition(b"?")[2].split(b"&") if part)
        if query and int(query[b"index"]) >= self.version:
            try:
                async with asyncio.timeout(int(query[b"wait"]) / 1000):
                    await self.news.wait()
            except TimeoutError:
                pass
            if self.silent:
                self.silent = False
                return  # for good: it has to be opened anew
        entries = [
            entry(f"s-{n}", worker.address, "draining" if n in self.draining else "up", cell=n)
            for n, worker in enumerate(self.workers, 1)
        ]
        talk.write(write_response(200, [], as_json(self.version, True, *entries)))

    # The clients

    async def ask(self, number: int) -> None:
        cls = self.rng.choice(("pure", "pure", "keyed", "once"))
        asked = Asked(b"%d-%d" % (self.seed, number), cls)
        self.asked[asked.id] = asked
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            if self.loop.time() < self.terminated_at + 0.4:
                self.accuse(f"{asked.id!r} found a closed door")
            return
        self.clients[number] = asked, writer
        parser = ResponseReader()
        key = b"Idempotency-Key: k\r\n" if cls == "keyed" else b""
        body = b"" if cls == "pure" else b"payload"
        writer.write(asking(METHODS[cls], body=body, more=key, X_Class=cls.encode(), X_Request_Id=asked.id,
                            Quota_Info=b"units=1,spread=1,first=0",
                            X_Deadline_Ms=b"%d" % (1000 * CLASSES[cls].deadline)))  # fmt: skip
        try:
            async with asyncio.timeout(CLASSES[cls].deadline + 0.6):
                while (response := parser.next()) is None:
                    data = await reader.read(65536)
                    if not data:
                        asked.status = -1
                        break
                    parser.feed(data)
        except ConnectionError:
            asked.status = -1
        except TimeoutError:
            response = None
        if response is not None:
            asked.status = response.status
            if response.status == 200 and response.body != b"for " + asked.id:
                self.accuse(f"{asked.id!r} was answered with {response.body!r}")
            if response.status == 429 and cls != "pure" and asked.ran:
                self.accuse(f"{asked.id!r} may have run and was refused")
        if asked.left_at == float("inf") and asked.status <= 0:
            self.accuse(f"{asked.id!r} got no answer ({asked.status})")
        await asyncio.sleep(0.02)  # a second answer would come now
        if response is not None and (parser.started or reader._buffer):  # type: ignore[attr-defined]
            self.accuse(f"{asked.id!r} was answered twice")
        writer.close()

    # The day

    async def step(self, step: Step) -> None:
        await asyncio.sleep(max(0.0, self.began + step.at - self.loop.time()))
        if step.what == "ask":
            await self.ask(step.which)
        elif step.what == "leave" and step.which in self.clients:
            asked, writer = self.clients[step.which]
            if not asked.status:
                asked.left_at = self.loop.time()
            writer.close()
        elif step.what == "drain":
            self.draining.add(step.which + 1)
            self.version += 1
            self.told_at[step.which + 1] = self.loop.time()  # the agent's: it counts at once
            self.news.set()
            self.news = asyncio.Event()  # later watches wait for later news
        elif step.what == "silence":
            self.silent = True
        elif step.what == "hang up":
            self.service.reload()
        elif step.what == "terminate":
            self.terminated_at = self.loop.time()
            self.service.stop.set()

    async def play(self, limits: interface.Limits) -> None:
        self.draining, self.tasks = set[int](), set[asyncio.Task[None]]()
        rules = interface.Rules(stop_sending_within=DRAIN_S, cold=5.0, cold_share=0.3, fall_multiple=3.0)
        setup = interface.Settings(0, 1, "a", CLASSES, {"free": interface.Plan("free")}, limits, rules)
        self.workers = [StandIn(lambda t, r, n=n: self.work(n, t, r)) for n in range(1, WORKERS + 1)]  # type: ignore[misc]
        agents = [StandIn(self.listed), StandIn(self.listed)]
        for stand_in in (*self.workers, *agents):
            await stand_in.__aenter__()
        module = Gatekeeper(setup, self.seed)
        rig = Rig(None, *(w.address for w in self.workers), discovery=agents[0].address, setup=setup)
        service = self.service = Service(
            rig.config, rig.log, module, lambda: replace(rig.config, discovery=agents[1].address)
        )
        real = self.loop.create_connection

        async def late(factory: object, host: str, port: int, **more: object) -> object:
            if any(Address(host, port) == w.address for w in self.workers):
                await asyncio.sleep(self.rng.choice(UP_LATE_S))
            return await real(factory, host, port, **more)  # type: ignore[call-overload]

        self.loop.create_connection = late  # type: ignore[assignment,method-assign]
        try:
            running = self.loop.create_task(service.run())
            await until(lambda: service.discovery and service.discovery.version == self.version)
            assert service.listener is not None
            self.address, self.began = service.listener.address, self.loop.time()
            await asyncio.gather(*(self.step(step) for step in self.steps))
            await running
            self.nothing_left(service, module)
        finally:
            self.loop.create_connection = real  # type: ignore[method-assign]
            for stand_in in (*self.workers, *agents):
                await stand_in.__aexit__(None, None, None)

    def nothing_left(self, service: Service, module: Gatekeeper) -> None:
        listener = service.listener
        assert listener is not None
        left = {
            "calls": len(service.gateway.calls), "clients": len(listener.clients),
            "bytes of clients": listener.held, "bytes of workers": service.pool.held,
            "opening": len(service.pool.opening), "requests in the module": len(module.held),
            "attempts in the module": len(module.flying), "faults": service.gateway.faults,
        }  # fmt: skip
        served = sum(asked.status == 200 for asked in self.asked.values())
        if served < REQUESTS / 3:
            self.accuse(f"only {served} of {len(self.asked)} were served, so little was tried")
        for what, count in left.items():
            if count:
                self.accuse(f"{count} {what} left at the end")


def played(seed: int, limits: interface.Limits) -> list[str]:
    """What was wrong in one schedule."""
    found: list[str] = []

    async def main() -> None:
        play = Play(seed)
        async with asyncio.timeout(30):
            await play.play(limits)
        found.extend(play.wrong)
        if play.wrong:
            found.extend(f"    {s.at:.3f} {s.what} {s.which}" for s in play.steps)

    virtual_time.run(main())
    return found
