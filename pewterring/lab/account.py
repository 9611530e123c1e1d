"""The account of a run: where the worth went, what it cost, and how that changed with time."""

import math
from collections.abc import Mapping
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from pewterring.lab import schema
from pewterring.lab.calls import Call, Intent
from pewterring.lab.engine import START

MOST_US = 3_600_000_000
REASONS = ("quota", "ceiling", "tries", "down")


def histogram() -> HdrHistogram:
    """Latencies in whole microseconds, two digits."""
    return HdrHistogram(1, MOST_US, 2)


class Second(Struct):
    """One second of a run."""

    asked: int = 0
    served: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    with_room: int = 0  # refused though the customer's quota had room
    beyond: float = 0.0  # units sent on beyond quotas
    tries: int = 0
    attempts: int = 0
    out: int = 0  # attempts out at its end
    ceiling: float = 0.0  # the middle gatekeeper's idea of what the back end bears; 0: none has one
    shares: float = 0.0  # all gatekeepers' shares
    p50: float = 0.0
    p99: float = 0.0


class Result(Struct):
    """What a run came to. Emulated figures; times in seconds."""

    scenario: str
    policy: str
    seed: int
    duration_s: float
    g: float  # worth served in time less the prices, of the worth asked for within quotas
    served: float  # the share of the worth served in time
    counts: dict[str, float]
    prices: dict[str, float]  # of g
    refused: dict[str, int]  # by reason
    refused_with_room: dict[str, int]
    sent_units: dict[str, float]  # by plan
    beyond_units: dict[str, float]
    latency: dict[str, float]
    seconds: list[Second]
    hdr: str  # the histogram of answers' latencies, in HdrHistogram's own form
    events: int
    gatekeepers: int
    workers: int
    broken: str = ""

    def to_json(self) -> bytes:
        return msgspec.json.encode(self)


class Account:
    def __init__(self, scenario: schema.Scenario) -> None:
        self.scenario = scenario
        self.seconds = [Second() for _ in range(math.ceil(scenario.duration_s) + 1)]
        self.asked_worth = self.served_worth = self.over_cost = self.late_fail = 0.0
        self.counts: dict[str, float] = dict.fromkeys(
            (
                "intents", "tries", "attempts", "served", "late", "failed", "refused", "unreachable",
                "never_answered",
                "first_tries_sent", "messages", "messages_dropped", "message_bytes", "probes", "connections",
                "lists", "counter_calls", "counter_failed", "work_done", "work_useful", "work_offered",
                "fell_over", "cold_worst",
            ),
            0.0,
        )  # fmt: skip
        self.refused = dict.fromkeys(REASONS, 0)
        self.with_room = dict.fromkeys(REASONS, 0)
        self.sent: dict[str, float] = {p.name: 0.0 for p in scenario.plans}
        self.beyond: dict[str, float] = {p.name: 0.0 for p in scenario.plans}
        self.latencies, self.recent = histogram(), histogram()
        self.recent_at = 0

    def second(self, now: float) -> Second:
        return self.seconds[min(len(self.seconds) - 1, max(0, int(now - START)))]

    def asked(self, now: float, intent: Intent) -> None:
        self.counts["intents"] += 1
        self.counts["work_offered"] += intent.work
        self.second(now).asked += 1
        over = intent.customer.plan.over_worth
        self.asked_worth += intent.worth * (1.0 if intent.wanted_in else min(1.0, over))

    def sent_first(self, now: float, call: Call, plan: schema.Plan) -> None:
        units = call.request.units
        self.counts["first_tries_sent"] += 1
        self.sent[plan.name] += units
        if not call.within:
            self.beyond[plan.name] += units
            self.second(now).beyond += units
            self.over_cost += call.intent.worth * plan.over_cost

    def answered(self, now: float, call: Call, plan: schema.Plan) -> None:
        """A whole answer came to the client."""
        intent, took = call.intent, now - call.intent.asked
        us = max(1, min(MOST_US, round(took * 1e6)))
        self.latencies.record_value(us)
        if int(now - START) != self.recent_at:
            self.close_second(now)
        self.recent.record_value(us)
        in_time = took <= intent.cls.aim_s
        worth = intent.worth * (1.0 if call.within else plan.over_worth)
        self.served_worth += worth * (1.0 if in_time else intent.cls.late_worth)
        self.counts["served" if in_time else "late"] += 1
        second = self.second(now)
        if in_time:
            second.served += 1
        else:
            second.late += 1

    def close_second(self, now: float) -> None:
        if self.recent.get_total_count():
            last = self.seconds[min(len(self.seconds) - 1, self.recent_at)]
            last.p50 = self.recent.get_value_at_percentile(50) / 1e6
            last.p99 = self.recent.get_value_at_percentile(99) / 1e6
            self.recent.reset()
        self.recent_at = int(now - START)

    def refusal(self, now: float, reason: str, room: bool) -> None:
        self.refused[reason] += 1
        second = self.second(now)
        second.refused += 1
        self.counts["refused"] += 1
        if room:
            self.with_room[reason] += 1
            second.with_room += 1

    def failure(self, now: float) -> None:
        self.counts["failed"] += 1
        self.second(now).failed += 1

    def unserved(self, intent: Intent, now: float) -> None:
        """Its client has given up for good."""
        if now - intent.asked > intent.cls.aim_s and intent.wanted_in:
            self.late_fail += intent.worth

    def result(self, policy: str, seed: int, now: float, events: int, broken: str) -> Result:
        self.close_second(now)
        s, c, prices = self.scenario, self.counts, self.scenario.prices
        worth, tries = max(self.asked_worth, 1e-9), max(1.0, c["first_tries_sent"])
        wasted = max(0.0, c["work_done"] - c["work_useful"])
        cost = {
            "over_quota": self.over_cost / worth,
            "late_fail": prices.late_fail * self.late_fail / worth,
            "waste": prices.waste * wasted / max(1e-9, c["work_offered"]),
            "messages": prices.peer * c["message_bytes"] / (256 * tries),
            "connections": prices.connection * c["connections"] / tries,
            "probes": prices.probe * c["probes"] / tries,
        }
        served = self.served_worth / worth
        hist = self.latencies
        latency = {
            name: hist.get_value_at_percentile(at) / 1e6 if hist.get_total_count() else 0.0
            for name, at in (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("p999", 99.9))
        }
        return Result(
            s.name, policy, seed, s.duration_s, rounded(served - sum(cost.values())), rounded(served),
            round_all(c),
            round_all(cost), self.refused, self.with_room, round_all(self.sent), round_all(self.beyond),
            latency,
            self.seconds, hist.encode().decode(), events, s.gatekeepers.count, s.workers.count, broken,
        )  # fmt: skip


def rounded(x: float) -> float:
    return float(f"{x:.9g}")


def round_all(values: Mapping[str, float]) -> dict[str, Any]:
    return {k: rounded(v) for k, v in values.items()}
