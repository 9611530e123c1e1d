"""New settings in a running gateway: requests, attempts and knowledge are kept, in both directions."""

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
from pewterring.standalone.policy.decisions import TICK, GatewayPolicy
from pewterring.standalone.proxy.service import Service
from pewterring.standalone.proxy.switch import DERIVED_ATTRIBUTES, renew
from tests.standalone.helpers import CLASSES, PLANS, PolicyDriver, sends, settings
from tests.standalone.stand_ins import OK, Caller, Quiet, StandIn, Talk, asking, entry, listing, run, until
from tests.standalone.test_service import SETTINGS, configured

SIDE_EFFECT_CLASS = {
    "name": "once",
    "objective": 1_200_000_000,
    "deadline": 4_000_000_000,
    "effect": "side_effect",
}
OLD_SETTINGS: dict[str, Any] = SETTINGS | {
    "me": 0,
    "profiles": [*SETTINGS["profiles"], SIDE_EFFECT_CLASS],
    "tiers_of_service": [{"name": "free"}, {"name": "small", "refill": 0.01, "depth": 4.0}],
}
# Differs in many ways: no duplicates, load reports in answers, no ratings, actual units reported afterwards,
# limits on slots.
NEW_SETTINGS: dict[str, Any] = copy.deepcopy(OLD_SETTINGS) | {
    "fleet_size": 60, "weight_kind": "silent", "report": {"source": "piggyback", "fields": ["throughput"]},
    "tiers_of_service": [{"name": "free", "parallel": 3},
                         {"name": "small", "refill": 0.01, "depth": 6.0}],
}  # fmt: skip
NEW_SETTINGS["policy_limits"] = OLD_SETTINGS["policy_limits"] | {"may_duplicate": False}
NEW_SETTINGS["specifics"] = OLD_SETTINGS["specifics"] | {"post_paid": True}
NEW_SETTINGS["guarantees"] = OLD_SETTINGS["guarantees"] | {"fall_multiple": 2.0}


def leave_unanswered(talk: Talk, request: Request) -> None:
    return None


def derived_values(policy: GatewayPolicy) -> dict[str, object]:
    return {
        f"{component}.{name}": getattr(getattr(policy, component) if component else policy, name)
        for component, names in DERIVED_ATTRIBUTES.items()
        for name in names
    }


def test_values_derived_from_the_settings_equal_those_of_a_new_policy() -> None:
    small, large = settings(fleet=3), settings(fleet=60)
    for old, new in ((small, large), (large, small)):
        policy = PolicyDriver(old).policy
        renew(policy, 101.0, new)
        assert derived_values(policy) == derived_values(PolicyDriver(new).policy)
        assert policy.pool.subset == PolicyDriver(new).policy.pool.subset


def test_usage_attempts_and_health_are_kept_and_no_hard_limit_is_granted_anew() -> None:
    driver = PolicyDriver()
    driver.serve(20)
    driver.ask(plan="small")
    once = driver.sent("once")
    capped = sends(driver.ask(plan="capped", customer=9))
    policy = driver.policy
    spent, mean, nodes = (
        policy.quota.accounts[1].own.spent,
        policy.ceiling.mean["pure"],
        policy.pool.servers,
    )
    for fleet in (60, 3, 60, 3):
        renew(policy, driver.now, settings(fleet=fleet))
        assert policy.quota.accounts[1].own.spent == spent
        assert policy.ceiling.mean["pure"] == mean
        assert policy.pool.servers is nodes
        assert (once.id, 0) in policy.attempts
        assert policy.in_flight == 2 + len(capped)
        for account in policy.quota.accounts.values():
            assert account.own_cap <= account.plan.cap_depth / 2 / account.size
            assert account.shared_cap <= account.plan.cap_depth / 2
    assert policy.quota.get_account(driver.now, 77, PLANS["capped"], 3, 0).own_cap == 0.0
    assert driver.end(once, interface.Code.OK) == []
    assert driver.tick(1.0)


def test_a_request_keeps_the_class_and_plan_that_it_arrived_with() -> None:
    driver = PolicyDriver()
    send = driver.sent("once")
    reduced = interface.Settings(0, 3, "a", {"pure": CLASSES["pure"]}, {}, mail_per_s=60.0)
    renew(driver.policy, driver.now, reduced)
    # A request with side effects is never sent twice.
    assert driver.end(send, interface.Code.ABORTED, last=False) == [interface.Fail(send.id)]
    driver.do(interface.TimerDue(TICK))


@pytest.mark.parametrize(
    ("path", "value", "expected"),
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
def test_an_unusable_file_names_the_key_and_the_allowed_values(
    tmp_path: Path, path: str, value: object, expected: str
) -> None:
    document = copy.deepcopy(OLD_SETTINGS)
    node: Any = document
    *steps, key = path.split(".")
    for step in steps:
        node = node[int(step) if step.isdigit() else step]
    node.pop("may_duplicate", None) if "duplicte" in key else None
    node[key] = value
    with pytest.raises(ConfigError) as error:
        load(str(configured(tmp_path, settings=document)), {}, strict=True)
    assert expected in str(error.value)


def test_settings_of_other_programs_are_accepted(tmp_path: Path) -> None:
    document = OLD_SETTINGS | {
        "goal": {"whole": 0.7},
        "prices": {"peer": 0.02},
        "kinds": ["m"],
        "tick": 2_000_000,
    }
    assert load(str(configured(tmp_path, settings=document)), {}, strict=True).settings.fleet_size == 3


def test_a_running_program_reloads_its_settings_back_and_forth(tmp_path: Path) -> None:
    """Requests are in flight at each reload: each is answered once, none that must not run twice is sent
    twice, and the customer's usage is kept.
    """

    async def test() -> None:
        async with StandIn(leave_unanswered) as worker:
            configured(tmp_path, settings=OLD_SETTINGS)
            path, log = tmp_path / "config.json", Quiet()
            service = Service(load(str(path), {}), log, read_again=lambda: load(str(path), {}, strict=True))
            service.gateway.remembered(listing(entry("s-1", worker.address)))
            await service.start()
            assert service.listener is not None
            assert isinstance(service.policy, GatewayPolicy)
            policy, total = service.policy, 0
            await until(lambda: service.gateway.ready and not service.gateway.inbox)
            policy.ceiling.limit = 4000.0  # so that only quotas decide
            policy.shares.update_share(service.loop.time(), 4000.0)
            # Of a burst of four units three are forwarded, as a tenth is kept back; of six then two more.
            for document, forwarded in (
                (NEW_SETTINGS, 3),
                (OLD_SETTINGS, 2),
                (NEW_SETTINGS, 0),
                (OLD_SETTINGS, 0),
            ):
                callers = [await Caller.to(service.listener.address) for _ in range(4)]
                for n, caller in enumerate(callers):
                    method, cls = (b"POST", b"once") if n % 2 else (b"GET", b"pure")
                    quota = b"units=1,spread=1,first=0"
                    caller.write(asking(method, X_Class=cls, Plan=b"small", Quota_Info=quota))
                total += forwarded
                await until(lambda want=total: len(worker.requests) == want)  # type: ignore[misc]
                await until(lambda: len(policy.attempts) == len(policy.requests))
                configured(tmp_path, settings=document)
                service.reload()
                service.reload()  # two in a row
                reloaded, unchanged = log.lines[-2:]
                assert (reloaded["event"], unchanged["changed"]) == ("reloaded", []), reloaded
                assert "plans" in str(reloaded["settings"])
                assert "limits" in str(reloaded["settings"])
                assert policy.settings.limits.may_duplicate == (document is OLD_SETTINGS)
                path.write_text("{")
                service.reload()
                assert [line["event"] for line in log.lines[-1:]] == ["reload_failed"]
                for talk in worker.talks:
                    if talk.requests and not talk.ended:
                        talk.requests.clear()
                        talk.write(OK)
                statuses = [(await caller.answer()).status for caller in callers]
                assert statuses.count(200) == forwarded
                assert statuses.count(429) == 4 - forwarded
                for caller in callers:
                    caller.close()
                assert policy.quota.accounts[0xB4D65521].own.spent == pytest.approx(total, abs=0.1)
            ids = [dict(r.headers)[b"x-request-id"] for r in worker.requests]
            assert len(ids) == len(set(ids)) == 5
            assert service.gateway.faults == 0
            assert not service.gateway.by_client
            service.close()

    run(test)


def test_a_stop_during_a_reload_still_answers_all_requests(tmp_path: Path) -> None:
    async def test() -> None:
        async with StandIn(leave_unanswered) as worker:
            configured(tmp_path, settings=OLD_SETTINGS)
            path = str(tmp_path / "config.json")
            service = Service(load(path, {}), Quiet(), read_again=lambda: load(path, {}, strict=True))
            service.gateway.remembered(listing(entry("s-1", worker.address)))
            await service.start()
            assert service.listener is not None
            caller = await Caller.to(service.listener.address)
            caller.write(asking(Quota_Info=b"units=1,spread=1,first=0"))
            await until(lambda: worker.requests)
            configured(tmp_path, settings=NEW_SETTINGS)
            ending = asyncio.ensure_future(service.end())
            await asyncio.sleep(0)
            service.reload()
            worker.talks[0].write(OK)
            assert (await caller.answer()).status == 200
            caller.close()
            await ending

    run(test)


def test_changes_of_the_own_number_and_of_limits_need_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        configured(tmp_path, settings=OLD_SETTINGS)
        path, log = str(tmp_path / "config.json"), Quiet()
        service = Service(load(path, {}), log, read_again=lambda: load(path, {}, strict=True))
        configured(tmp_path, settings=NEW_SETTINGS | {"me": 2}, limits={"sockets": 99}, name="other")
        service.reload()
        assert log.lines[-1]["needs_restart"] == ["settings.me", "memory_mb", "name", "sockets"] or (
            log.lines[-1]["needs_restart"] == ["settings.me", "name", "sockets"]
        )
        assert service.config.settings.me == 0
        assert service.config.settings.fleet_size == 60
        configured(tmp_path, settings=OLD_SETTINGS | {"fleet_size": 0})
        service.reload()
        assert log.lines[-1]["event"] == "reload_failed"
        assert "fleet_size" in json.dumps(log.lines[-1])
        service.pool.close()

    run(test)


def test_gateways_with_old_and_new_settings_mean_the_same_plan() -> None:
    """Plans used to be numbered by their position: with one more in front usage counted for another plan."""
    more_plans = {"first": interface.Plan("first", refill=1.0, depth=9.0), **PLANS}
    switched = PolicyDriver(dataclasses.replace(settings(me=1), plans=more_plans))
    for _ in range(3):
        switched.ask(plan="busy")
    messages = [message for message in switched.tick(0.2) if message.peer == 0]
    other = PolicyDriver(settings(me=0))
    for message in messages:
        other.do(interface.PeerMessage(1, message.data))
    assert other.policy.quota.accounts[1].plan.name == "busy"
    # Two of three units are refilled.
    assert other.policy.quota.accounts[1].spent() == pytest.approx(1.0, abs=0.1)
    assert len({plan_number(name) for name in more_plans}) == len(more_plans)
