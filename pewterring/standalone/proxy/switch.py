"""Applies new settings to a running policy and keeps its requests and learned state.

A second policy is built from the new settings, and the values that it derived from them are copied to the
running one. DERIVED_ATTRIBUTES lists the values that depend on settings alone.
"""

from collections.abc import Iterable

from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import CustomerAccount, GatewayPolicy

# By component of the policy ("" is the policy itself): attributes derived from the settings alone.
DERIVED_ATTRIBUTES = {
    "ceiling": ("update_samples", "step"),
    "shares": ("fleet", "sparse", "lease"),
    "pool": ("settings", "unseen", "sparse", "weight", "decay_s"),
    "quota": ("settings", "sparse", "plans"),
    "": ("settings", "intake", "sparse", "tick_s", "check_s", "wait_s"),
}


def renew(policy: GatewayPolicy, now: float, settings: interface.Settings) -> None:
    """Must be called between two events. Requests in flight keep the class and plan they arrived with."""
    new = GatewayPolicy(settings, 0)
    for component, names in DERIVED_ATTRIBUTES.items():
        copy_attributes(
            getattr(policy, component) if component else policy,
            getattr(new, component) if component else new,
            names,
        )
    # New accounts start without a share of a hard limit, so that new settings do not grant it twice.
    policy.quota.began = now
    for account in policy.quota.accounts.values():
        plan = settings.plans.get(account.plan.name)
        if plan and plan != account.plan:
            account.advance(now)
            copy_attributes(
                account,
                CustomerAccount(now, plan, account.size, account.first, account.owner),
                ("plan", "window", "idle_s"),
            )
            account.own_cap, account.shared_cap = (
                min(account.own_cap, plan.cap_depth / 2 / account.size),
                min(account.shared_cap, plan.cap_depth / 2),
            )
    # The worker list is unchanged, but which workers are near may have changed.
    policy.handle(now, interface.ServerList(interface.ListForm.CHANGES))


def copy_attributes(target: object, source: object, names: Iterable[str]) -> None:
    for name in names:
        setattr(target, name, getattr(source, name))
