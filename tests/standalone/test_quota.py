"""The customer's quota: share of the burst, chance by summed demand, news of peers, hard ceilings."""

import dataclasses
import itertools
import random

import pytest

from pewterring.standalone.peer_messages import BEAT_FORM, USAGE_FORMAT, plan_number
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import Quota
from tests.standalone.helpers import LIMITS, PLANS, Drive, sends, settings

SMALL = PLANS["small"]


class Fleet:
    """Three gatekeepers whose mail passes at once, unless it is cut."""

    def __init__(self, plan: str = "small") -> None:
        self.all = [Drive(settings(me=n), seed=n) for n in range(3)]
        self.cut, self.plan, self.rng = False, PLANS[plan], random.Random(5)
        self.store, self.beyond = self.plan.depth, 0  # the one true store, and tries sent on without it

    def pass_time(self, past: float) -> None:
        for d in self.all:
            tells = d.tick(past)
            for t in tells if not self.cut else ():
                assert t.peer is not None
                other = self.all[t.peer].gatekeeper
                other.handle(d.now, interface.PeerMail(d.gatekeeper.s.me, t.data))

    def admitted(self, tries: dict[int, int], seconds: float, size: int = 3, unevenly: bool = False) -> float:
        """Units a second sent on of so many tries a second at each gatekeeper."""
        count, steps = 0, round(seconds / 0.1)
        for _ in range(steps):
            for n, rate in tries.items():
                d = self.all[n]
                for _ in range(self.rng.randrange(1 + rate // 5) if unevenly else rate // 10):
                    for send in sends(d.ask(plan=self.plan.name, size=size)):
                        count += 1
                        self.beyond += self.store < 1
                        self.store -= self.store >= 1  # beyond the quota a try takes nothing
                        d.end(send, interface.Code.OK)
            self.pass_time(0.1)
            self.store = min(self.plan.depth, self.store + 0.1 * self.plan.refill)
        return count / seconds


def test_within_the_quota_nothing_is_refused() -> None:
    d = Drive()
    for _ in range(40):
        d.now += 2.0
        (send,) = sends(d.ask(plan="small", size=2))
        d.end(send, interface.Code.OK)


@pytest.mark.parametrize("tries", [{0: 20}, {0: 10, 1: 10, 2: 10}, {0: 30, 1: 10}])
def test_heavy_demand_gets_the_quota_however_it_enters(tries: dict[int, int]) -> None:
    fleet = Fleet()
    fleet.admitted(tries, 5.0)
    assert 0.7 * SMALL.refill <= fleet.admitted(tries, 40.0) <= 1.4 * SMALL.refill


@pytest.mark.parametrize(("tries", "size"), [({0: 40}, 1), ({0: 40}, 3), ({0: 20, 1: 20, 2: 20}, 3)])
def test_little_is_sent_on_while_the_store_is_empty(tries: dict[int, int], size: int) -> None:
    """Where the chance let the whole refill through at an empty store, many came a little too early."""
    fleet = Fleet("busy")
    sent = 60 * fleet.admitted(tries, 60.0, size, unevenly=True)
    assert fleet.beyond <= 0.05 * sent
    assert sent >= 0.95 * (fleet.plan.depth + 60 * fleet.plan.refill)


def test_traffic_that_shifts_at_a_stroke_grants_no_second_burst() -> None:
    fleet = Fleet()
    fleet.admitted({0: 20}, 10.0)
    assert fleet.admitted({1: 20}, 10.0) <= 1.5 * SMALL.refill


def test_a_restart_is_counted_by_the_peers() -> None:
    fleet = Fleet()
    fleet.admitted({0: 20, 1: 20}, 10.0)
    former = fleet.all[0]
    fleet.all[0] = Drive(settings(me=0), seed=99)
    fleet.all[0].now = former.now
    assert fleet.admitted({0: 20, 1: 20}, 10.0) <= 1.6 * SMALL.refill


def test_a_peer_s_new_life_is_told_all_again() -> None:
    """What its former life knew is gone, and without new use nobody would tell it."""
    fleet = Fleet()
    fleet.admitted({0: 20}, 10.0)
    fleet.pass_time(5 * 0.1)
    knows = fleet.all[0].gatekeeper
    assert not knows.quota.unsent
    fleet.all[1] = Drive(settings(me=1), seed=99)
    fleet.all[1].now = fleet.all[0].now
    for _ in range(12):
        fleet.pass_time(0.1)
    (customer,) = fleet.all[1].gatekeeper.quota.customers.values()
    (told,) = customer.reported.values()
    assert told.spent == pytest.approx(knows.quota.customers[1].own.spent, abs=0.2)
    assert told.spent > 1.0


def test_former_lives_are_let_go_of_when_their_use_is_refilled() -> None:
    fleet = Fleet()
    for n in range(6):
        fleet.all[1] = Drive(settings(me=1), seed=100 + n)
        fleet.all[1].now = fleet.all[0].now
        fleet.admitted({1: 20}, 2.0)
        fleet.pass_time(8.0)
    fleet.admitted({0: 1, 1: 20}, 1.0)
    assert len(fleet.all[0].gatekeeper.quota.customers[1].reported) <= 2


def test_lost_mail_costs_no_more_than_a_share_each() -> None:
    fleet = Fleet()
    fleet.cut = True
    fleet.admitted({0: 20, 1: 20, 2: 20}, 10.0)
    assert fleet.admitted({0: 20, 1: 20, 2: 20}, 20.0) <= 3.5 * SMALL.refill


def test_demand_is_told_only_to_the_set_and_only_on_new_use() -> None:
    d = Drive(settings(me=0))
    d.tick()
    d.ask(plan="small", size=2)
    assert [t.peer for t in d.tick(0.1)] == [1]
    assert d.tick(0.1) == []


def test_more_customers_than_one_message_holds_are_told_in_turn() -> None:
    d = Drive(settings(me=0))
    for customer in range(50):
        d.ask(plan="small", customer=customer)
    told: set[int] = set()
    for _ in range(10):
        for t in d.tick(0.1):
            assert len(t.data) <= 256
            if t.peer == 1:
                told |= {item[0] for item in USAGE_FORMAT.iter_unpack(t.data[BEAT_FORM.size :])}
    assert told == set(range(50))


def test_news_of_a_stranger_count_when_it_comes() -> None:
    d = Drive(settings(me=0))
    news = USAGE_FORMAT.pack(5, plan_number("small"), 3, 0, 20_000, 1000)
    beat = BEAT_FORM.pack(b"B", 9, 1, 30.0, 0, 1.0, 1.0)
    d.do(interface.PeerMail(1, beat + news))
    assert not sends([a for _ in range(3) for a in d.ask(plan="small", customer=5)])


def test_wrong_news_are_dropped() -> None:
    d = Drive(settings(me=0))
    beat = BEAT_FORM.pack(b"B", 9, 1, 30.0, 0, 1.0, 1.0)
    d.do(interface.PeerMail(1, beat + USAGE_FORMAT.pack(5, 200, 3, 0, 1, 1)))
    d.do(interface.PeerMail(2, beat + USAGE_FORMAT.pack(5, plan_number("small"), 77, 0, 1, 1) + b"x"))
    assert d.gatekeeper.quota.customers == {}


def test_memory_is_bounded_by_what_is_in_use() -> None:
    d = Drive()
    for customer in range(300):
        d.ask(plan="small", customer=customer)
    d.tick(1000.0)
    assert d.gatekeeper.quota.customers == {}


def test_several_units_and_settled_ones() -> None:
    d = Drive(settings(me=0, fleet=1))
    r = interface.Request(900, "pure", "small", 1, d.now + 4, 3.0, 1, 0)
    (send,) = sends(d.do(r))
    spent = d.gatekeeper.quota.customers[1].spent()
    d.do(interface.Outcome(900, 0, send.server, interface.Code.OK, 0.1, True, actual=4.0))
    assert d.gatekeeper.quota.customers[1].spent() == pytest.approx(spent + 1.0)


@pytest.mark.parametrize("restarts", [False, True])
def test_hard_ceiling_holds_alone_and_through_restarts(restarts: bool) -> None:
    """Three gatekeepers that never hear each other, some killed and started anew, against the one store."""
    plan, rng = PLANS["capped"], random.Random(5)
    all_ = [Drive(settings(me=n), seed=n) for n in range(3)]
    store, now, used = plan.cap_depth, all_[0].now, 0
    for step in range(3000):
        now += 0.02
        store = min(plan.cap_depth, store + 0.02 * plan.cap_rate)
        n = rng.randrange(3)
        if restarts and step % 250 == 0:
            all_[n] = Drive(settings(me=n), seed=step)
        d = all_[n]
        d.now = now
        if restarts and step % 250 == 0:
            d.gatekeeper.quota.began = now
        for send in sends(d.ask(plan="capped")):
            store -= 1.0
            used += 1
            d.end(send, interface.Code.OK)
        assert store >= -plan.cap_slack
    assert used > 0.8 * plan.cap_rate * 60.0  # and it is used


def test_parallel_quota_keeps_an_even_part_each() -> None:
    """With no peers to ask."""
    d = Drive(settings(fleet=2, limits=dataclasses.replace(LIMITS, peers=False)))
    first = [d.ask(plan="narrow", size=2)[0] for _ in range(4)]
    assert [type(a) for a in first] == [interface.Send, interface.Send, interface.Refuse, interface.Refuse]
    assert isinstance(first[0], interface.Send)
    d.end(first[0], interface.Code.OK)
    assert sends(d.ask(plan="narrow", size=2))


def test_the_chance_is_dealt_evenly() -> None:
    """Constant demand far beyond the quota: gaps between admissions differ little."""
    q = Quota(settings(me=0, fleet=1), random.Random(1))
    times = []
    for n in range(2000):
        c = q.get_account(n * 0.1, 1, SMALL, 1, 0)
        c.own.demand += 1.0 / c.window
        if q.admits(c, 1.0):
            c.spend(1.0)
            times.append(n * 0.1)
    gaps = [b - a for a, b in itertools.pairwise(times[20:])]
    assert max(gaps) <= 3 * sum(gaps) / len(gaps)


def test_unknown_plan_has_no_quota() -> None:
    d = Drive()
    assert len(sends([a for _ in range(10) for a in d.ask(plan="stranger")])) == 10
    assert d.tick()


@pytest.mark.parametrize(("over_cost", "served"), [(0.0, True), (0.5, False)])
def test_use_beyond_the_quota_only_where_it_pays_and_the_share_is_idle(
    over_cost: float, served: bool
) -> None:
    plan = interface.Plan("pays", refill=1.0, depth=2.0, over_worth=0.3, over_cost=over_cost)
    setup = dataclasses.replace(settings(me=0, fleet=1), plans={"pays": plan})
    admitted = {True: 0, False: 0}
    for idle in (True, False):
        d = Drive(setup)
        d.ask(plan="free", customer=2, size=1)  # one is out
        for _ in range(40):
            d.now += 0.01
            sent = sends(d.ask(plan="pays", size=1))
            admitted[idle] += len(sent)
            for send in sent:
                d.end(send, interface.Code.OK)
            d.gatekeeper.shares.share = 100.0 if idle else 1.5
    assert (admitted[True] == 40) == served
    assert admitted[False] < 10


def test_a_set_of_nobody_counts_as_one() -> None:
    d = Drive()
    d.ask(plan="capped", size=0)
    d.now += 1.0
    assert sends(d.ask(plan="capped", size=0))
    assert d.gatekeeper.quota.customers[1].size == 1
