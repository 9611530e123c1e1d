"""Parts of a scenario as the decision module's interface has them."""

from pewterring.lab import schema
from pewterring.lab.workers import Worker
from pewterring.standalone.policy import interface as i

EFFECTS = {"safe": i.Effect.PURE, "keyed": i.Effect.TOKEN, "unsafe": i.Effect.SIDE_EFFECT}


def to_request_class(c: schema.RequestClass) -> i.RequestClass:
    """The class of requests that the scenario describes."""
    return i.RequestClass(
        c.name,
        c.aim_s,
        c.deadline_s,
        EFFECTS[c.effect],
        i.Group(c.group),
        c.repeat_window_s,
        c.worth,
        c.late_worth,
    )


def to_plan(p: schema.Plan) -> i.Plan:
    """The plan that the scenario describes."""
    return i.Plan(
        p.name,
        p.refill,
        p.depth,
        p.parallel,
        p.cap_rate,
        p.cap_depth,
        p.cap_slack,
        p.price,
        p.over_worth,
        p.over_cost,
    )


def to_server(worker: Worker, mode: i.Mode | None = None) -> i.Server:
    """A worker's entry in the list that discovery gives; `mode` where it differs from the worker's own."""
    rating = worker.setup.speed * worker.setup.cores
    return i.Server(worker.number + 1, worker.zone, worker.cell, mode or worker.mode, rating, worker.came_up)
