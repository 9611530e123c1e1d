"""New settings in a running gatekeeper: what is held, out and known lives on, in both directions."""

import asyncio
import copy
import dataclasses
import json
from pathlib import Path
from typing import Any

import pytest

from pewterring.standalone.config import ConfigError, load
from pewterring.standalone.http.messages import Request
from pewterring.standalone.peer_messages import plan_number
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import TICK, Gatekeeper
from pewterring.standalone.proxy.service import Service
from pewterring.standalone.proxy.switch import FOLLOWS, renew
from tests.standalone.helpers import CLASSES, PLANS, Drive, sends, settings
from tests.standalone.stand_ins import OK, Caller, Quiet, StandIn, Talk, asking, entry, listing, run, until
from tests.standalone.test_service import SETTINGS, configured

ONCE = {"name": "once", "objective": 1_200_000_000, "deadline": 4_000_000_000, "effect": "side_effect"}
OLD: dict[str, Any] = SETTINGS | {
    "me": 0,
    "profiles": [*SETTINGS["profiles"], ONCE],
    "tiers_of_service": [{"name": "free"}, {"name": "small", "refill": 0.01, "depth": 4.0}],
}
# Another shape: no second copies, reports in answers, no sizes, units settled afterwards, caps on slots.
NEW: dict[str, Any] = copy.deepcopy(OLD) | {
    "fleet_size": 60, "weight_kind": "silent", "report": {"source": "piggyback", "fields": ["throughput"]},
    "tiers_of_service": [{"name": "free", "parallel": 3},
                         {"name": "small", "refill": 0.01, "depth": 6.0}],
}  # fmt: skip
NEW["policy_limits"] = OLD["policy_limits"] | {"may_duplicate": False}
NEW["specifics"] = OLD["specifics"] | {"post_paid": True}
NEW["guarantees"] = OLD["guarantees"] | {"fall_multiple": 2.0}


def held(talk: Talk, request: Request) -> None:
    return None


def settled(gatekeeper: Gatekeeper) -> dict[str, object]:
    return {
        f"{part}.{name}": getattr(getattr(gatekeeper, part) if part else gatekeeper, name)
        for part, names in FOLLOWS.items()
        for name in names
    }


def test_what_follows_from_the_settings_is_all_that_a_new_one_would_reckon() -> None:
    small, large = settings(fleet=3), settings(fleet=60)
    for old, new in ((small, large), (large, small)):
        gatekeeper = Drive(old).gatekeeper
        renew(gatekeeper, 101.0, new)
        assert settled(gatekeeper) == settled(Drive(new).gatekeeper)
        assert gatekeeper.fleet.subset == Drive(new).gatekeeper.fleet.subset


def test_use_attempts_and_health_live_on_and_no_ceiling_is_granted_anew() -> None:
    d = Drive()
    d.serve(20)
    d.ask(plan="small")
    out = d.sent("once")
    capped = sends(d.ask(plan="capped", customer=9))
    gatekeeper = d.gatekeeper
    spent, mean, nodes = (
        gatekeeper.quota.customers[1].own.spent,
        gatekeeper.ceiling.mean["pure"],
        gatekeeper.fleet.nodes,
    )
    for fleet in (60, 3, 60, 3):
        renew(gatekeeper, d.now, settings(fleet=fleet))
        assert gatekeeper.quota.customers[1].own.spent == spent
        assert gatekeeper.ceiling.mean["pure"] == mean
        assert gatekeeper.fleet.nodes is nodes
        assert (out.id, 0) in gatekeeper.flying
        assert gatekeeper.out == 2 + len(capped)
        for c in gatekeeper.quota.customers.values():
            assert c.cap <= c.plan.cap_depth / 2 / c.size
            assert c.pool <= c.plan.cap_depth / 2
    assert gatekeeper.quota.get_account(d.now, 77, PLANS["capped"], 3, 0).cap == 0.0
    assert d.end(out, interface.Code.OK) == []
    assert d.tick(1.0)


def test_a_request_is_answered_under_the_class_and_plan_that_it_came_with() -> None:
    d = Drive()
    send = d.sent("once")
    bare = interface.Settings(0, 3, "a", {"pure": CLASSES["pure"]}, {}, mail_per_s=60.0)
    renew(d.gatekeeper, d.now, bare)
    assert d.end(send, interface.Code.ABORTED, last=False) == [interface.Fail(send.id)]  # never sent twice
    d.do(interface.TimerDue(TICK))


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        ("guarantees.cold_share", 1.5, "guarantees.cold_share cannot be 1.5: 0 to 1 is allowed"),
        ("specifics.mail_per_s", -1, "specifics.mail_per_s cannot be -1: 0 or more is allowed"),
        ("policy_limits.may_duplicate", "maybe", "policy_limits.may_duplicate cannot be 'maybe'"),
        ("policy_limits.may_duplicte", False, "did you mean policy_limits.may_duplicate"),
        ("tiers_of_service.1.paralel", 2, "did you mean tiers_of_service.1.parallel"),
        ("tiers_of_service.1.depth", 0, "tiers_of_service.1.depth cannot be 0 beside a refill"),
        ("profiles.0.deadline", 5, "profiles.0.deadline cannot be"),
        ("fleet_size", 0, "fleet_size cannot be 0: 1 or more is allowed"),
    ],
)
def test_a_file_that_cannot_be_used_says_which_key_and_what_is_allowed(
    tmp_path: Path, path: str, value: object, words: str
) -> None:
    tree = copy.deepcopy(OLD)
    here: Any = tree
    *steps, last = path.split(".")
    for step in steps:
        here = here[int(step) if step.isdigit() else step]
    here.pop("may_duplicate", None) if "duplicte" in last else None
    here[last] = value
    with pytest.raises(ConfigError) as error:
        load(str(configured(tmp_path, settings=tree)), {}, strict=True)
    assert words in str(error.value)


def test_other_programs_settings_are_no_error(tmp_path: Path) -> None:
    tree = OLD | {"goal": {"whole": 0.7}, "prices": {"peer": 0.02}, "kinds": ["m"], "tick": 2_000_000}
    assert load(str(configured(tmp_path, settings=tree)), {}, strict=True).settings.fleet_size == 3


def test_the_switch_in_a_running_program_and_back_twice(tmp_path: Path) -> None:
    """Requests are out at each switch: every one is answered once, what must not run twice is not sent twice,
    and a customer's use goes with it.
    """

    async def test() -> None:
        async with StandIn(held) as worker:
            configured(tmp_path, settings=OLD)
            path, log = tmp_path / "config.json", Quiet()
            service = Service(load(str(path), {}), log, read_again=lambda: load(str(path), {}, strict=True))
            service.gateway.remembered(listing(entry("s-1", worker.address)))
            await service.start()
            assert service.listener is not None
            assert isinstance(service.module, Gatekeeper)
            gatekeeper, total = service.module, 0
            await until(lambda: service.gateway.ready and not service.gateway.inbox)
            gatekeeper.ceiling.limit = 4000.0  # quotas alone are to decide here
            gatekeeper.shares.divide(service.loop.time(), 4000.0)
            # Of a burst of four three are sent on, a tenth is kept back; of six then two more.
            for tree, sent in ((NEW, 3), (OLD, 2), (NEW, 0), (OLD, 0)):
                callers = [await Caller.to(service.listener.address) for _ in range(4)]
                for n, caller in enumerate(callers):
                    method, cls = (b"POST", b"once") if n % 2 else (b"GET", b"pure")
                    quota = b"units=1,spread=1,first=0"
                    caller.write(asking(method, X_Class=cls, Plan=b"small", Quota_Info=quota))
                total += sent
                await until(lambda want=total: len(worker.requests) == want)  # type: ignore[misc]
                await until(lambda: len(gatekeeper.flying) == len(gatekeeper.held))
                configured(tmp_path, settings=tree)
                service.reload()
                service.reload()  # two in a row
                done, nothing = log.lines[-2:]
                assert (done["event"], nothing["changed"]) == ("reloaded", []), done
                assert "plans" in str(done["settings"])
                assert "limits" in str(done["settings"])
                assert gatekeeper.s.limits.may_duplicate == (tree is OLD)
                path.write_text("{")
                service.reload()
                assert [line["event"] for line in log.lines[-1:]] == ["reload_failed"]
                for talk in worker.talks:
                    if talk.requests and not talk.ended:
                        talk.requests.clear()
                        talk.write(OK)
                statuses = [(await caller.answer()).status for caller in callers]
                assert statuses.count(200) == sent
                assert statuses.count(429) == 4 - sent
                for caller in callers:
                    caller.close()
                assert gatekeeper.quota.customers[0xB4D65521].own.spent == pytest.approx(total, abs=0.1)
            ids = [dict(r.headers)[b"x-request-id"] for r in worker.requests]
            assert len(ids) == len(set(ids)) == 5
            assert service.gateway.faults == 0
            assert not service.gateway.by_client
            service.close()

    run(test)


def test_a_stop_during_the_switch_answers_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with StandIn(held) as worker:
            configured(tmp_path, settings=OLD)
            path = str(tmp_path / "config.json")
            service = Service(load(path, {}), Quiet(), read_again=lambda: load(path, {}, strict=True))
            service.gateway.remembered(listing(entry("s-1", worker.address)))
            await service.start()
            assert service.listener is not None
            caller = await Caller.to(service.listener.address)
            caller.write(asking(Quota_Info=b"units=1,spread=1,first=0"))
            await until(lambda: worker.requests)
            configured(tmp_path, settings=NEW)
            ending = asyncio.ensure_future(service.end())
            await asyncio.sleep(0)
            service.reload()
            worker.talks[0].write(OK)
            assert (await caller.answer()).status == 200
            caller.close()
            await ending

    run(test)


def test_a_number_of_its_own_and_what_starts_need_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        configured(tmp_path, settings=OLD)
        path, log = str(tmp_path / "config.json"), Quiet()
        service = Service(load(path, {}), log, read_again=lambda: load(path, {}, strict=True))
        configured(tmp_path, settings=NEW | {"me": 2}, limits={"sockets": 99}, name="other")
        service.reload()
        assert log.lines[-1]["needs_restart"] == ["settings.me", "memory_mb", "name", "sockets"] or (
            log.lines[-1]["needs_restart"] == ["settings.me", "name", "sockets"]
        )
        assert service.config.settings.me == 0
        assert service.config.settings.fleet_size == 60
        configured(tmp_path, settings=OLD | {"fleet_size": 0})
        service.reload()
        assert log.lines[-1]["event"] == "reload_failed"
        assert "fleet_size" in json.dumps(log.lines[-1])
        service.pool.close()

    run(test)


def test_gatekeepers_that_have_switched_and_others_mean_the_same_plan() -> None:
    """Plans went by their place in the settings: one more in front, and a customer was booked on another."""
    more = {"first": interface.Plan("first", refill=1.0, depth=9.0), **PLANS}
    switched = Drive(dataclasses.replace(settings(me=1), plans=more))
    for _ in range(3):
        switched.ask(plan="busy")
    told = [t for t in switched.tick(0.2) if t.peer == 0]
    other = Drive(settings(me=0))
    for t in told:
        other.do(interface.PeerMail(1, t.data))
    assert other.gatekeeper.quota.customers[1].plan.name == "busy"
    assert other.gatekeeper.quota.customers[1].spent() == pytest.approx(1.0, abs=0.1)  # two are refilled
    assert len({plan_number(name) for name in more}) == len(more)
