"""The plays: each sends orders on a tier that serves, and says what became of them."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from functools import partial
from typing import Any

from benchmarks.large_configurations.documents import (
    encoded,
    patch,
    replacement,
    with_unknown_object,
    with_unknown_service,
)
from benchmarks.large_configurations.operator import Operator, OrderAnswer
from benchmarks.large_configurations.sessions import Arrivals, combined, follow
from benchmarks.large_configurations.tier import Tier

ACK_S = 4.0  # the bound of an acknowledgement
ACK_S_PER_ROUTE = 0.003  # and what each route adds
WAIT_S = 4.0  # how much longer than the bound the operator sends
OPERATORS = 8
EARLY_END_S = 0.1
KILL_AFTER_S = 0.15
ROUTES, SERVICES = 3000, 36
SMALL_ROUTES, SMALL_SERVICES = 13_000, 2
SESSIONS = 195  # the gateways and stores of a deployment of 200 machines
SESSION_PROCESSES = 4
SESSION_NUMBERS = [range(first, SESSIONS, SESSION_PROCESSES) for first in range(SESSION_PROCESSES)]
SESSIONS_OPEN_S, SESSIONS_FOR_S = 6.0, 24.0
READS_FOR_S = 3.0
UNKNOWN_KEYS = 300_000


Content = Callable[[int], dict[str, Any]]  # a document by its version


@dataclass(slots=True)
class Run:
    """One play in progress: the tier, the operator, and the version in force."""

    tier: Tier
    builders: Executor
    operator: Operator
    version: int

    async def accept(self, verb: str, content: Content, routes: int) -> str:
        """Sends an order on the version in force and waits until all gateways serve with it."""
        base = self.version
        self.version += 1
        document = await self.document(partial(content, self.version))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        bound_s = ACK_S + ACK_S_PER_ROUTE * routes
        answer = await self.operator.order(verb, document, base, bound_s + WAIT_S)
        if answer.status != 200:
            return f"{verb}: {_said(answer)}, bound {bound_s:.1f} s"
        await self.tier.until_in_force(self.version)
        return f"{verb}: {_said(answer)}, in force after {loop.time() - began_at:.2f} s"

    async def document(self, content: Callable[[], dict[str, Any]]) -> bytes:
        """Builds a document in a process of its own, as the event loop here measures what callers see."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.builders, encoded, content)


Play = Callable[[Run], Awaitable[list[str]]]


async def _quiet(_run: Run) -> list[str]:
    await asyncio.sleep(3.0)
    return ["no order"]


async def _many_services(run: Run) -> list[str]:
    return [
        await run.accept("Replace", partial(replacement, routes=ROUTES, services=SERVICES), ROUTES),
        await run.accept("Update", partial(patch, first_route=7, routes=1, services=SERVICES), 1),
    ]


async def _many_routes(run: Run) -> list[str]:
    whole = partial(replacement, routes=SMALL_ROUTES, services=SMALL_SERVICES)
    return [
        await run.accept("Replace", whole, SMALL_ROUTES),
        await run.accept("Update", partial(patch, first_route=7, routes=1, services=SMALL_SERVICES), 1),
    ]


async def _large_patch(run: Run) -> list[str]:
    return [
        await run.accept("Replace", partial(replacement, routes=1, services=SERVICES), 1),
        await run.accept("Update", partial(patch, first_route=0, routes=ROUTES, services=SERVICES), ROUTES),
    ]


async def _numbers_as_strings(run: Run) -> list[str]:
    whole = partial(replacement, routes=ROUTES, services=SERVICES, numbers_as_strings=True)
    return [await run.accept("Replace", whole, ROUTES)]


async def _unknown_object(run: Run) -> list[str]:
    return [
        await run.accept("Replace", partial(with_unknown_object, keys=UNKNOWN_KEYS), 1),
        await run.accept("Update", partial(patch, first_route=7, routes=1, services=1), 1),
    ]


async def _invalid(run: Run) -> list[str]:
    content = partial(with_unknown_service, run.version + 1, routes=ROUTES, services=SERVICES)
    document = await run.document(content)
    answer = await run.operator.order("Replace", document, run.version, ACK_S + WAIT_S)
    return [f"Replace, invalid: {_said(answer)}: {answer.text}"]


async def _eight_at_once(run: Run) -> list[str]:
    base = run.version
    whole = partial(replacement, routes=ROUTES, services=SERVICES)
    documents = [await run.document(partial(whole, base + 1 + each)) for each in range(OPERATORS)]
    bound_s = ACK_S + ACK_S_PER_ROUTE * ROUTES
    answers = await asyncio.gather(
        *(run.operator.order("Replace", document, base, bound_s + WAIT_S) for document in documents)
    )
    accepted = [base + 1 + each for each, answer in enumerate(answers) if answer.status == 200]
    if accepted:
        run.version = accepted[0]
        await run.tier.until_in_force(run.version)
    statuses = dict(Counter(answer.status for answer in answers))
    return [f"{statuses}, the last after {max(answer.after_s for answer in answers):.2f} s"]


async def _ended_early(run: Run) -> list[str]:
    whole = partial(replacement, routes=ROUTES, services=SERVICES)
    addresses = run.tier.layout.control_addresses()
    document = await run.document(partial(whole, run.version + 1))
    for each in range(OPERATORS):
        address = addresses[each % len(addresses)]
        await run.operator.call(address, "Replace", document, run.version, EARLY_END_S)
    return [f"{OPERATORS} calls ended early", await run.accept("Replace", whole, ROUTES)]


async def _leader_killed(run: Run) -> list[str]:
    leader = run.tier.leading_control()
    bound_s = ACK_S + ACK_S_PER_ROUTE * ROUTES
    whole = partial(replacement, run.version + 1, routes=ROUTES, services=SERVICES)
    document = await run.document(whole)
    sending = asyncio.create_task(run.operator.order("Replace", document, run.version, bound_s + WAIT_S))
    await asyncio.sleep(KILL_AFTER_S)
    await run.tier.fleet.end(leader, signal.SIGKILL)
    answer = await sending
    await run.tier.fleet.start(leader)
    return [f"{leader.process.name} killed after {KILL_AFTER_S} s", f"Replace: {_said(answer)}"]


async def _all_restarted(run: Run) -> list[str]:
    whole = partial(replacement, routes=ROUTES, services=SERVICES)
    accepted = await run.accept("Replace", whole, ROUTES)
    began_at = asyncio.get_running_loop().time()
    await run.tier.restart_all()
    await run.tier.until_serving()
    await run.tier.until_in_force(run.version)
    after_s = asyncio.get_running_loop().time() - began_at
    return [accepted, f"all killed, serving after {after_s:.2f} s"]


async def _many_sessions(run: Run) -> list[str]:
    whole = partial(replacement, routes=ROUTES, services=SERVICES)
    document = await run.document(partial(whole, run.version + 1))
    change = await run.document(partial(patch, run.version + 2, 7, 1, SERVICES))
    versions = [run.version + 1, run.version + 2]
    following = _following(run, versions, SESSIONS_FOR_S)
    await asyncio.sleep(SESSIONS_OPEN_S)
    said = []
    for verb, order, version in (("Replace", document, versions[0]), ("Update", change, versions[1])):
        sent_at = time.monotonic()
        answer = await run.operator.order(verb, order, version - 1, ACK_S + WAIT_S)
        said.append((f"{verb}: {_said(answer)}", sent_at))
        await asyncio.sleep(SESSIONS_OPEN_S)
    await run.tier.fleet.end(run.tier.leading_control(), signal.SIGKILL)
    arrivals = [combined(each) for each in zip(*await asyncio.gather(*following), strict=True)]
    run.version = versions[-1]
    return [
        f"{text}, at {each.sessions} of {SESSIONS} sessions after {each.last_s - sent_at:.2f} s"
        for (text, sent_at), each in zip(said, arrivals, strict=True)
    ]


async def _sessions_start(run: Run) -> list[str]:
    accepted = await run.accept("Replace", partial(replacement, routes=ROUTES, services=SERVICES), ROUTES)
    began_at = time.monotonic()
    parts = await asyncio.gather(*_following(run, [run.version], SESSIONS_OPEN_S))
    arrivals = combined([part for (part,) in parts])
    after_s = arrivals.last_s - began_at
    return [accepted, f"{arrivals.sessions} of {SESSIONS} sessions start and have it after {after_s:.2f} s"]


async def _reads(run: Run) -> list[str]:
    accepted = await run.accept("Replace", partial(replacement, routes=ROUTES, services=SERVICES), ROUTES)
    ends_at = time.monotonic() + READS_FOR_S
    addresses = run.tier.layout.control_addresses()
    readers = (_read_until(run, addresses[each % len(addresses)], ends_at) for each in range(OPERATORS))
    statuses = sum(await asyncio.gather(*readers), start=Counter[int]())
    return [accepted, f"{OPERATORS} readers of the whole configuration: {dict(statuses)}"]


async def _read_until(run: Run, address: str, ends_at: float) -> Counter[int]:
    statuses: Counter[int] = Counter()
    while time.monotonic() < ends_at:
        statuses[await run.operator.read(address)] += 1
    return statuses


def _following(run: Run, versions: list[int], for_s: float) -> list[asyncio.Future[list[Arrivals]]]:
    loop = asyncio.get_running_loop()
    return [
        loop.run_in_executor(run.builders, follow, run.tier.layout, numbers, versions, for_s)
        for numbers in SESSION_NUMBERS
    ]


PLAYS: dict[str, Play] = {
    "quiet": _quiet,
    "many-services": _many_services,
    "many-routes": _many_routes,
    "large-patch": _large_patch,
    "numbers-as-strings": _numbers_as_strings,
    "unknown-object": _unknown_object,
    "invalid": _invalid,
    "eight-at-once": _eight_at_once,
    "ended-early": _ended_early,
    "leader-killed": _leader_killed,
    "all-restarted": _all_restarted,
    "reads": _reads,
    "many-sessions": _many_sessions,
    "sessions-start": _sessions_start,
}


def _said(answer: OrderAnswer) -> str:
    return f"{answer.status} after {answer.after_s:.2f} s in {answer.calls} calls"
