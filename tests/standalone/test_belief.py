"""What the module believes beside what passes on the sockets: attempts out and where, and who is left out."""

from collections.abc import Callable
from dataclasses import replace

from pewterring.standalone.http.messages import Request
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import Gatekeeper
from tests.standalone.helpers import LIMITS, settings
from tests.standalone.stand_ins import OK, Rig, StandIn, Talk, asking, entry, listing, run, until


class Worker(StandIn):
    """Holds each request until the test lets it go."""

    def __init__(self) -> None:
        super().__init__(self.hold)
        self.waiting: list[Talk] = []

    def hold(self, talk: Talk, request: Request) -> bytes | None:
        if request.get(b"x-request-id") is None:
            return OK  # a probe
        self.waiting.append(talk)
        return None

    def out(self) -> int:
        """Requests on connections that are still open, unanswered."""
        self.waiting = [talk for talk in self.waiting if not talk.ended]
        return len(self.waiting)

    def end(self, how: Callable[[Talk], None], count: int = 1) -> None:
        for _ in range(count):
            how(self.waiting.pop(0))


def answer(talk: Talk) -> None:
    talk.write(OK)


def spoil(talk: Talk) -> None:
    talk.write(b"\x00\x01noise\r\n\r\n")


def gatekeeper_of(rig: Rig) -> Gatekeeper:
    assert isinstance(rig.gateway.module, Gatekeeper)
    return rig.gateway.module


def alone(*workers: Address) -> Rig:
    """One that makes no second copies: what is out changes only when the test wants it to."""
    rig = Rig(None, *workers)
    limits = replace(LIMITS, may_duplicate=False)
    rig.config = replace(rig.config, settings=settings(limits=limits))
    return rig


def believed(rig: Rig) -> dict[int, int]:
    """Attempts out at each worker by its number, as the module counts them."""
    return {id: node.in_flight for id, node in gatekeeper_of(rig).fleet.nodes.items()}


def test_attempts_out_are_those_on_the_sockets_whatever_ends_them() -> None:
    async def test() -> None:
        async with Worker() as one, Worker() as two, alone(one.address, two.address) as rig:
            gatekeeper = gatekeeper_of(rig)
            await until(lambda: gatekeeper.fleet.nodes)
            gatekeeper.ceiling.limit = 300.0
            await until(lambda: gatekeeper.shares.share > 50)

            def agree() -> bool:
                out = {1: one.out(), 2: two.out()}
                return believed(rig) == out and len(gatekeeper.flying) == sum(out.values())

            callers = [await rig.caller() for _ in range(12)]
            for caller in callers:
                caller.write(asking())
            await until(lambda: one.out() + two.out() == 12 and agree())
            assert one.out() == two.out() == 6
            for caller in callers[:3]:  # clients that go away take their attempts with them
                caller.writer.transport.abort()
            await until(lambda: one.out() + two.out() == 9 and agree())
            one.end(answer)
            one.end(Talk.reset)  # sent again, where the budget lets it
            two.end(spoil)
            two.end(answer)
            await until(agree)
            # Draining: what is out stays counted there, nothing new comes.
            at_one = one.out()
            rig.gateway.listed(
                listing(entry("s-1", one.address, "draining"), entry("s-2", two.address), version=2)
            )
            late = [await rig.caller() for _ in range(4)]
            for caller in late:
                caller.write(asking())
            await until(lambda: rig.gateway.taken == 16 and agree())
            assert one.out() == at_one
            # Gone and back under a new id at the old address: the former one's count goes with its attempts.
            rig.gateway.listed(listing(entry("s-3", one.address), entry("s-2", two.address), version=3))
            one.end(answer, one.out())
            await until(lambda: believed(rig).get(1, 0) == 0)
            fresh = await rig.caller()
            fresh.write(asking())
            await until(lambda: one.out() == 1 and believed(rig)[3] == 1)
            for worker in (one, two):
                worker.end(answer, worker.out())
            await until(lambda: not gatekeeper.flying and not gatekeeper.held)
            await until(lambda: not rig.gateway.calls and not rig.gateway.by_client)
            rig.gateway.listed(listing(entry("s-3", one.address), entry("s-2", two.address), version=4))
            await until(lambda: believed(rig) == {2: 0, 3: 0})
            assert all(c.open == 0 for c in gatekeeper.quota.customers.values())
            used = len(rig.listener.clients) + sum(map(len, rig.service.pool.idle.values()))
            await until(lambda: rig.service.descriptors.used == used)

    run(test)


def test_a_worker_left_out_for_silence_comes_back_with_its_first_answer() -> None:
    async def test() -> None:
        async with Worker() as one, Rig(None, one.address) as rig:
            gatekeeper = gatekeeper_of(rig)
            caller = await rig.caller()
            caller.write(asking())
            await until(lambda: one.out() == 1)
            (node,) = gatekeeper.fleet.nodes.values()
            node.health_of("pure").unresponsive_since = rig.gateway.loop.time()
            one.end(answer)
            assert (await caller.answer()).status == 200
            await until(lambda: not node.unresponsive)
            assert not node.in_flight
            assert node.last_answer > 0

    run(test)


def test_the_age_of_a_start_is_the_same_in_module_and_list() -> None:
    async def test() -> None:
        async with Worker() as one, Rig(None, one.address) as rig:
            gatekeeper = gatekeeper_of(rig)
            born = rig.gateway.directory.unix() * 1000 - 5000
            rig.gateway.listed(listing(entry("s-1", one.address, born_ms=born), version=2))
            await until(lambda: any(n.came_up for n in gatekeeper.fleet.nodes.values()))
            (node,) = gatekeeper.fleet.nodes.values()
            assert abs(rig.gateway.loop.time() - node.came_up - 5.0) < 2.0
            assert isinstance(node.entry, interface.Server)
            assert node.entry.came_up == node.came_up

    run(test)
