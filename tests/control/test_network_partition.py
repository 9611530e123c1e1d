"""Network partitions of control machines, in one direction or both, and pauses of processes, for 20 s.

During a partition no machine may give an answer that the current state contradicts; after it, all machines
agree, and calls that the partition delayed are not executed.
"""

import asyncio
from dataclasses import dataclass, field

import msgspec
import pytest

from pewterring.configuration.digest import single_line
from pewterring.control.calls import (
    DECOMMISSION_START_PATH,
    DECOMMISSION_STATUS_PATH,
    DEREGISTER_PATH,
    Answer,
    Call,
)
from pewterring.control.commands import PutNodes, encode_command
from pewterring.control.errors import NotLeadingError
from pewterring.control.leadership import GroupLeadership
from pewterring.distribution.errors import StaleLeaderError
from pewterring.distribution.messages import CompleteTables, Redirect, Subscribe, TableVersions
from pewterring.distribution.subscriber import SEARCH_PAUSE_S
from pewterring.distribution.subscription import FeedSubscription
from pewterring.transport.lines import Channel
from tests.configuration.documents import encoded
from tests.consensus.virtual_time import VirtualTimeLoop, run
from tests.control.cluster import (
    ControlCluster,
    ControlMachine,
    heartbeat_call,
    put_call,
    read_call,
    relayed_call,
)
from tests.control.records import put, store
from tests.control.simulated_feed import FeedNode

PARTITION_S = 20.0
THREE = tuple(f"10.0.0.{number}" for number in range(1, 4))
FIVE = tuple(f"10.0.0.{number}" for number in range(1, 6))
FAR, NEAR, BESIDE = (
    "10.1.0.1",
    "10.1.0.2",
    "10.1.0.3",
)  # gateways that reach the majority, all machines, or the victims
LEASE_S = 0.4  # longer than the leader's lease
CONFIG_S = 2.0  # bound within which a configuration must reach every gateway
BELIEF_S = 2.0  # longer than a leader without a majority considers itself the leader
FAST_PROBE_S = 0.05  # between rounds of calls at the partitioned machines, during `BELIEF_S`
PROBE_S = 1.0  # between rounds of calls after that


@dataclass
class Probes:
    """Calls at the partitioned machines, and the wrong answers among theirs."""

    cluster: ControlCluster
    victims: tuple[str, ...]
    newest: int = 1  # newest acknowledged version
    partitioned_at: float = 0.0
    wrong: list[str] = field(default_factory=list)
    refused: int = 0

    async def run(self) -> None:
        """Calls until cancelled; more often while a partitioned leader still considers itself the leader."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as calls:
            while True:
                for ip in self.victims:
                    for name, call in self._valid_calls():
                        calls.create_task(self._probe(ip, name, call))
                await asyncio.sleep(PROBE_S if loop.time() - self.partitioned_at > BELIEF_S else FAST_PROBE_S)

    def _valid_calls(self) -> list[tuple[str, Call]]:
        """Calls that a machine with the current state would answer with 200."""
        newest = self.newest
        return [
            ("read", read_call()),
            ("change", put_call(newest, encoded(version=1000 + newest))),
            ("resent change", put_call(newest - 1, encoded(version=newest))),
            ("heartbeat", heartbeat_call("i-1", sequence=5)),
            ("drain", heartbeat_call("i-2", "draining", 5)),
            ("deregistration", Call("POST", f"{DEREGISTER_PATH}i-3")),
            (
                "retirement of a store added since",
                Call("POST", f"{DECOMMISSION_START_PATH}store-5", body=b"{}"),
            ),
            ("state of a retirement", Call("GET", f"{DECOMMISSION_STATUS_PATH}store-1")),
        ]

    async def _probe(self, ip: str, name: str, call: Call) -> None:
        started_at, newest = asyncio.get_running_loop().time(), self.newest
        answer = await self.cluster.machines[ip].router.answer(call)
        if answer.status == 503:
            self.refused += 1
        elif started_at - self.partitioned_at >= LEASE_S or not _is_correct(name, answer, newest):
            self.wrong.append(
                f"{name} at {ip} {started_at - self.partitioned_at:.2f} s after the partition: {answer}"
            )


def _is_correct(name: str, answer: Answer, newest: int) -> bool:
    """Whether an answer given under a lease that is still valid agrees with the newest state."""
    if name == "read":
        read: int = msgspec.json.decode(answer.body)["version"]
        return read >= newest
    return answer.status == 200 or name == "retirement of a store added since"


@dataclass(frozen=True)
class Case:
    """The machines that are partitioned, and the directions in which their messages are lost."""

    ips: tuple[str, ...]
    size: int  # number of partitioned machines
    has_leader: bool  # whether the leader is one of them
    hears: bool  # whether they receive messages of the others
    is_heard: bool  # whether the others receive their messages

    def __str__(self) -> str:
        who = "leader" if self.has_leader else "follower"
        sides = {(False, False): "cut", (True, False): "unheard", (False, True): "deaf"}
        return f"{self.size}-of-{len(self.ips)}-{who}-{sides[self.hears, self.is_heard]}"


CASES = [
    Case(ips, size, has_leader, hears, is_heard)
    for ips, size in ((THREE, 1), (FIVE, 2))
    for has_leader in (True, False)
    for hears, is_heard in ((False, False), (True, False), (False, True))
]


async def start_cluster(
    ips: tuple[str, ...], leadership_class: type[GroupLeadership] = GroupLeadership
) -> tuple[ControlCluster, ControlMachine]:
    """A cluster with a configuration, workers, and stores, one of which is being decommissioned."""
    cluster = ControlCluster(ips, leadership_class=leadership_class)
    leader = await cluster.start()
    assert (await cluster.call(put_call(0, encoded(version=1)))).status == 200
    for worker in ("i-1", "i-2", "i-3"):
        assert (await cluster.call(heartbeat_call(worker))).status == 200
    await add_stores(leader, 1, 2, 3, 4)
    assert (await cluster.call(Call("POST", f"{DECOMMISSION_START_PATH}store-1", body=b"{}"))).status == 200
    return cluster, leader


async def add_stores(leader: ControlMachine, *numbers: int) -> None:
    for number in numbers:
        leader.tables.nodes.observe(asyncio.get_running_loop().time(), store(number))
    await leader.leadership.propose(PutNodes(tuple(store(number) for number in numbers)))


def isolate(cluster: ControlCluster, case: Case, victims: tuple[str, ...]) -> tuple[str, ...]:
    """Partitions the victims from the other control machines; returns the others."""
    others = tuple(ip for ip in case.ips if ip not in victims)
    if not case.hears:
        cluster.partition(others, victims)
    if not case.is_heard:
        cluster.partition(victims, others)
    return others


async def run_case(case: Case, leadership_class: type[GroupLeadership] = GroupLeadership) -> None:
    cluster, leader = await start_cluster(case.ips, leadership_class)
    order = [leader.ip, *(ip for ip in case.ips if ip != leader.ip)]
    victims = tuple(order[: case.size] if case.has_leader else order[-case.size :])
    near = FeedNode(cluster, NEAR, victims + case.ips)  # reaches all machines, and tries the victims first
    far = FeedNode(cluster, FAR, case.ips)  # cannot reach the victims
    for node in (near, far):
        await node.subscriber.start()
        assert await node.has_version(1, CONFIG_S)
    others = isolate(cluster, case, victims)
    for senders, targets in ((victims, (FAR,)), ((FAR,), victims), (others, (BESIDE,)), ((BESIDE,), others)):
        cluster.partition(senders, targets)
    probes = Probes(cluster, victims, partitioned_at=asyncio.get_running_loop().time())
    probing = cluster.in_background(probes.run())
    await asyncio.sleep(LEASE_S)
    beside = FeedNode(cluster, BESIDE, victims)  # starts during the partition, and reaches only the victims
    await beside.subscriber.start()
    missed = await change_at_majority(cluster, others, probes, (near, far))
    assert missed == []
    assert beside.version == 0
    probing.cancel()
    assert probes.wrong == []
    assert probes.refused >= 8 * (PARTITION_S / PROBE_S - 1)
    await asyncio.sleep(PROBE_S)  # a call forwarded just before the partition ends may be executed
    await heal_and_check(cluster, others, (near, far, beside))
    if not case.is_heard:
        check_nothing_was_executed(await cluster.leader())
    for node in (near, far, beside):
        await node.subscriber.stop()
    await cluster.stop()


@pytest.mark.parametrize("case", CASES, ids=str)
def test_a_partition_of_twenty_seconds_gives_no_wrong_answer(case: Case) -> None:
    run(run_case(case))


class NeverChecksLease(GroupLeadership):
    """Considers itself the leader until it is told of another one, whether or not its lease is valid."""

    @property
    def has_lease(self) -> bool:
        return self.ready


class ReadsWithoutBarrier(GroupLeadership):
    """Answers reads from its own state without a read barrier."""

    async def read_barrier(self) -> None:
        if not self.ready:
            raise NotLeadingError


class ReadsAtAnyMember(GroupLeadership):
    """Answers reads at any machine, even if it does not lead."""

    async def read_barrier(self) -> None:
        return


@pytest.mark.parametrize("broken", [NeverChecksLease, ReadsWithoutBarrier, ReadsAtAnyMember])
def test_a_leadership_without_its_check_is_caught(broken: type[GroupLeadership]) -> None:
    with pytest.raises(AssertionError, match=r"after the partition|has 1, not 2"):
        run(run_case(CASES[0], broken))


async def change_at_majority(
    cluster: ControlCluster, others: tuple[str, ...], probes: Probes, nodes: tuple[FeedNode, ...]
) -> list[str]:
    """The other side accepts changes during the partition; returns the versions that its gateways missed."""
    missed: list[str] = []
    await add_stores(await cluster.leader(others), 5)
    started_at = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() - started_at < PARTITION_S:
        version = await put_next(cluster, others)
        probes.newest = version
        for node in nodes:
            if not await node.has_version(version, CONFIG_S):
                missed.append(f"{node.ip} has {node.version}, not {version}")
        await asyncio.sleep(2.0)
    return missed


async def put_next(cluster: ControlCluster, others: tuple[str, ...]) -> int:
    """Puts the next version, also if an earlier request with an unknown outcome was accepted before."""
    while True:
        read = await cluster.call(read_call(), others[0], others)
        current: int = msgspec.json.decode(read.body)["version"]
        answer = await cluster.call(put_call(current, encoded(version=current + 1)), others[0], others)
        if answer.status == 200:
            return current + 1
        assert answer.status == 412, answer


async def heal_and_check(
    cluster: ControlCluster, others: tuple[str, ...], nodes: tuple[FeedNode, ...]
) -> None:
    """Ends the partition: the victims follow the leader, which stays, and delayed calls change nothing."""
    leader = await cluster.leader(others)
    newest = await put_next(cluster, others)  # calls delayed by the partition have an older base
    term = leader.group.term
    cluster.heal()
    for _ in range(50):
        await asyncio.sleep(0.1)
        assert leader.leadership.has_lease
        assert leader.group.term == term
        for machine in cluster.machines.values():
            assert machine is leader or not machine.leadership.has_lease
    for ip in cluster.ips:
        answer: Answer = await cluster.machines[ip].router.answer(read_call())
        assert answer.body == single_line(encoded(version=newest)), ip
    for node in nodes:
        assert await node.has_version(newest, CONFIG_S), node.ip


def check_nothing_was_executed(leader: ControlMachine) -> None:
    """Checks that no call was executed whose caller got a 503 during the partition."""
    executed = []
    if "store-5" in leader.state.decommissionings:
        executed.append("retirement")
    if "i-3" in leader.state.departed:
        executed.append("deregistration")
    if leader.state.workers["i-2"].state != "ready":
        executed.append("drain")
    assert executed == [], "executed after the partition"


class AcceptsAnyRound(GroupLeadership):
    """Executes relayed calls regardless of how long they were delayed."""

    def check_round(self, term: int, number: int) -> None:  # noqa: ARG002 - the fault is to ignore it
        if not self.ready:
            raise NotLeadingError


def test_a_leader_that_executes_calls_delayed_by_a_partition_is_caught() -> None:
    unheard = next(case for case in CASES if not case.has_leader and case.hears)
    with pytest.raises(AssertionError, match="executed after the partition"):
        run(run_case(unheard, AcceptsAnyRound))


# A process that is paused between a check and the action that depends on it.


PAUSED_CALLS = {
    "read": read_call(),
    "heartbeat": heartbeat_call("i-1", sequence=9),
    "retirement": Call("GET", f"{DECOMMISSION_STATUS_PATH}store-9"),
}


@pytest.mark.parametrize("name", PAUSED_CALLS)
def test_a_leader_paused_after_its_check_does_not_answer_from_stale_state(name: str) -> None:
    call = PAUSED_CALLS[name]

    async def scenario(relayed: bool) -> None:
        cluster, leader = await start_cluster(THREE)
        pause_after_checks(leader)
        if relayed:
            status = (await leader.router.answer_relayed(relayed_call(call, leader))).status
        else:
            status = (await leader.router.answer(call)).status
        assert status == 503
        await cluster.stop()

    for relayed in (False, True):
        run(scenario(relayed))


def pause_after_checks(leader: ControlMachine) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    check, barrier = leader.leadership.check_lease, leader.leadership.read_barrier

    def check_and_pause() -> None:
        check()
        loop.pause_process(PARTITION_S)

    async def read_and_pause() -> None:
        await barrier()
        loop.pause_process(PARTITION_S)

    leader.leadership.check_lease = check_and_pause  # type: ignore[method-assign]  # replaced on this object only
    leader.leadership.read_barrier = read_and_pause  # type: ignore[method-assign]  # replaced on this object only


def test_a_gateway_paused_while_it_starts_subscribes_again() -> None:
    """The answer waits in the gateway's socket for 20 s, and the configuration changes meanwhile."""

    async def scenario() -> None:
        cluster, leader = await start_cluster(THREE)
        node = FeedNode(cluster, FAR, (leader.ip,))
        answered_versions: list[int] = []
        subscribe = leader.feed.subscribe

        def answer_to_a_paused_process(channel: Channel, message: Subscribe) -> CompleteTables | Redirect:
            answer = subscribe(channel, message)
            assert isinstance(answer, CompleteTables)
            answered_versions.append(answer.versions.configuration)
            if len(answered_versions) == 1:
                node.paused_s = PARTITION_S
                assert leader.state.apply(0, encode_command(put(1, 2))) is not None
            return answer

        leader.feed.subscribe = answer_to_a_paused_process  # type: ignore[method-assign]  # replaced on this object only
        seen: list[int] = []
        node.on_tables = lambda _old, _new: seen.append(node.version)
        await node.subscriber.start()
        assert await node.has_version(2, CONFIG_S)
        assert answered_versions[:2] == [1, 2]
        assert 1 not in seen
        await node.subscriber.stop()
        await cluster.stop()

    run(scenario())


def test_a_change_that_arrives_with_the_first_tables_is_not_missed() -> None:
    """The leader commits a change while its answer is in transit; both arrive at the same time."""

    async def scenario() -> None:
        cluster, leader = await start_cluster(THREE)
        node = FeedNode(cluster, FAR, (leader.ip,))
        subscribe = leader.feed.subscribe

        def answer_and_change(channel: Channel, message: Subscribe) -> CompleteTables | Redirect:
            answer = subscribe(channel, message)
            if leader.state.version == 1:
                leader.state.apply(0, encode_command(put(1, 2)))
            return answer

        leader.feed.subscribe = answer_and_change  # type: ignore[method-assign]  # replaced on this object only
        await node.subscriber.start()
        assert await node.has_version(2, SEARCH_PAUSE_S * 1.5 + 0.05), (
            "subscribed again only with the next renewal"
        )
        await node.subscriber.stop()
        await cluster.stop()

    run(scenario())


# Leaders of an earlier term.


def tables_of(epoch: int, version: int) -> CompleteTables:
    document = msgspec.Raw(encoded(version=version))
    return CompleteTables(TableVersions(epoch, version, 1, 1), document, (), (), (), (), ())


def accepts_a_stale_leader(subscription: FeedSubscription) -> bool:
    subscription.replace_all(tables_of(3, 5), 0.0)
    try:
        subscription.replace_all(tables_of(2, 5), 1.0)
    except StaleLeaderError:
        return False
    return subscription.tables.versions.epoch == 2


def test_a_subscription_rejects_tables_of_an_older_term() -> None:
    follower = FeedSubscription()
    assert not accepts_a_stale_leader(follower)
    assert follower.tables.versions.epoch == 3
    assert follower.confirmed_at == 0.0
    follower.replace_all(tables_of(3, 5), 2.0)
    follower.replace_all(tables_of(4, 6), 3.0)
    assert follower.tables.versions.epoch == 4


class AcceptsAnyLeader(FeedSubscription):
    """Does not check the epoch."""

    def _check_leadership(self, epoch: int) -> None:  # noqa: ARG002 - the fault is to ignore it
        return


def test_a_subscription_that_accepts_any_leader_is_caught() -> None:
    assert accepts_a_stale_leader(AcceptsAnyLeader())


def test_a_gateway_leaves_a_stale_leader_for_the_current_one() -> None:
    """A control machine sends tables of an earlier term; the gateway tries the next machine."""

    async def scenario() -> None:
        cluster, leader = await start_cluster(THREE)
        node = FeedNode(cluster, FAR, THREE)
        await node.subscriber.start()
        assert await node.has_version(1, CONFIG_S)
        stale_machine = next(machine for machine in cluster.machines.values() if machine is not leader)
        epochs: list[int] = []
        node.on_tables = lambda _old, new: epochs.append(new.versions.epoch)
        stale_machine.feed.subscribe = lambda *_: tables_of(0, 1)  # type: ignore[method-assign]  # replaced on this object only
        leader.feed.end_sessions()
        assert (await cluster.call(put_call(1, encoded(version=2)), leader.ip)).status == 200
        node.subscriber._leader_ip = stale_machine.ip  # noqa: SLF001 - no redirect names a machine that does not lead
        assert await node.has_version(2, CONFIG_S)
        assert set(epochs) == {leader.group.term}
        await node.subscriber.stop()
        await cluster.stop()

    run(scenario())
