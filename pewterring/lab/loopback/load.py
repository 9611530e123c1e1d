"""The load tool: a scenario's clients, open-loop, against real gatekeepers on loopback.

`SocketWorld` is the emulator's world with its wires replaced: customers, the front, the workers' service,
discovery's timing and the account are the same code; requests go over sockets to processes that nobody here
looks into. It ends by itself, bounded in count and time, and opens nothing but loopback addresses.
"""

import asyncio
import ipaddress
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from pewterring.lab import scenario_file, schema
from pewterring.lab.account import Result
from pewterring.lab.calls import Attempt, Call, Intent
from pewterring.lab.conversions import to_server
from pewterring.lab.customers import Customer
from pewterring.lab.discovery import Discovery
from pewterring.lab.engine import START
from pewterring.lab.faults import put_in
from pewterring.lab.host import Host
from pewterring.lab.loopback.clients import ClientPool, Exchange
from pewterring.lab.loopback.clock import RealEngine
from pewterring.lab.loopback.ports import DiscoveryPort, Relay, WorkerLink, WorkerPort
from pewterring.lab.loopback.processes import Process, settings_tree
from pewterring.lab.streams import Stream
from pewterring.lab.workers import Worker
from pewterring.lab.world import GIVES_UP_S, World
from pewterring.standalone.http.messages import Request, Response
from pewterring.standalone.http.writer import write_request
from pewterring.standalone.network.connection import Address, read_address
from pewterring.standalone.policy import interface as i

MOST_GATEKEEPERS, MOST_WORKERS, MOST_SECONDS, MOST_REQUESTS = 8, 64, 600.0, 300_000
HEALTH = {i.Mode.SERVING: "up", i.Mode.DRAINING: "draining", i.Mode.DELETED: "removed"}
METHODS = {"safe": b"GET", "keyed": b"POST", "unsafe": b"POST"}
STARTS = 4  # tries to start a gatekeeper on ports that are free
ENDED_S = 5.0  # for processes to end after SIGTERM, beside the longest deadline


class LoadError(schema.ScenarioError):
    """The scenario does not fit on sockets here."""


def fits(scenario: schema.Scenario) -> None:
    g, w = scenario.gatekeepers.count, scenario.workers.count
    if g > MOST_GATEKEEPERS:
        raise LoadError(f"gatekeepers.count: {g} processes, {MOST_GATEKEEPERS} at most on sockets")
    if w > MOST_WORKERS:
        raise LoadError(f"workers.count: {w}, {MOST_WORKERS} at most on sockets")
    if scenario.duration_s > MOST_SECONDS:
        raise LoadError(f"duration_s: {scenario.duration_s:g}, {MOST_SECONDS:g} at most on sockets")
    if (asked := schema.rate(scenario) * scenario.duration_s) > MOST_REQUESTS:
        raise LoadError(f"load: {asked:.0f} requests, {MOST_REQUESTS} at most on sockets")
    if scenario.gatekeepers.policy != "pewterring":
        raise LoadError(
            f"gatekeepers.policy: {scenario.gatekeepers.policy} never serves; only pewterring does"
        )


def read_target(text: str) -> Address:
    """HOST:PORT on loopback, in numbers; a load goes nowhere else."""
    try:
        address = read_address(text)
        if not ipaddress.ip_address(address.host).is_loopback:
            raise ValueError
        return address
    except ValueError:
        raise LoadError(f"--target {text}: not HOST:PORT with a loopback address in numbers") from None


class SocketWorld(World):
    """A run on sockets. With `target` only clients run, against whatever serves there."""

    def __init__(
        self,
        scenario: schema.Scenario,
        seed: int,
        engine: RealEngine,
        folder: Path,
        target: tuple[str, int] | None,
    ) -> None:
        super().__init__(scenario, seed, "pewterring", engine=engine)
        self.real, self.target, self.folder = engine, target, folder
        self.by_id: dict[int, tuple[Call, Customer]] = {}
        self.link_of: dict[Attempt, WorkerLink] = {}
        self.processes = [Process(n, folder) for n in range(0 if target else len(self.hosts))]
        self.pools = [ClientPool(target or self.processes[n].listen) for n in range(len(self.hosts))]
        self.ports: list[WorkerPort] = []
        self.discoveries = [DiscoveryPort() for _ in self.hosts]
        self.relay = Relay(self.passes)
        self.message_streams = [Stream(seed, "mail", host.number) for host in self.hosts]
        self.tasks: set[asyncio.Task[Any]] = set()
        self.wrong_bodies = 0
        self.memory_kb = 0
        self.account.counts |= dict.fromkeys(
            ("wrong_bodies", "crashed", "memory_kb", "latest_s", "never_ready"), 0.0
        )

    # Start and end

    async def play(self) -> Result:
        s, engine = self.scenario, self.real
        try:
            await self.open()
            engine.began = engine.loop.time()  # the run begins now, whatever the start took
            self.demand.start()
            put_in(self)
            self.plan_samples()
            await asyncio.sleep(s.duration_s + self.longest + GIVES_UP_S + 0.2)
        finally:
            await self.close()
        self.sum_up()
        counts = self.account.counts
        counts["messages"], counts["message_bytes"] = self.relay.passed + self.relay.lost, self.relay.octets
        counts["wrong_bodies"], counts["memory_kb"] = self.wrong_bodies, self.memory_kb
        counts["latest_s"] = engine.latest
        counts["crashed"] = sum(len(p.crashed) for p in self.processes)
        failed = "; ".join(sorted({repr(e) for e in engine.failed}))
        return self.account.result("loopback", self.seed, engine.now, engine.events, failed)

    async def open(self) -> None:
        if self.target:
            for host in self.hosts:
                host.up = True
                self.front.back(host.number)
            return
        for worker in self.workers:
            await self.open_worker(worker)
        listens = {p.number: p.peer_listen for p in self.processes}
        await self.relay.open(listens)
        for discovery in self.discoveries:
            await discovery.open()
            for worker in self.workers:
                discovery.tell(self.json_entry(to_server(worker)))
        await asyncio.gather(*(self.begin(host) for host in self.hosts))
        if self.account.counts["never_ready"]:
            raise LoadError(f"a gatekeeper did not become ready; its log is in {self.folder}")

    async def begin(self, host: Host) -> None:
        """Starts a gatekeeper's process and waits until it serves."""
        host.life += 1
        life, process = host.life, self.processes[host.number]
        for _ in range(STARTS):
            await process.start(self.config(host))
            if await process.ready():
                if host.life == life:
                    host.up, host.leaving = True, False
                    self.front.back(host.number)
                return
            # Somebody took one of its ports between the look for them and its start.
            process.move()
            self.pools[host.number].address = process.listen
            self.relay.listens[host.number] = process.peer_listen
        process.check_exit()
        self.account.counts["never_ready"] += 1

    def config(self, host: Host) -> dict[str, Any]:
        process, w = self.processes[host.number], self.scenario.workers
        port = self.discoveries[host.number]
        peers = [
            str(p.peer_listen) if p is process else self.relay.address(host.number, p.number)
            for p in self.processes
        ]
        return {
            "name": f"g{host.number}", "listen": str(process.listen), "discovery": str(port.address),
            "seed": f"{host.stream.seed64():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": str(process.peer_listen), "peers": peers, "known": port.whole(),
            "settings": settings_tree(self.settings(host), w.idle_s, w.connect_timeout_s),
        }  # fmt: skip

    async def close(self) -> None:
        self.memory_kb = max([self.memory_kb, *(p.memory_kb() for p in self.processes)])
        for process in self.processes:
            process.check_exit()
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.longest + ENDED_S):
                await asyncio.gather(*(p.ended() for p in self.processes))
        except TimeoutError:
            for process in self.processes:
                process.signal(signal.SIGKILL)
            await asyncio.gather(*(p.ended() for p in self.processes))
        for task in list(self.tasks):
            task.cancel()
        for pool in self.pools:
            pool.close()
        for port in self.ports:
            port.close()
        for discovery in self.discoveries:
            discovery.close()
        self.relay.close()

    def do_later(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def sample(self, second: int) -> None:
        self.account.seconds[second].out = len(self.link_of)
        for process in self.processes:
            process.check_exit()

    # Clients

    def arrive(self, intent: Intent, customer: Customer, host: Host) -> None:
        now = self.engine.now
        if now >= intent.ends:
            return self.account.unserved(intent, now)
        call = self.new_call(intent, customer, host)
        request = call.request
        self.by_id[request.id] = (call, customer)
        quota = f"units={customer.units:g},spread={customer.set_size},first={customer.first}"
        left = max(1, round((intent.ends - now) * 1000))
        headers = [
            (b"host", b"origin.svc"), (b"x-request-id", b"%016x" % request.id), (b"x-class",
            request.cls.encode()),
            (b"plan", request.plan.encode()), (b"x-deadline-ms", b"%d" % left),
            (b"quota-info", quota.encode()),
        ]  # fmt: skip
        if intent.cls.effect == "keyed":
            headers.append((b"idempotency-key", b"%032x" % intent.number))
        if request.is_retry:
            headers.append((b"x-retry", b"1"))
        data = write_request(METHODS[intent.cls.effect], b"/api/%016x" % customer.id, headers)
        pool = self.pools[host.number]
        exchange = Exchange(data, lambda kind, response: self.came_back(call, customer, kind, response))
        self.engine.at(intent.ends + GIVES_UP_S, self.gives_up, call, customer, exchange, pool)
        pool.send(exchange)

    def gives_up(self, call: Call, customer: Customer, exchange: Exchange, pool: ClientPool) -> None:
        self.by_id.pop(call.id, None)
        if not exchange.over:
            pool.give_up(exchange)
            call.gone = True
            self.account.counts["never_answered"] += 1
            self.account.unserved(call.intent, self.engine.now)

    def came_back(self, call: Call, customer: Customer, kind: str, response: Response | None) -> None:
        now = self.engine.now
        call.answered = True
        if response is None:
            return self.answered(call.intent, kind, 0.0)
        if response.status == 200:
            if not response.body.startswith(b"%016x:" % call.id):
                self.wrong_bodies += 1
            if self.target:
                self.charge(call, customer)
            return self.client_served(call, customer.plan)
        if response.status in (429, 503):
            room = call.first_sent < 0 and customer.has_room(now)
            self.account.refusal(now, "tries" if call.first_sent >= 0 else "quota", room)
            after = response.get(b"retry-after")
            return self.answered(call.intent, "refused", float(after) if after else 0.0)
        self.account.failure(now)
        self.answered(call.intent, "failed", 0.0)

    # Workers

    async def open_worker(self, worker: Worker) -> None:
        port = WorkerPort(worker, self.request_at, self.gave_up)
        while len(self.ports) <= worker.number:
            self.ports.append(port)
        self.ports[worker.number] = port
        await port.open()

    def request_at(self, link: WorkerLink, request: Request) -> None:
        """A gatekeeper's request has come whole to a worker."""
        now, worker = self.engine.now, link.port.worker
        said = request.get(b"x-request-id") or b""
        known = self.by_id.get(int(said, 16)) if said else None
        if known is None:  # its client has gone long since
            return link.port.answer(link, i.Code.RESOURCE_EXHAUSTED, b"")
        call, customer = known
        host = self.hosts[call.gatekeeper]
        if not self.reaches(host.zone, worker.zone):
            return
        noise = call.intent.cls.attempt_noise
        work = call.intent.work * (1 + noise * (2 * worker.stream.uniform() - 1) if noise else 1.0)
        attempt = Attempt(call, len(call.attempts), worker.number, now, work)
        call.attempts.append(attempt)
        attempt.arrived = True
        attempt.life = worker.life
        link.attempt = attempt
        self.link_of[attempt] = link
        self.account.counts["attempts"] += 1
        self.account.second(now).attempts += 1
        if call.first_sent < 0:
            self.charge(call, customer)
        customer.open += 1
        link.requests += 1
        if link.requests == 1:  # a new connection costs work, and its first request time
            worker.handshakes += 1
            attempt.work += worker.setup.handshake_work_s
            self.engine.after(worker.setup.handshake_s, self.begins, worker, attempt)
        else:
            self.begins(worker, attempt)

    def begins(self, worker: Worker, attempt: Attempt) -> None:
        if attempt in self.link_of and worker.state == "up":
            worker.take(attempt)

    def worker_done(self, attempt: Attempt, code: i.Code) -> None:
        link, worker = self.link_of.pop(attempt, None), self.workers[attempt.worker]
        host = self.hosts[attempt.gatekeeper]
        if link is None:
            return
        attempt.ended = code
        attempt.call.intent.customer.open -= 1
        if worker.state == "silent" or not self.reaches(host.zone, worker.zone):
            return
        if code == i.Code.OK and not attempt.call.answered:
            self.account.counts["work_useful"] += attempt.work
        link.port.answer(link, code, b"%016x:%d" % (attempt.call.id, attempt.worker))

    def gave_up(self, attempt: Attempt) -> None:
        """The connection is closed: the gatekeeper waits no more, or is dead."""
        if self.link_of.pop(attempt, None) is not None:
            attempt.call.intent.customer.open -= 1
            attempt.ended = i.Code.CANCELLED
            self.workers[attempt.worker].stop(attempt)

    def speak(self, worker: Worker, cold: bool) -> None:
        super().speak(worker, cold)
        self.ports[worker.number].reset()  # what was open is reset when its machine is back

    def add_worker(self, zone: str, cell: int, came_up: float = 0.0) -> Worker:
        worker = super().add_worker(zone, cell, came_up)
        if came_up:  # in the run; those at its begin are opened with it
            self.do_later(self.open_worker(worker))
        return worker

    def remove(self, worker: Worker) -> None:
        super().remove(worker)
        self.ports[worker.number].close()

    # Discovery and peers

    def json_entry(self, entry: i.Server) -> dict[str, Any]:
        worker = self.workers[entry.id - 1]
        address = self.ports[worker.number].address
        offset = self.real.loop.time() - self.real.began  # the clock of the run against the wall's
        born = 0.0
        if entry.came_up:
            born = (time.time() - (START + offset - entry.came_up)) * 1000
        return {
            "host": f"s-{worker.number}", "dial": str(address), "site": entry.zone, "class":
            "m",
            "block": entry.cell, "health": HEALTH[entry.mode], "share": entry.rating, "born_ms": round(born),
        }  # fmt: skip

    def make_discovery(self) -> Discovery:
        return SocketDiscovery(self)

    def passes(self, a: int, b: int) -> float | None:
        stream, network = self.message_streams[a], self.scenario.network
        if not self.reaches(self.hosts[a].zone, self.hosts[b].zone):
            return None
        if self.peers.loss and stream.uniform() < self.peers.loss:
            return None
        return stream.uniform(*network.peer_s) + self.peers.delay_s

    # What faults do to gatekeepers

    def kill(self, host: Host) -> None:
        if not host.up or self.target:
            return
        host.up, host.frozen = False, 0
        host.life += 1
        self.front.gone(host.number, self.engine.now, self.scenario.front.notice_s)
        self.memory_kb = max(self.memory_kb, self.processes[host.number].memory_kb())
        self.processes[host.number].signal(signal.SIGKILL)

    def start_host(self, host: Host) -> None:
        if not self.target:
            self.do_later(self.begin(host))

    def leave(self, host: Host, down_s: float) -> None:
        if host.up and not host.leaving and not self.target:
            host.leaving = True
            self.front.gone(host.number, self.engine.now, 0.3)
            self.processes[host.number].signal(signal.SIGTERM)
            self.do_later(self.comes_back(host, down_s))

    async def comes_back(self, host: Host, down_s: float) -> None:
        await self.processes[host.number].ended()
        host.up = False
        await asyncio.sleep(down_s)
        await self.begin(host)

    def freeze(self, host: Host) -> None:
        if host.up and not self.target:
            host.frozen += 1
            self.processes[host.number].signal(signal.SIGSTOP)

    def thaw(self, host: Host) -> None:
        host.frozen = max(0, host.frozen - 1)
        if not host.frozen and not self.target:
            self.processes[host.number].signal(signal.SIGCONT)


class SocketDiscovery(Discovery):
    """Discovery that tells processes by their agents' ports."""

    def __init__(self, world: SocketWorld) -> None:
        super().__init__(world)
        self._sockets = world

    def take_list(self, host: Host, upto: int) -> None:
        for entry in self.log[host.seen : upto]:
            self._sockets.discoveries[host.number].tell(self._sockets.json_entry(entry))
        host.seen = max(host.seen, upto)

    def list_to(self, host: Host, life: int, upto: int) -> None:
        if not self._sockets.target:
            self.take_list(host, upto)  # the agent lives beside its gatekeeper, and longer


def load(
    path: str | Path, sets: tuple[str, ...] = (), seed: int | None = None, target: str = "", logs: str = ""
) -> Result:
    """Plays a scenario on sockets. Figures are measured on loopback. Raises ScenarioError."""
    scenario = scenario_file.load(path, sets)
    address = read_target(target) if target else None
    fits(scenario)

    async def play(folder: Path) -> Result:
        engine = RealEngine(asyncio.get_running_loop())
        world = SocketWorld(scenario, scenario.seed if seed is None else seed, engine, folder, address)
        return await world.play()

    if logs:
        Path(logs).mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(Path(logs)))
    with tempfile.TemporaryDirectory(prefix="pewterring-load-") as folder:
        return asyncio.run(play(Path(folder)))
