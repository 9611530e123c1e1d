"""New settings for a module that runs: what follows from them changes, what it holds and knows lives on.

Nothing is decided here. A gatekeeper is built from the new settings, and what it reckoned from them goes into
the running one: which of its values follow from settings alone is written down once, in FOLLOWS.
"""

from pewterring import interface as i
from pewterring.choice import Customer, Gatekeeper

# By part of the module: what follows from the settings and nothing else.
FOLLOWS = {
    "ceiling": ("batch", "smooth"),
    "shares": ("fleet", "sparse", "lease"),
    "fleet": ("s", "unseen", "sparse", "sample", "forget_s"),
    "quota": ("s", "sparse", "plans"),
    "": ("s", "mail", "sparse", "tick_s", "look_s", "wait_s"),
}


def renew(keeper: Gatekeeper, now: float, settings: i.Settings) -> None:
    """Between two events. Requests held keep the class and the plan that they came with."""
    new = Gatekeeper(settings, 0)
    for part, names in FOLLOWS.items():
        old_part = getattr(keeper, part) if part else keeper
        new_part = getattr(new, part) if part else new
        for name in names:
            setattr(old_part, name, getattr(new_part, name))
    # Customers met from now on start with no part of a hard ceiling: the switch grants nothing anew.
    keeper.quota.began = now
    for id, c in keeper.quota.customers.items():
        plan = settings.plans.get(c.plan.name)
        if plan and plan != c.plan:
            keeper.quota.customers[id] = renewed(c, now, plan)
    keeper.quota.fresh = {id: keeper.quota.customers[id] for id in keeper.quota.fresh}
    # The list is the same, but what of it is near may not be.
    keeper.handle(now, i.ServerList(i.ListForm.CHANGES))


def renewed(old: Customer, now: float, plan: i.Plan) -> Customer:
    """The same customer under a plan of the same name: its use, its slots and what is left of its parts."""
    old.pass_time(now)
    new = Customer(now, plan, old.size, old.first, old.keeper)
    for name in ("own", "told", "sent", "dealt", "open", "unsaid", "grants"):
        setattr(new, name, getattr(old, name))
    new.cap, new.pool = min(old.cap, plan.cap_depth / 2 / old.size), min(old.pool, plan.cap_depth / 2)
    return new
