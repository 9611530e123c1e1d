"""The policy's view compared with the sockets: attempts in flight by server, unresponsive servers."""

from collections.abc import Callable
from dataclasses import replace

from pewterring.standalone.http.messages import Request
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import GatewayPolicy
from tests.standalone.helpers import LIMITS, settings
from tests.standalone.stand_ins import OK, Rig, StandIn, Talk, asking, entry, listing, run, until


class HoldingWorker(StandIn):
    """Leaves each request unanswered until the test ends it."""

    def __init__(self) -> None:
        super().__init__(self.hold)
        self.waiting: list[Talk] = []

    def hold(self, talk: Talk, request: Request) -> bytes | None:
        if request.get(b"x-request-id") is None:
            return OK  # a health check
        self.waiting.append(talk)
        return None

    def in_flight(self) -> int:
        """Unanswered requests on connections that are still open."""
        self.waiting = [talk for talk in self.waiting if not talk.ended]
        return len(self.waiting)

    def end(self, finish: Callable[[Talk], None], count: int = 1) -> None:
        for _ in range(count):
            finish(self.waiting.pop(0))


def answer(talk: Talk) -> None:
    talk.write(OK)


def send_garbage(talk: Talk) -> None:
    talk.write(b"\x00\x01noise\r\n\r\n")


def policy_of(rig: Rig) -> GatewayPolicy:
    assert isinstance(rig.gateway.policy, GatewayPolicy)
    return rig.gateway.policy


def without_duplicates(*workers: Address) -> Rig:
    """A gateway without duplicates: attempts in flight change only when the test wants it."""
    rig = Rig(None, *workers)
    limits = replace(LIMITS, may_duplicate=False)
    rig.config = replace(rig.config, settings=settings(limits=limits))
    return rig


def counted_attempts(rig: Rig) -> dict[int, int]:
    """Attempts in flight at each worker by its number, as the policy counts them."""
    return {id: state.in_flight for id, state in policy_of(rig).pool.servers.items()}


def test_the_policy_counts_the_attempts_on_the_sockets_however_they_end() -> None:
    async def test() -> None:
        async with (
            HoldingWorker() as first,
            HoldingWorker() as second,
            without_duplicates(first.address, second.address) as rig,
        ):
            policy = policy_of(rig)
            await until(lambda: policy.pool.servers)
            policy.ceiling.limit = 300.0
            await until(lambda: policy.shares.share > 50)

            def counts_agree() -> bool:
                in_flight = {1: first.in_flight(), 2: second.in_flight()}
                return counted_attempts(rig) == in_flight and len(policy.attempts) == sum(in_flight.values())

            callers = [await rig.caller() for _ in range(12)]
            for caller in callers:
                caller.write(asking())
            await until(lambda: first.in_flight() + second.in_flight() == 12 and counts_agree())
            assert first.in_flight() == second.in_flight() == 6
            for caller in callers[:3]:  # the attempts of clients that disconnect end too
                caller.writer.transport.abort()
            await until(lambda: first.in_flight() + second.in_flight() == 9 and counts_agree())
            first.end(answer)
            first.end(Talk.reset)  # retried, if the retry budget allows it
            second.end(send_garbage)
            second.end(answer)
            await until(counts_agree)
            # A draining worker: its attempts still count, and it gets no new ones.
            at_one = first.in_flight()
            rig.gateway.listed(
                listing(entry("s-1", first.address, "draining"), entry("s-2", second.address), version=2)
            )
            late_callers = [await rig.caller() for _ in range(4)]
            for caller in late_callers:
                caller.write(asking())
            await until(lambda: rig.gateway.taken == 16 and counts_agree())
            assert first.in_flight() == at_one
            # Removed and listed again with a new id at the same address: attempts still count for the old id.
            rig.gateway.listed(listing(entry("s-3", first.address), entry("s-2", second.address), version=3))
            first.end(answer, first.in_flight())
            await until(lambda: counted_attempts(rig).get(1, 0) == 0)
            last_caller = await rig.caller()
            last_caller.write(asking())
            await until(lambda: first.in_flight() == 1 and counted_attempts(rig)[3] == 1)
            for worker in (first, second):
                worker.end(answer, worker.in_flight())
            await until(lambda: not policy.attempts and not policy.requests)
            await until(lambda: not rig.gateway.calls and not rig.gateway.by_client)
            rig.gateway.listed(listing(entry("s-3", first.address), entry("s-2", second.address), version=4))
            await until(lambda: counted_attempts(rig) == {2: 0, 3: 0})
            assert all(account.in_flight == 0 for account in policy.quota.accounts.values())
            used = len(rig.listener.clients) + sum(map(len, rig.service.pool.idle.values()))
            await until(lambda: rig.service.descriptors.used == used)

    run(test)


def test_an_unresponsive_worker_is_responsive_after_its_first_answer() -> None:
    async def test() -> None:
        async with HoldingWorker() as worker, Rig(None, worker.address) as rig:
            policy = policy_of(rig)
            caller = await rig.caller()
            caller.write(asking())
            await until(lambda: worker.in_flight() == 1)
            (state,) = policy.pool.servers.values()
            state.health_of("pure").unresponsive_since = rig.gateway.loop.time()
            worker.end(answer)
            assert (await caller.answer()).status == 200
            await until(lambda: not state.unresponsive)
            assert not state.in_flight
            assert state.last_answer > 0

    run(test)


def test_the_start_time_is_the_same_in_the_policy_and_the_list() -> None:
    async def test() -> None:
        async with HoldingWorker() as worker, Rig(None, worker.address) as rig:
            policy = policy_of(rig)
            born_ms = rig.gateway.directory.unix() * 1000 - 5000
            rig.gateway.listed(listing(entry("s-1", worker.address, born_ms=born_ms), version=2))
            await until(lambda: any(n.came_up for n in policy.pool.servers.values()))
            (state,) = policy.pool.servers.values()
            assert abs(rig.gateway.loop.time() - state.came_up - 5.0) < 2.0
            assert isinstance(state.entry, interface.Server)
            assert state.entry.came_up == state.came_up

    run(test)
