"""Accounts that their owner holds for a customer's set: quotas of sparse fleets, slots, hard limits."""

import dataclasses
import random
from collections.abc import Callable

import pytest

from pewterring.standalone.peer_messages import QuotaGrant, QuotaRelease, QuotaRequest, decode_quota
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import ANSWER_TIMEOUT, TICK
from tests.standalone.helpers import DEADLINE, PLANS, PolicyDriver, final_answers, settings

FLEET_SIZE, SET_SIZE = 40, 30  # gateways in all; gateways of the customer's set, from number 0 on
PLAN = interface.Plan("steady", refill=10.0, depth=20.0)
ALL_PLANS = PLANS | {"steady": PLAN}


class GatewayNetwork:
    """Gateways whose messages arrive in order at `deliver`, except those that `lost` drops."""

    def __init__(self, fleet: int = FLEET_SIZE, lost: Callable[[], bool] = lambda: False) -> None:
        self.fleet, self.lost, self.now, self.last_id = fleet, lost, 100.0, 0
        self.gateways = [self.start_gateway(n, n) for n in range(fleet)]
        self.messages: list[tuple[int, interface.Tell]] = []
        self.timers: list[tuple[float, int, int]] = []
        self.sent: list[tuple[int, interface.Send]] = []
        self.refused: list[tuple[int, interface.Refuse]] = []

    def start_gateway(self, gateway: int, seed: int) -> PolicyDriver:
        setup = dataclasses.replace(settings(me=gateway, fleet=self.fleet), plans=ALL_PLANS, mail_per_s=100.0)
        return PolicyDriver(setup, seed=seed)

    def handle(self, gateway: int, event: interface.Event) -> None:
        self.gateways[gateway].now = self.now
        for action in self.gateways[gateway].do(event):
            match action:
                case interface.Tell() if not self.lost():
                    self.messages.append((gateway, action))
                case interface.SetTimer(delay, label) if label == ANSWER_TIMEOUT:
                    self.timers.append((self.now + delay, gateway, label))
                case interface.Send():
                    self.sent.append((gateway, action))
                case interface.Refuse():
                    self.refused.append((gateway, action))

    def deliver(self) -> None:
        while self.messages:
            peer, sent = self.messages.pop(0)
            if sent.peer is not None and self.receives(sent.peer):
                self.handle(sent.peer, interface.PeerMessage(peer, sent.data))

    def receives(self, peer: int) -> bool:
        return True

    def request(self, gateway: int, plan: str, units: float = 1.0, time_left: float = DEADLINE) -> int:
        self.last_id += 1
        self.handle(
            gateway,
            interface.Request(
                self.last_id, "pure", plan, 7, self.now + time_left, units, min(SET_SIZE, self.fleet), 0
            ),
        )
        return self.last_id

    def is_forwarded(self, gateway: int, plan: str, units: float = 1.0) -> bool:
        """Whether a request is forwarded, once all messages have been delivered."""
        before = len(self.sent)
        self.request(gateway, plan, units)
        self.deliver()
        return len(self.sent) > before

    def is_served(self, gateway: int, plan: str, units: float = 1.0) -> bool:
        """Whether a request is forwarded; its attempt then ends at once."""
        if forwarded := self.is_forwarded(gateway, plan, units):
            self.finish(*self.sent[-1])
        return forwarded

    def run_for(self, duration: float) -> None:
        end = self.now + duration
        while due := [timer for timer in self.timers if timer[0] <= end]:
            due_at, gateway, label = min(due)
            self.timers.remove((due_at, gateway, label))
            self.now = max(self.now, due_at)
            self.handle(gateway, interface.TimerDue(label))
            self.deliver()
        self.now = end

    def finish(self, gateway: int, send: interface.Send, actual: float = 0.0) -> None:
        self.handle(gateway, interface.Outcome(send.id, 0, send.server, interface.Code.OK, 0.1, True, actual))
        self.deliver()


OWNER = 7 % SET_SIZE


@pytest.mark.parametrize("fleet", [3, FLEET_SIZE])
def test_the_slots_of_a_plan_are_shared_by_the_whole_set(fleet: int) -> None:
    """Each of thirty gateways used to allow one request in flight: 30 for a plan of four, but never two at
    one.
    """
    network = GatewayNetwork(fleet)
    assert sum(network.is_forwarded(gateway % 2, "narrow") for gateway in range(9)) == 4
    gateway, send = network.sent[0]
    network.finish(gateway, send)
    assert network.is_forwarded(2, "narrow")
    assert not network.is_forwarded(2, "narrow")


def test_a_slot_whose_release_is_lost_becomes_free() -> None:
    network = GatewayNetwork()
    assert all(network.is_forwarded(n, "narrow") for n in range(4))
    network.now += 60.0
    assert network.is_forwarded(5, "narrow")


def test_a_request_whose_answer_is_lost_is_repeated_and_counts_once() -> None:
    drop = [False, True]  # the request arrives, the answer is lost
    network = GatewayNetwork(lost=lambda: bool(drop) and drop.pop(0))
    network.request(1, "narrow")
    network.deliver()
    assert not network.sent
    network.run_for(0.2)
    assert len(network.sent) == 1
    assert sum(network.is_forwarded(n, "narrow") for n in range(2, 9)) == 3


@pytest.mark.parametrize("left", [DEADLINE, 0.02])
def test_an_unresponsive_owner_is_not_awaited_past_the_deadline(left: float) -> None:
    """A request with 20 ms left used to wait 80 ms for the owner, and its client got no answer in time."""
    network = GatewayNetwork(lost=lambda: True)
    id = network.request(1, "narrow", time_left=left)
    network.run_for(min(left, 1.0) - 1e-4)
    assert [s.id for _, s in network.sent] == [id]
    assert network.gateways[1].policy.awaiting_owner == {}


def test_a_grant_that_comes_too_late_sends_nothing() -> None:
    network = GatewayNetwork()
    id = network.request(1, "narrow")
    network.handle(1, interface.Expired(id))
    network.deliver()
    assert not network.sent
    assert not final_answers(network.gateways[1].do(interface.TimerDue(ANSWER_TIMEOUT)))


def test_a_sparse_fleet_forwards_the_quota_wherever_requests_arrive() -> None:
    """With usage reported to each other 0.1 s late, thirty gateways forwarded 15% beyond the quota and
    rejected as much within it.
    """
    network, rng = GatewayNetwork(), random.Random(3)
    start, count = network.now, 0
    while network.now < start + 20.0:
        network.now += 0.02  # 50 requests a second, five times the quota
        count += network.is_served(rng.choice([1, 1, 1, *range(SET_SIZE)]), "steady")
    quota = PLAN.depth + 20.0 * PLAN.refill
    assert 0.85 * quota < count <= quota


def test_most_requests_far_beyond_the_quota_are_rejected_without_asking_the_owner() -> None:
    """Each request cost the owner two messages: a busy owner received more than it could process."""
    network, requests_sent = GatewayNetwork(), 0
    for n in range(400):
        network.now += 0.01  # 100 requests a second against a quota of 10
        network.request(1, "steady")
        requests_sent += sum(isinstance(decode_quota(t.data), QuotaRequest) for _, t in network.messages)
        before = len(network.sent)
        network.deliver()
        if len(network.sent) > before:
            network.finish(*network.sent[-1])
        if n == 200:
            requests_sent = 0
    assert requests_sent < 0.4 * 200
    account = network.gateways[OWNER].policy.quota.accounts[7]
    assert account.demand() > 60.0  # and all of it was reported


class BusyOwnerNetwork(GatewayNetwork):
    """The account's owner receives at most `intake` messages a second; the others are lost."""

    def __init__(self, intake: float) -> None:
        super().__init__()
        self.intake, self.capacity, self.updated_at = intake, 0.0, self.now

    def receives(self, peer: int) -> bool:
        if peer != OWNER:
            return True
        self.capacity = min(self.intake / 4, self.capacity + (self.now - self.updated_at) * self.intake)
        self.updated_at, received = self.now, self.capacity >= 1
        self.capacity -= received
        return received

    def forwarded_units(self, load: float, seconds: float) -> int:
        """Units forwarded in `seconds`, with requests for `load` times the quota."""
        rng, end, finished = random.Random(3), self.now + seconds, len(self.sent)
        began = finished
        while self.now < end:
            self.run_for(rng.expovariate(PLAN.refill * load))
            self.request(rng.choice([1, 1, 1, *range(SET_SIZE)]), "steady")
            self.deliver()
            while finished < len(self.sent):
                self.finish(*self.sent[finished])
                finished += 1
        return finished - began


@pytest.mark.parametrize(("intake", "beyond"), [(100.0, 0.0), (15.0, 0.25), (8.0, 0.75)])
def test_an_owner_that_receives_few_requests_still_enforces_its_quota(intake: float, beyond: float) -> None:
    """Of 50 requests a second an owner received 15 or 8 and took them for all. Unanswered requests were
    forwarded by figures that had decayed between two answers, and the owner did not hear of them: three and
    five times the quota were forwarded.
    """
    network = BusyOwnerNetwork(intake)
    count, quota = network.forwarded_units(5.0, 30.0), PLAN.depth + 30.0 * PLAN.refill
    assert 0.95 * quota < count <= (1 + beyond) * quota
    before = network.last_id
    assert network.forwarded_units(0.5, 15.0) > 0.8 * (network.last_id - before)  # and it admits again


def test_actual_units_reach_the_account() -> None:
    network = GatewayNetwork()
    assert network.is_forwarded(1, "steady", 4.0)
    account = network.gateways[OWNER].policy.quota.accounts[7]
    spent = account.spent()
    network.finish(*network.sent[0], actual=9.0)
    assert account.spent() == pytest.approx(spent + 5.0)
    assert network.is_forwarded(2, "steady", 4.0)
    network.finish(*network.sent[1], actual=1.0)
    assert account.spent() == pytest.approx(spent + 6.0)


def test_actual_units_below_the_estimate_may_make_usage_negative() -> None:
    """Units credited to an unused quota made its usage negative, which could not be encoded: the gateway
    failed.
    """
    network = GatewayNetwork(3)
    assert network.is_forwarded(1, "steady", 4.0)
    network.finish(*network.sent[-1], actual=1.0)
    network.now += 0.001
    network.gateways[1].policy.quota.accounts[7].own.spent = -3.0
    network.handle(1, interface.TimerDue(TICK))
    network.deliver()


def test_units_granted_but_not_used_are_released() -> None:
    network = GatewayNetwork()
    network.gateways[1].policy.pool.serving = []  # no server can take it
    assert not network.is_forwarded(1, "steady", 5.0)
    assert network.gateways[OWNER].policy.quota.accounts[7].spent() == pytest.approx(0.0)


def test_a_restarted_owner_learns_what_is_spent() -> None:
    network = GatewayNetwork()
    assert sum(network.is_served(1, "steady", 4.0) for _ in range(10)) < 6
    network.gateways[OWNER] = network.start_gateway(OWNER, 99)
    assert sum(network.is_served(1, "steady", 4.0) for _ in range(10)) <= 1


@pytest.mark.parametrize("lost", [0.0, 0.2, 1.0])
def test_the_hard_limit_holds_whatever_happens_to_messages(lost: float) -> None:
    """With lost, late, repeated and reordered messages and restarts no two gateways hold the same units."""
    rng = random.Random(5)
    network = GatewayNetwork(6, lost=lambda: rng.random() < lost)
    plan = PLANS["capped"]
    units_left, forwarded, checked = plan.cap_depth, 0, 0
    for step in range(4000):
        network.run_for(0.02)
        units_left = min(plan.cap_depth, units_left + 0.02 * plan.cap_rate)
        if step % 400 == 399:
            gateway = rng.randrange(6)
            network.gateways[gateway] = network.start_gateway(gateway, step)
            network.gateways[gateway].policy.quota.began = network.now
        network.request(0 if rng.random() < 0.8 else rng.randrange(6), "capped")
        rng.shuffle(network.messages)
        network.messages += [message for message in network.messages if rng.random() < 0.2]
        if rng.random() < 0.7:
            network.deliver()
        for gateway, send in network.sent[checked:]:
            units_left -= 1.0
            forwarded += 1
            network.gateways[gateway].now = network.now
            network.gateways[gateway].end(send, interface.Code.OK)
        checked = len(network.sent)
        assert units_left >= -plan.cap_slack
    even = plan.cap_rate * 80.0 / 6
    assert lost or forwarded > 2 * even  # four fifths arrive at one of six gateways


def test_a_grant_that_holds_a_slot_is_released_at_its_end() -> None:
    network = GatewayNetwork()
    assert network.is_forwarded(1, "narrow")
    network.handle(
        1,
        interface.Outcome(network.sent[0][1].id, 0, network.sent[0][1].server, interface.Code.OK, 0.1, True),
    )
    assert {type(decode_quota(t.data)) for _, t in network.messages} == {QuotaRelease}
    assert decode_quota(b"G" + bytes(8)) == QuotaGrant(0, False, False, 0.0, 0.0)


def test_an_owner_that_answers_rarely_is_not_asked_again() -> None:
    """Three requests each from gateways that already received too many messages made owners answer fewer
    still: 40% of the messages were lost (i1836be).
    """
    network, requests_sent = GatewayNetwork(), []
    for n in range(20):
        network.messages.clear()
        network.request(1, "narrow")
        while network.timers:
            due_at, gateway, label = network.timers.pop(0)
            network.now = max(network.now, due_at)
            network.handle(gateway, interface.TimerDue(label))
        requests_sent.append(sum(isinstance(decode_quota(t.data), QuotaRequest) for _, t in network.messages))
        for _, send in network.sent[n:]:
            network.handle(1, interface.Outcome(send.id, 0, send.server, interface.Code.OK, 0.1, True))
    assert requests_sent[0] == 3
    assert requests_sent[-1] == 1


def test_slots_count_as_taken_for_a_while_after_the_owner_rejected_a_request() -> None:
    """Each gateway without an answer used to forward one request: 40% of a plan's units went beyond its
    limit.
    """
    network = GatewayNetwork()
    assert [network.is_forwarded(gateway, "narrow") for gateway in range(1, 6)] == [True] * 4 + [False]
    network.lost = lambda: True
    sent = len(network.sent)
    network.request(5, "narrow")
    network.run_for(1.0)
    assert len(network.sent) == sent
    assert network.refused[-1][1].why == "limit"
    network.now += 5.0
    for gateway, send in network.sent:
        network.finish(gateway, send)
    network.request(5, "narrow")
    network.run_for(1.0)
    assert len(network.sent) == sent + 1  # an owner that is gone blocks nobody for good


@pytest.mark.parametrize(("load", "refused"), [(0.5, (0.0, 0.02)), (5.0, (0.7, 0.82))])
def test_little_goes_beyond_the_quota_where_answers_are_lost(
    load: float, refused: tuple[float, float]
) -> None:
    """Owners of busy accounts are overloaded with requests. Those that they left unanswered were decided by
    local figures, without the other gateways' usage: 23% of all attempts (a price of 0.11 on a calm day).
    """
    for seed in (1, 2):
        rng = random.Random(seed)
        network = GatewayNetwork(lost=lambda rng=rng: rng.random() < 0.3)  # type: ignore[misc]
        units_left, updated_at, checked, beyond, requests = PLAN.depth, network.now, 0, 0, 0
        while network.now < 120.0:
            network.run_for(rng.expovariate(load * PLAN.refill))
            network.request(rng.randrange(SET_SIZE), PLAN.name)
            network.deliver()
            requests += 1
            units_left, updated_at = (
                min(PLAN.depth, units_left + (network.now - updated_at) * PLAN.refill),
                network.now,
            )
            for gateway, send in network.sent[checked:]:
                beyond, units_left = (beyond, units_left - 1) if units_left >= 1 else (beyond + 1, units_left)
                network.finish(gateway, send)
            checked = len(network.sent)
        assert beyond <= 0.08 * checked
        assert checked >= 0.75 * min(1.0, load) * 20 * PLAN.refill
        assert refused[0] <= len(network.refused) / requests <= refused[1]


def test_an_owner_that_answers_slowly_is_awaited_but_not_asked_again() -> None:
    """Slow answers were useless as the wait ended after a third of its time (calm+mass, a price of 0.16)."""
    network = GatewayNetwork()
    network.gateways[1].policy.answer_rate = 0.1
    network.request(1, "narrow")
    network.gateways[1].now = network.now = network.now + 0.15  # two thirds of a fifth of the latency target
    for _ in range(2):
        network.handle(1, interface.TimerDue(ANSWER_TIMEOUT))
    assert not network.sent
    assert len(network.messages) == 1
    network.deliver()
    assert len(network.sent) == 1
