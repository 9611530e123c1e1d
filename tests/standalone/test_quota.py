"""Quotas: local shares of the burst, admission by total demand, usage updates from peers, hard limits."""

import dataclasses
import itertools
import random

import pytest

from pewterring.standalone.peer_messages import HEARTBEAT_FORMAT, USAGE_FORMAT, plan_number
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import Quota
from tests.standalone.helpers import LIMITS, PLANS, PolicyDriver, sends, settings

SMALL = PLANS["small"]


class SmallFleet:
    """Three gateways whose messages arrive at once, unless a network partition separates them."""

    def __init__(self, plan: str = "small") -> None:
        self.drivers = [PolicyDriver(settings(me=n), seed=n) for n in range(3)]
        self.partitioned, self.plan, self.rng = False, PLANS[plan], random.Random(5)
        # Units left of the quota, and requests forwarded when none was left.
        self.units_left, self.beyond = self.plan.depth, 0

    def pass_time(self, duration: float) -> None:
        for driver in self.drivers:
            messages = driver.tick(duration)
            for message in messages if not self.partitioned else ():
                assert message.peer is not None
                receiver = self.drivers[message.peer].policy
                receiver.handle(driver.now, interface.PeerMessage(driver.policy.settings.me, message.data))

    def forwarded_rate(
        self, rates: dict[int, int], seconds: float, size: int = 3, in_bursts: bool = False
    ) -> float:
        """Units forwarded a second; `rates` are requests a second by gateway."""
        count, steps = 0, round(seconds / 0.1)
        for _ in range(steps):
            for gateway, rate in rates.items():
                driver = self.drivers[gateway]
                for _ in range(self.rng.randrange(1 + rate // 5) if in_bursts else rate // 10):
                    for send in sends(driver.ask(plan=self.plan.name, size=size)):
                        count += 1
                        self.beyond += self.units_left < 1
                        self.units_left -= self.units_left >= 1  # a request beyond the quota takes none
                        driver.end(send, interface.Code.OK)
            self.pass_time(0.1)
            self.units_left = min(self.plan.depth, self.units_left + 0.1 * self.plan.refill)
        return count / seconds


def test_within_the_quota_nothing_is_rejected() -> None:
    driver = PolicyDriver()
    for _ in range(40):
        driver.now += 2.0
        (send,) = sends(driver.ask(plan="small", size=2))
        driver.end(send, interface.Code.OK)


@pytest.mark.parametrize("rates", [{0: 20}, {0: 10, 1: 10, 2: 10}, {0: 30, 1: 10}])
def test_heavy_demand_gets_the_quota_wherever_it_arrives(rates: dict[int, int]) -> None:
    fleet = SmallFleet()
    fleet.forwarded_rate(rates, 5.0)
    assert 0.7 * SMALL.refill <= fleet.forwarded_rate(rates, 40.0) <= 1.4 * SMALL.refill


@pytest.mark.parametrize(("rates", "size"), [({0: 40}, 1), ({0: 40}, 3), ({0: 20, 1: 20, 2: 20}, 3)])
def test_little_is_forwarded_while_the_quota_is_exhausted(rates: dict[int, int], size: int) -> None:
    """When the whole refill rate was admitted with nothing left, many requests came a little too early."""
    fleet = SmallFleet("busy")
    forwarded = 60 * fleet.forwarded_rate(rates, 60.0, size, in_bursts=True)
    assert fleet.beyond <= 0.05 * forwarded
    assert forwarded >= 0.95 * (fleet.plan.depth + 60 * fleet.plan.refill)


def test_traffic_that_shifts_suddenly_gets_no_second_burst() -> None:
    fleet = SmallFleet()
    fleet.forwarded_rate({0: 20}, 10.0)
    assert fleet.forwarded_rate({1: 20}, 10.0) <= 1.5 * SMALL.refill


def test_usage_before_a_restart_is_counted_by_the_peers() -> None:
    fleet = SmallFleet()
    fleet.forwarded_rate({0: 20, 1: 20}, 10.0)
    before_restart = fleet.drivers[0]
    fleet.drivers[0] = PolicyDriver(settings(me=0), seed=99)
    fleet.drivers[0].now = before_restart.now
    assert fleet.forwarded_rate({0: 20, 1: 20}, 10.0) <= 1.6 * SMALL.refill


def test_a_restarted_peer_is_sent_all_usage_again() -> None:
    """It has lost what it knew, and without new usage nobody would send it."""
    fleet = SmallFleet()
    fleet.forwarded_rate({0: 20}, 10.0)
    fleet.pass_time(5 * 0.1)
    reporter = fleet.drivers[0].policy
    assert not reporter.quota.unsent
    fleet.drivers[1] = PolicyDriver(settings(me=1), seed=99)
    fleet.drivers[1].now = fleet.drivers[0].now
    for _ in range(12):
        fleet.pass_time(0.1)
    (account,) = fleet.drivers[1].policy.quota.accounts.values()
    (reported,) = account.reported.values()
    assert reported.spent == pytest.approx(reporter.quota.accounts[1].own.spent, abs=0.2)
    assert reported.spent > 1.0


def test_former_incarnations_are_dropped_when_their_usage_is_refilled() -> None:
    fleet = SmallFleet()
    for n in range(6):
        fleet.drivers[1] = PolicyDriver(settings(me=1), seed=100 + n)
        fleet.drivers[1].now = fleet.drivers[0].now
        fleet.forwarded_rate({1: 20}, 2.0)
        fleet.pass_time(8.0)
    fleet.forwarded_rate({0: 1, 1: 20}, 1.0)
    assert len(fleet.drivers[0].policy.quota.accounts[1].reported) <= 2


def test_without_messages_each_gateway_forwards_at_most_its_own_quota() -> None:
    fleet = SmallFleet()
    fleet.partitioned = True
    fleet.forwarded_rate({0: 20, 1: 20, 2: 20}, 10.0)
    assert fleet.forwarded_rate({0: 20, 1: 20, 2: 20}, 20.0) <= 3.5 * SMALL.refill


def test_demand_is_sent_only_to_the_set_and_only_after_new_usage() -> None:
    driver = PolicyDriver(settings(me=0))
    driver.tick()
    driver.ask(plan="small", size=2)
    assert [message.peer for message in driver.tick(0.1)] == [1]
    assert driver.tick(0.1) == []


def test_usage_of_more_customers_than_fit_in_a_message_is_sent_in_turn() -> None:
    driver = PolicyDriver(settings(me=0))
    for customer in range(50):
        driver.ask(plan="small", customer=customer)
    reported: set[int] = set()
    for _ in range(10):
        for message in driver.tick(0.1):
            assert len(message.data) <= 256
            if message.peer == 1:
                reported |= {
                    entry[0] for entry in USAGE_FORMAT.iter_unpack(message.data[HEARTBEAT_FORMAT.size :])
                }
    assert reported == set(range(50))


def test_usage_of_an_unknown_customer_counts_when_it_arrives() -> None:
    driver = PolicyDriver(settings(me=0))
    usage = USAGE_FORMAT.pack(5, plan_number("small"), 3, 0, 20_000, 1000)
    heartbeat = HEARTBEAT_FORMAT.pack(b"B", 9, 1, 30.0, 0, 1.0, 1.0)
    driver.do(interface.PeerMessage(1, heartbeat + usage))
    assert not sends([a for _ in range(3) for a in driver.ask(plan="small", customer=5)])


def test_malformed_usage_is_dropped() -> None:
    driver = PolicyDriver(settings(me=0))
    heartbeat = HEARTBEAT_FORMAT.pack(b"B", 9, 1, 30.0, 0, 1.0, 1.0)
    driver.do(interface.PeerMessage(1, heartbeat + USAGE_FORMAT.pack(5, 200, 3, 0, 1, 1)))
    driver.do(
        interface.PeerMessage(2, heartbeat + USAGE_FORMAT.pack(5, plan_number("small"), 77, 0, 1, 1) + b"x")
    )
    assert driver.policy.quota.accounts == {}


def test_accounts_without_recent_usage_are_dropped() -> None:
    driver = PolicyDriver()
    for customer in range(300):
        driver.ask(plan="small", customer=customer)
    driver.tick(1000.0)
    assert driver.policy.quota.accounts == {}


def test_actual_units_replace_the_estimate() -> None:
    driver = PolicyDriver(settings(me=0, fleet=1))
    request = interface.Request(900, "pure", "small", 1, driver.now + 4, 3.0, 1, 0)
    (send,) = sends(driver.do(request))
    spent = driver.policy.quota.accounts[1].spent()
    driver.do(interface.Outcome(900, 0, send.server, interface.Code.OK, 0.1, True, actual=4.0))
    assert driver.policy.quota.accounts[1].spent() == pytest.approx(spent + 1.0)


@pytest.mark.parametrize("restarts", [False, True])
def test_the_hard_limit_holds_without_peers_and_through_restarts(restarts: bool) -> None:
    """Three gateways without messages, some killed and restarted, against one common limit."""
    plan, rng = PLANS["capped"], random.Random(5)
    drivers = [PolicyDriver(settings(me=n), seed=n) for n in range(3)]
    units_left, now, used = plan.cap_depth, drivers[0].now, 0
    for step in range(3000):
        now += 0.02
        units_left = min(plan.cap_depth, units_left + 0.02 * plan.cap_rate)
        n = rng.randrange(3)
        if restarts and step % 250 == 0:
            drivers[n] = PolicyDriver(settings(me=n), seed=step)
        driver = drivers[n]
        driver.now = now
        if restarts and step % 250 == 0:
            driver.policy.quota.began = now
        for send in sends(driver.ask(plan="capped")):
            units_left -= 1.0
            used += 1
            driver.end(send, interface.Code.OK)
        assert units_left >= -plan.cap_slack
    assert used > 0.8 * plan.cap_rate * 60.0  # most of the limit is used


def test_without_peers_each_gateway_gets_an_even_part_of_the_slots() -> None:
    driver = PolicyDriver(settings(fleet=2, limits=dataclasses.replace(LIMITS, peers=False)))
    first = [driver.ask(plan="narrow", size=2)[0] for _ in range(4)]
    assert [type(a) for a in first] == [interface.Send, interface.Send, interface.Refuse, interface.Refuse]
    assert isinstance(first[0], interface.Send)
    driver.end(first[0], interface.Code.OK)
    assert sends(driver.ask(plan="narrow", size=2))


def test_admissions_beyond_the_quota_are_evenly_spaced() -> None:
    """With constant demand far beyond the quota the gaps between admissions differ little."""
    quota = Quota(settings(me=0, fleet=1), random.Random(1))
    admitted_at = []
    for n in range(2000):
        account = quota.get_account(n * 0.1, 1, SMALL, 1, 0)
        account.own.demand += 1.0 / account.window
        if quota.admits(account, 1.0):
            account.spend(1.0)
            admitted_at.append(n * 0.1)
    gaps = [b - a for a, b in itertools.pairwise(admitted_at[20:])]
    assert max(gaps) <= 3 * sum(gaps) / len(gaps)


def test_an_unknown_plan_has_no_quota() -> None:
    driver = PolicyDriver()
    assert len(sends([a for _ in range(10) for a in driver.ask(plan="stranger")])) == 10
    assert driver.tick()


@pytest.mark.parametrize(("over_cost", "served"), [(0.0, True), (0.5, False)])
def test_usage_beyond_the_quota_needs_a_profit_and_an_idle_share(over_cost: float, served: bool) -> None:
    plan = interface.Plan("pays", refill=1.0, depth=2.0, over_worth=0.3, over_cost=over_cost)
    configured = dataclasses.replace(settings(me=0, fleet=1), plans={"pays": plan})
    admitted = {True: 0, False: 0}
    for idle in (True, False):
        driver = PolicyDriver(configured)
        driver.ask(plan="free", customer=2, size=1)  # one request is in flight
        for _ in range(40):
            driver.now += 0.01
            sent = sends(driver.ask(plan="pays", size=1))
            admitted[idle] += len(sent)
            for send in sent:
                driver.end(send, interface.Code.OK)
            driver.policy.shares.share = 100.0 if idle else 1.5
    assert (admitted[True] == 40) == served
    assert admitted[False] < 10


def test_an_empty_set_counts_as_one_gateway() -> None:
    driver = PolicyDriver()
    driver.ask(plan="capped", size=0)
    driver.now += 1.0
    assert sends(driver.ask(plan="capped", size=0))
    assert driver.policy.quota.accounts[1].size == 1
