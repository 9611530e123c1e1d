"""A tier whose processes run two builds at once: a rolling upgrade and back, under load, on loopback.

    python -m benchmarks.mixed_builds --old DIR [--new DIR] [--network 127.0.79] [--folder DIR]
                                      [--requests-per-s 20] [--job-items 40]

`--old` and `--new` are checkouts that hold the package; `--new` is the one that this module belongs to
unless it is given. All processes start with the old build. Then each control machine, store and gateway in
turn is stopped and started again with the new build, on the same settings file and data folder, and
afterwards the same way back. Clients go on sending streams and batch jobs. After each restart an operator
puts the next configuration. While both builds are in the fleet, leaders are restarted until the old and the
new build have both led control and the batch partition.

Checked: each stream is answered once and completely; each item of each job has one result, with the
expected text; each configuration reaches all control machines and gateways; no process ends by itself or
logs a record of level error. Both builds read the settings and the data folders that are left behind, play
the example scenarios, and print the same. The exit status is 1 if a check failed.
"""

import argparse
import asyncio
import base64
import contextlib
import itertools
import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pewterring.local import sample
from pewterring.local.engine import StandInWorker, WorkerEndpoint, echoed_words
from pewterring.local.layout import FRONT_PORT, HEARTBEAT_MS, READY_PORT, ZONES, Layout, Process
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.http_exchange import ExchangeError, SendRequest
from pewterring.transport.http_fetch import WholeAnswer, fetch

ROOT = Path(__file__).resolve().parent.parent
OLD, NEW = "old", "new"
POLL_S = 0.1
CALL_TIMEOUT_S = 15.0
RESULTS_TIMEOUT_S = 60.0
START_TIMEOUT_S = 60.0
AGREEMENT_TIMEOUT_S = 20.0
PROCESS_END_TIMEOUT_S = 20.0
MAX_LEADER_RESTARTS = 12  # in search of a leader of the other build; each election is a draw
RETRY_S = 0.2
JOB_INTERVAL_S = 1.0
CONNECTIONS = 64
EVENT_S = 0.01  # between events of the stand-in workers
RUN_SCENARIOS = ("calm", "overload", "herd-restart", "keeper-loss", "zone-cut")
SETTINGS_EXAMPLES = ("examples/config.json", "examples/tier/configuration.json")


class CheckFailedError(Exception):
    """A check did not hold; the text says which one, and what was seen."""


@dataclass(slots=True)
class Member:
    """One process of the fleet and the build that it runs."""

    process: Process
    build: str
    child: asyncio.subprocess.Process | None = None
    is_in_service: bool = True
    requests_in_flight: int = 0


class Fleet:
    """Starts, stops and replaces the processes of a local tier.

    Args:
        layout: Addresses and folders of the processes.
        roots: The checkout of each build.
    """

    def __init__(self, layout: Layout, roots: dict[str, Path]) -> None:
        self.layout = layout
        self.members = [Member(process, OLD) for process in layout.processes()]
        self._roots = roots

    def of(self, program: str) -> list[Member]:
        """The members that run one program."""
        return [member for member in self.members if member.process.program == program]

    async def start_all(self) -> None:
        """Writes the settings files and starts all processes."""
        for member in self.members:
            folder = self.layout.folder_of(member.process)
            (folder / "data").mkdir(parents=True)
            settings = self.layout.settings(member.process, bootstrap=True)
            (folder / "node.conf").write_text(settings, encoding="utf-8")
            await self.start(member)

    async def start(self, member: Member) -> None:
        """Starts one process with its build, on the settings file and data that are there."""
        folder = self.layout.folder_of(member.process)
        root = self._roots[member.build]
        command = [sys.executable, "-m", "pewterring", member.process.program]
        with (folder / f"log-{member.build}").open("ab") as log:
            member.child = await asyncio.create_subprocess_exec(
                *command,
                "--settings",
                str(folder / "node.conf"),
                cwd=root,
                env={**os.environ, "PYTHONPATH": str(root)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def stop(self, member: Member) -> None:
        """Sends SIGTERM and waits for the end.

        Raises:
            CheckFailedError: The process had ended by itself, or did not end in time.
        """
        child = member.child
        if child is None:
            return
        if child.returncode is not None:
            raise CheckFailedError(f"{member.process.name} ended by itself with {child.returncode}")
        child.terminate()
        try:
            await asyncio.wait_for(child.wait(), PROCESS_END_TIMEOUT_S)
        except TimeoutError:
            child.kill()
            raise CheckFailedError(f"{member.process.name} did not end after SIGTERM") from None
        member.child = None

    async def kill_all(self) -> None:
        """Ends whatever still runs."""
        for member in self.members:
            if member.child is not None and member.child.returncode is None:
                member.child.kill()
                await member.child.wait()

    def leader(self, program: str) -> Member | None:
        """The member that last became leader of the program's group, by the highest term in the logs."""
        found: tuple[int, Member] | None = None
        for member in self.of(program):
            for record in self.log_records(member.process):
                if record.get("event") == "leadership_acquired" and (
                    found is None or record["term"] >= found[0]
                ):
                    found = (record["term"], member)
        return found[1] if found else None

    def log_records(self, process: Process) -> Iterator[dict[str, Any]]:
        """What the process logged, with either build.

        Raises:
            CheckFailedError: A line is no JSON, so the process printed something else, such as a traceback.
        """
        for path in sorted(self.layout.folder_of(process).glob("log-*")):
            for line in path.read_text(encoding="utf-8").splitlines():
                try:
                    yield {"build": path.name.removeprefix("log-"), **json.loads(line)}
                except ValueError:
                    raise CheckFailedError(f"{path}: not a log record: {line[:200]}") from None


class Client:
    """Calls processes over HTTP."""

    def __init__(self) -> None:
        self.pool = WorkerPool()

    async def call(
        self, address: str, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> WholeAnswer:
        """Sends one request. Raises ExchangeError."""
        sent = [(name.encode(), value.encode()) for name, value in {"Host": sample.HOST, **headers}.items()]
        request = SendRequest(method, target, sent, body)
        return await fetch(self.pool, address, request, CONNECTIONS, CALL_TIMEOUT_S)

    async def status(self, address: str, target: str) -> int:
        """The status of a GET, or 0 without an answer."""
        try:
            return (await self.call(address, "GET", target, {})).head.status
        except ExchangeError:
            return 0


@dataclass(slots=True)
class LoadReport:
    """What became of the streams and jobs."""

    streams: Counter[str] = field(default_factory=Counter)
    job_items: Counter[str] = field(default_factory=Counter)
    jobs: int = 0
    faults: list[str] = field(default_factory=list)


class Load:
    """Streams and batch jobs that go on until `stop`."""

    def __init__(self, fleet: Fleet, client: Client, requests_per_s: float, job_items: int) -> None:
        self.report = LoadReport()
        self._fleet = fleet
        self._client = client
        self._interval_s = 1 / requests_per_s
        self._job_items = job_items
        self._stopped = asyncio.Event()
        self._running: set[asyncio.Task[None]] = set()
        self._gateways = itertools.cycle(fleet.of("gateway"))

    async def run(self) -> None:
        """Sends streams and jobs until it is stopped, then waits for those that are in flight."""
        loop = asyncio.get_running_loop()
        next_job_at = loop.time()
        for number in itertools.count():
            if self._stopped.is_set():
                break
            self._spawn(self._stream(number))
            if loop.time() >= next_job_at:
                next_job_at += JOB_INTERVAL_S
                self.report.jobs += 1
                self._spawn(self._job(self.report.jobs))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._stopped.wait(), self._interval_s)
        await asyncio.gather(*self._running)

    def stop(self) -> None:
        """Sends nothing new any more."""
        self._stopped.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _gateway(self) -> Member:
        return next(member for member in self._gateways if member.is_in_service)

    @contextlib.contextmanager
    def _request_at(self, member: Member) -> Iterator[str]:
        member.requests_in_flight += 1
        try:
            yield f"{member.process.ip}:{FRONT_PORT}"
        finally:
            member.requests_in_flight -= 1

    async def _stream(self, number: int) -> None:
        prompt = f"stream number {number} of this run".encode()
        headers = {
            "Request-Id": f"stream-{os.getpid()}-{number}",
            "Model-Id": "m",
            "Token-Usage": sample.TOKEN_USAGE,
        }
        with self._request_at(self._gateway()) as address:
            try:
                answer = await self._client.call(address, "POST", sample.STREAM_PATH, headers, prompt)
            except ExchangeError as error:
                self._fault(f"stream {number}", f"{type(error).__name__}: {error}")
                return
        lines = answer.body.decode().splitlines()
        words = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
        complete = answer.head.status == 200 and words == echoed_words(prompt)
        self.report.streams["complete" if complete else str(answer.head.status)] += 1
        if not complete:
            self._fault(f"stream {number}", f"status {answer.head.status}, events {words}")

    async def _job(self, number: int) -> None:
        name = f"job-{os.getpid()}-{number}"
        texts = {f"item-{item}": f"item {item} of job {number}" for item in range(self._job_items)}
        headers = {"Model-Id": "m", "Token-Usage": sample.TOKEN_USAGE}
        requests = [
            {
                "id": item,
                "path": f"{sample.JOB_PATH}/{item}",
                "headers": headers,
                "body": base64.b64encode(text.encode()).decode(),
                "tokens": 20,
            }
            for item, text in texts.items()
        ]
        try:
            async with asyncio.timeout(RESULTS_TIMEOUT_S):
                await self._submit(name, json.dumps({"requests": requests}).encode())
                results = await self._results(name, len(texts))
        except TimeoutError:
            self._fault(name, f"no complete results within {RESULTS_TIMEOUT_S:g} s")
            return
        self._check_results(name, texts, results)

    async def _submit(self, name: str, body: bytes) -> None:
        headers = {"Request-Id": name, "Content-Type": "application/json"}
        while True:  # a submission may be repeated under the same name
            with self._request_at(self._gateway()) as address, contextlib.suppress(ExchangeError):
                answer = await self._client.call(address, "POST", sample.JOB_PATH, headers, body)
                if answer.head.status == 202:
                    return
            await asyncio.sleep(RETRY_S)

    async def _results(self, name: str, count: int) -> list[dict[str, str]]:
        results: list[dict[str, str]] = []
        while len(results) < count:
            target = f"/v1/lots/{name}?after={len(results)}"
            with self._request_at(self._gateway()) as address, contextlib.suppress(ExchangeError):
                answer = await self._client.call(address, "GET", target, {"Wait-Ms": "1000"})
                if answer.head.status == 200:
                    results += json.loads(answer.body)["results"]
                    continue
            await asyncio.sleep(RETRY_S)
        return results

    def _check_results(self, name: str, texts: dict[str, str], results: list[dict[str, str]]) -> None:
        listed = Counter(result["id"] for result in results)
        if listed != dict.fromkeys(texts, 1):
            self._fault(name, f"results {dict(listed)}")
        for result in results:
            words = echoed_words(texts[result["id"]].encode())
            complete = result["state"] == "succeeded" and result["text"].split() == words
            self.report.job_items["succeeded" if complete else result["state"]] += 1
            if not complete:
                self._fault(name, str(result))

    def _fault(self, subject: str, text: str) -> None:
        self.report.faults.append(f"{subject}: {text}")


class Operator:
    """Puts configurations and waits until the whole fleet has them."""

    def __init__(self, fleet: Fleet, client: Client) -> None:
        self.version = 0
        self._fleet = fleet
        self._client = client

    async def put_next(self) -> None:
        """Puts the next version at any control machine and waits until all processes have it.

        Raises:
            CheckFailedError: Some process did not get it in time.
        """
        self.version += 1
        body = msgspec.json.encode({**sample.configuration(), "version": self.version})
        headers = {"Base-Version": str(self.version - 1), "Content-Type": "application/json"}
        async with asyncio.timeout(START_TIMEOUT_S):
            for address in itertools.cycle(self._fleet.layout.control_addresses()):
                with contextlib.suppress(ExchangeError):
                    answer = await self._client.call(address, "POST", "/v1/Config.Replace", headers, body)
                    if answer.head.status in (200, 412):
                        break
                await asyncio.sleep(POLL_S)
        await self._until_agreed()

    async def _until_agreed(self) -> None:
        versions: dict[str, int] = {}
        try:
            async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
                while set(versions.values()) != {self.version}:
                    await asyncio.sleep(POLL_S)
                    versions = await self._versions()
        except TimeoutError:
            raise CheckFailedError(f"version {self.version} did not reach all: {versions}") from None

    async def _versions(self) -> dict[str, int]:
        versions: dict[str, int] = {}
        for address in self._fleet.layout.control_addresses():
            body = await self._body(address, "/v1/Config.Get")
            versions[address] = json.loads(body)["version"] if body else 0
        for member in self._fleet.of("gateway"):
            metrics = (await self._body(f"{member.process.ip}:{READY_PORT}", "/metrics")).decode()
            value = 0.0
            for line in metrics.splitlines():
                if line.startswith("pewterring_gateway_configuration_version "):
                    value = float(line.split()[1])
            versions[member.process.name] = int(value)
        return versions

    async def _body(self, address: str, target: str) -> bytes:
        try:
            answer = await self._client.call(address, "GET", target, {})
        except ExchangeError:
            return b""
        return answer.body if answer.head.status == 200 else b""


class Upgrade:
    """Replaces builds process by process and sees to it that both builds lead."""

    def __init__(self, fleet: Fleet, client: Client, operator: Operator) -> None:
        self.leaders_seen: Counter[str] = Counter()
        self._fleet = fleet
        self._client = client
        self._operator = operator

    async def until_serving(self) -> None:
        """Waits until each gateway is ready and reaches a leading store."""
        for member in self._fleet.of("gateway"):
            await self._until(f"{member.process.ip}:{READY_PORT}", "/v1/readyz", 200)
        await self._until_stores_serve()

    async def roll(self, build: str) -> None:
        """Moves the whole fleet to a build, one process after the other."""
        programs = [self._fleet.of(program) for program in ("control", "store", "gateway")]
        for members in itertools.zip_longest(*programs):
            for member in members:
                if member is not None:
                    await self._restart(member, build)
                    await self._operator.put_next()
                    print(
                        f"{member.process.name}: {build}, configuration {self._operator.version}", flush=True
                    )
            for program in ("control", "store"):
                await self._see_both_lead(program, build)

    async def _see_both_lead(self, program: str, target: str) -> None:
        if len({member.build for member in self._fleet.of(program)}) < 2:
            return
        for _ in range(MAX_LEADER_RESTARTS):
            leader = self._fleet.leader(program)
            if leader is None:
                raise CheckFailedError(f"{program} has no leader in its logs")
            self.leaders_seen[f"{program} led by {leader.build} on the way to {target}"] += 1
            if all(self.leaders_seen[f"{program} led by {b} on the way to {target}"] for b in (OLD, NEW)):
                return
            await self._restart(leader, leader.build)
            await self._operator.put_next()

    async def _restart(self, member: Member, build: str) -> None:
        member.is_in_service = False
        while member.requests_in_flight:
            await asyncio.sleep(POLL_S)
        await self._fleet.stop(member)
        member.build = build
        await self._fleet.start(member)
        ip = member.process.ip
        if member.process.program == "gateway":
            await self._until(f"{ip}:{READY_PORT}", "/v1/readyz", 200)
        await self._until_stores_serve()
        member.is_in_service = True

    async def _until_stores_serve(self) -> None:
        serving = next(member for member in self._fleet.of("gateway") if member.is_in_service)
        await self._until(f"{serving.process.ip}:{FRONT_PORT}", "/v1/lots/none?after=0", 404)

    async def _until(self, address: str, target: str, status: int) -> None:
        last = 0
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while last != status:
                    last = await self._client.status(address, target)
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise CheckFailedError(f"{address}{target} answers {last}, not {status}") from None


def printed(root: Path, *arguments: str) -> str:
    """What a command of one build prints, with its exit status."""
    done = subprocess.run(
        [sys.executable, "-m", "pewterring", *arguments],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        capture_output=True,
        text=True,
        check=False,
    )
    return f"exit status {done.returncode}\n{done.stdout}"


def compare_reading(roots: dict[str, Path], layout: Layout, title: str) -> None:
    """Has both builds read what is in the fleet's folders. Raises CheckFailedError where they differ."""
    commands: list[tuple[str, ...]] = []
    for process in layout.processes():
        folder = layout.folder_of(process)
        commands.append(("config", "show", "--json", str(folder / "node.conf")))
        if process.program != "gateway":
            commands += [
                ("inspect", verb, "--json", str(folder / "data")) for verb in ("log", "snapshot", "members")
            ]
    _compare(roots, commands, title)


def compare_scenarios(roots: dict[str, Path]) -> None:
    """Has both builds play scenarios and read settings files. Raises CheckFailedError where they differ."""
    commands: list[tuple[str, ...]] = [
        ("lab", "run", f"examples/lab/{name}.toml", "--seed", "3", "--json") for name in RUN_SCENARIOS
    ]
    commands += [("config", "show", "--json", file) for file in SETTINGS_EXAMPLES]
    _compare(roots, commands, "example scenarios and settings")


def _compare(roots: dict[str, Path], commands: list[tuple[str, ...]], title: str) -> None:
    for command in commands:
        old, new = (printed(roots[build], *command) for build in (OLD, NEW))
        if old != new:
            raise CheckFailedError(f"{' '.join(command)}: old {old[:300]!r}, new {new[:300]!r}")
    print(f"{title}: {len(commands)} commands print the same with both builds", flush=True)


def log_summary(fleet: Fleet) -> list[str]:
    """Warnings and errors in all logs, counted by build, level and event."""
    counted: Counter[str] = Counter()
    for member in fleet.members:
        for record in fleet.log_records(member.process):
            if str(record.get("level", "")).lower() not in ("info", "debug"):
                counted[f"{record['build']} {record.get('level')} {record.get('event')}"] += 1
    return [f"{count:5} {name}" for name, count in sorted(counted.items())]


async def play(given: argparse.Namespace, folder: Path) -> int:
    """One run. Returns the exit status."""
    roots = {OLD: given.old.resolve(), NEW: given.new.resolve()}
    layout = Layout(given.network, folder)
    fleet, client = Fleet(layout, roots), Client()
    operator = Operator(fleet, client)
    upgrade = Upgrade(fleet, client, operator)
    load = Load(fleet, client, given.requests_per_s, given.job_items)
    workers = [
        StandInWorker(
            WorkerEndpoint(sample.SERVICE, address, ZONES[number % len(ZONES)]),
            layout.control_addresses(),
            HEARTBEAT_MS / 1000,
            EVENT_S,
        )
        for number, address in enumerate(layout.worker_addresses())
    ]
    compare_scenarios(roots)
    try:
        await fleet.start_all()
        for worker in workers:
            await worker.start()
        await operator.put_next()
        await upgrade.until_serving()
        sending = asyncio.create_task(load.run())
        await upgrade.roll(NEW)
        await upgrade.roll(OLD)
        load.stop()
        await sending
        for member in fleet.members:
            await fleet.stop(member)
    finally:
        await fleet.kill_all()
        for worker in workers:
            await worker.stop()
        client.pool.close()
    compare_reading(roots, layout, "settings and data folders")
    return report(load.report, upgrade, fleet)


def errors_in(fleet: Fleet) -> list[str]:
    """The log records of level error or above."""
    return [
        f"{member.process.name} ({record['build']}) logged {record['event']}: {record.get('message')}"
        for member in fleet.members
        for record in fleet.log_records(member.process)
        if str(record.get("level", "")).lower() in ("error", "critical")
    ]


def report(seen: LoadReport, upgrade: Upgrade, fleet: Fleet) -> int:
    """Prints what was seen. Returns the exit status."""
    for name, count in sorted(upgrade.leaders_seen.items()):
        print(f"{name}: {count}")
    print(f"streams: {dict(seen.streams)}; jobs: {seen.jobs}, items: {dict(seen.job_items)}")
    print("log records above info:", *(log_summary(fleet) or ["none"]), sep="\n  ")
    missing = [
        f"{program} led by {leader} on the way to {target}"
        for program, leader, target in itertools.product(("control", "store"), (OLD, NEW), (OLD, NEW))
        if not upgrade.leaders_seen[f"{program} led by {leader} on the way to {target}"]
    ]
    faults = seen.faults + errors_in(fleet) + [f"not seen: {name}" for name in missing]
    print(*(f"FAULT {text}" for text in faults), sep="\n")
    print("FAILED" if faults else "all checks held")
    return 1 if faults else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--old", type=Path, required=True, help="checkout of the earlier build")
    parser.add_argument("--new", type=Path, default=ROOT, help="checkout of the later build")
    parser.add_argument("--network", default="127.0.79", help="first three numbers of the loopback addresses")
    parser.add_argument("--folder", type=Path, help="settings, logs and data; empty or not there yet")
    parser.add_argument("--requests-per-s", type=float, default=20.0)
    parser.add_argument("--job-items", type=int, default=40)
    given = parser.parse_args()
    folder = given.folder or Path(tempfile.mkdtemp(prefix="mixed-builds-"))
    print("load", *os.getloadavg(), "files in", folder, flush=True)
    try:
        return asyncio.run(play(given, folder.absolute()))
    except CheckFailedError as error:
        print(f"FAILED: {error}")
        return 1
    finally:
        print("load", *os.getloadavg(), flush=True)


if __name__ == "__main__":
    sys.exit(main())
