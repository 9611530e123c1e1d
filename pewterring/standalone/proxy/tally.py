"""Counts the decisions of a gateway and logs them once per period, to be summed over a fleet.

It wraps the policy and passes events and actions through unchanged.
"""

import math
from collections import Counter
from typing import Any

from pewterring.standalone.log import Log
from pewterring.standalone.policy import interface
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.proxy.gateway import Policy


class Tally:
    """Counts events and actions; `period` in seconds. Lines are written on events: no event, no line."""

    def __init__(self, policy: Policy, log: Log, period: float) -> None:
        self.policy, self.log, self.period = policy, log, period
        self.counts: Counter[str] = Counter()
        self.latency_sum, self.since = 0.0, -math.inf

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        if now - self.since >= self.period:
            self.log_counts(now)
        counts = self.counts
        match event:
            case interface.Request(is_retry=again):
                counts["asked"] += 1
                counts["asked_again"] += again
            case interface.Outcome(code=code, took=took):
                counts[f"ended_{code.value}"] += 1
                self.latency_sum += took if code is interface.Code.OK else 0.0
            case interface.PeerMessage():
                counts["heard"] += 1
            case interface.ServerList(form):
                counts[f"list_{form.value}"] += 1
            case interface.Expired():
                counts["expired"] += 1
        actions = self.policy.handle(now, event)
        for action in actions:
            match action:
                case interface.Send(server=server):
                    counts["sent"] += 1
                    counts["sent_cold"] += self.is_warming_up(server, now)
                    counts["sent_further"] += not isinstance(event, interface.Request)
                case interface.Refuse(why=why):
                    counts[f"refused_{why or 'unsaid'}"] += 1
                case interface.Fail():
                    counts["failed"] += 1
                case interface.Tell(data=data):
                    counts["told"] += 1
                    counts["told_bytes"] += len(data)
                case interface.Probe():
                    counts["probed"] += 1
        return actions

    def is_warming_up(self, server: int, now: float) -> bool:
        policy = self.policy
        if not isinstance(policy, GatewayPolicy) or (node := policy.pool.servers.get(server)) is None:
            return False
        return policy.pool.warmth(node, now) < 1.0

    def log_counts(self, now: float) -> None:
        if self.since > -math.inf:
            self.log("tally", **{name: n for name, n in self.counts.items() if n}, **self.state(now))
        self.since, self.latency_sum = now, 0.0
        self.counts.clear()

    def state(self, now: float) -> dict[str, Any]:
        """The view of the fleet at the end of the period, in slots, attempts per second and seconds."""
        state: dict[str, Any] = {}
        if served := self.counts["ended_ok"]:
            state["took_mean"] = round(self.latency_sum / served, 4)
        if isinstance(policy := self.policy, GatewayPolicy):
            shares = policy.shares
            figures = {
                "limit": policy.ceiling.limit,
                "whole": shares.fleet_limit,
                "share": shares.share,
                "elsewhere": shares.peers_in_flight,
                "demand": shares.demand,
                "demands": shares.fleet_demand,
                "usual": policy.latency(),
                "out": policy.in_flight,
                "peers": sum(now - peer.heard < shares.lease for peer in shares.peers.values()),
                "workers": len(policy.pool.serving),
                "customers": len(policy.quota.accounts),
            }
            state |= {name: round(value, 3) for name, value in figures.items()}
        return state
