"""The plays: each sends orders on a tier that serves, and says what became of them."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from benchmarks.large_configurations.documents import (
    encoded,
    patch,
    replacement,
    with_unknown_object,
    with_unknown_service,
)
from benchmarks.large_configurations.operator import Operator, OrderAnswer
from benchmarks.large_configurations.tier import Tier

ACK_S = 4.0  # the bound of an acknowledgement
ACK_S_PER_ROUTE = 0.003  # and what each route adds
WAIT_S = 4.0  # how much longer than the bound the operator sends
OPERATORS = 8
EARLY_END_S = 0.1
KILL_AFTER_S = 0.15
ROUTES, SERVICES = 3000, 36
SMALL_ROUTES, SMALL_SERVICES = 13_000, 2
UNKNOWN_KEYS = 200_000


@dataclass(slots=True)
class Run:
    """One play in progress: the tier, the operator, and the version in force."""

    tier: Tier
    operator: Operator
    version: int

    async def accept(self, verb: str, content: dict[str, object], routes: int) -> str:
        """Sends an order on the version in force and waits until all gateways serve with it."""
        loop = asyncio.get_running_loop()
        began_at, base = loop.time(), self.version
        self.version += 1
        document = encoded(content | {"version": self.version})
        bound_s = ACK_S + ACK_S_PER_ROUTE * routes
        answer = await self.operator.order(verb, document, base, bound_s + WAIT_S)
        if answer.status != 200:
            return f"{verb}: {_said(answer)}, bound {bound_s:.1f} s"
        await self.tier.until_in_force(self.version)
        return f"{verb}: {_said(answer)}, in force after {loop.time() - began_at:.2f} s"


Play = Callable[[Run], Awaitable[list[str]]]


async def _quiet(_run: Run) -> list[str]:
    await asyncio.sleep(3.0)
    return ["no order"]


async def _many_services(run: Run) -> list[str]:
    return [
        await run.accept("Replace", replacement(0, ROUTES, SERVICES), ROUTES),
        await run.accept("Update", patch(0, 7, 1, SERVICES), 1),
    ]


async def _many_routes(run: Run) -> list[str]:
    return [
        await run.accept("Replace", replacement(0, SMALL_ROUTES, SMALL_SERVICES), SMALL_ROUTES),
        await run.accept("Update", patch(0, 7, 1, SMALL_SERVICES), 1),
    ]


async def _large_patch(run: Run) -> list[str]:
    return [
        await run.accept("Replace", replacement(0, 1, SERVICES), 1),
        await run.accept("Update", patch(0, 0, ROUTES, SERVICES), ROUTES),
    ]


async def _numbers_as_strings(run: Run) -> list[str]:
    content = replacement(0, ROUTES, SERVICES, numbers_as_strings=True)
    return [await run.accept("Replace", content, ROUTES)]


async def _unknown_object(run: Run) -> list[str]:
    content = with_unknown_object(replacement(0, 1, SERVICES), UNKNOWN_KEYS)
    return [await run.accept("Replace", content, 1), await run.accept("Update", patch(0, 7, 1, SERVICES), 1)]


async def _invalid(run: Run) -> list[str]:
    content = with_unknown_service(replacement(run.version + 1, ROUTES, SERVICES))
    answer = await run.operator.order("Replace", encoded(content), run.version, ACK_S + WAIT_S)
    return [f"Replace, invalid: {_said(answer)}: {answer.text}"]


async def _eight_at_once(run: Run) -> list[str]:
    base = run.version
    documents = [encoded(replacement(base + 1 + each, ROUTES, SERVICES)) for each in range(OPERATORS)]
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
    content = replacement(run.version + 1, ROUTES, SERVICES)
    addresses = run.tier.layout.control_addresses()
    document = encoded(content)
    for each in range(OPERATORS):
        address = addresses[each % len(addresses)]
        await run.operator.call(address, "Replace", document, run.version, EARLY_END_S)
    return [f"{OPERATORS} calls ended early", await run.accept("Replace", content, ROUTES)]


async def _leader_killed(run: Run) -> list[str]:
    leader = run.tier.leading_control()
    sending = asyncio.create_task(run.accept("Replace", replacement(0, ROUTES, SERVICES), ROUTES))
    await asyncio.sleep(KILL_AFTER_S)
    await run.tier.fleet.end(leader, signal.SIGKILL)
    said = await sending
    await run.tier.fleet.start(leader)
    return [f"{leader.process.name} killed after {KILL_AFTER_S} s", said]


async def _all_restarted(run: Run) -> list[str]:
    loop = asyncio.get_running_loop()
    accepted = await run.accept("Replace", replacement(0, ROUTES, SERVICES), ROUTES)
    began_at = loop.time()
    await run.tier.restart_all()
    await run.tier.until_serving()
    await run.tier.until_in_force(run.version)
    return [accepted, f"all killed, serving after {loop.time() - began_at:.2f} s"]


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
}


def _said(answer: OrderAnswer) -> str:
    return f"{answer.status} after {answer.after_s:.2f} s in {answer.calls} calls"
