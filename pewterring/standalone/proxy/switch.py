"""New settings for a module that runs: what follows from them changes, what it holds and knows lives on.

Nothing is decided here. A gatekeeper is built from the new settings, and what it reckoned from them goes into
the running one: which of its values follow from settings alone is written down once, in FOLLOWS.
"""

from collections.abc import Iterable

from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import CustomerAccount, GatewayPolicy

# By part of the module: what follows from the settings and nothing else.
FOLLOWS = {
    "ceiling": ("update_samples", "step"),
    "shares": ("fleet", "sparse", "lease"),
    "pool": ("settings", "unseen", "sparse", "weight", "decay_s"),
    "quota": ("settings", "sparse", "plans"),
    "": ("settings", "intake", "sparse", "tick_s", "check_s", "wait_s"),
}


def renew(keeper: GatewayPolicy, now: float, settings: i.Settings) -> None:
    """Between two events. Requests held keep the class and the plan that they came with."""
    new = GatewayPolicy(settings, 0)
    for part, names in FOLLOWS.items():
        follow(getattr(keeper, part) if part else keeper, getattr(new, part) if part else new, names)
    # Customers met from now on start with no part of a hard ceiling: the switch grants nothing anew.
    keeper.quota.began = now
    for c in keeper.quota.accounts.values():
        plan = settings.plans.get(c.plan.name)
        if plan and plan != c.plan:
            c.advance(now)
            follow(c, CustomerAccount(now, plan, c.size, c.first, c.owner), ("plan", "window", "idle_s"))
            c.own_cap, c.shared_cap = (
                min(c.own_cap, plan.cap_depth / 2 / c.size),
                min(c.shared_cap, plan.cap_depth / 2),
            )
    # The list is the same, but what of it is near may not be.
    keeper.handle(now, i.ServerList(i.ListForm.CHANGES))


def follow(old: object, new: object, names: Iterable[str]) -> None:
    for name in names:
        setattr(old, name, getattr(new, name))
