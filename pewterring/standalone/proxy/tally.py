"""What a gatekeeper decided, counted: one line in the log a period, to be summed over a fleet.

It stands around the module and changes nothing: events go in and actions come out as they are.
"""

import math
from collections import Counter
from typing import Any

from pewterring.standalone.log import Log
from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.proxy.gateway import Module


class Tally:
    """Counts what passes; `period` in seconds. Lines come with events; who gets none is silent."""

    def __init__(self, module: Module, log: Log, period: float) -> None:
        self.module, self.log, self.period = module, log, period
        self.counts: Counter[str] = Counter()
        self.took, self.since = 0.0, -math.inf

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        if now - self.since >= self.period:
            self.line(now)
        counts = self.counts
        match event:
            case i.Request(is_retry=again):
                counts["asked"] += 1
                counts["asked_again"] += again
            case i.Outcome(code=code, took=took):
                counts[f"ended_{code.value}"] += 1
                self.took += took if code is i.Code.OK else 0.0
            case i.PeerMessage():
                counts["heard"] += 1
            case i.ServerList(form):
                counts[f"list_{form.value}"] += 1
            case i.Expired():
                counts["expired"] += 1
        actions = self.module.handle(now, event)
        for action in actions:
            match action:
                case i.Send(server=server):
                    counts["sent"] += 1
                    counts["sent_cold"] += self.cold(server, now)
                    counts["sent_further"] += not isinstance(event, i.Request)
                case i.Refuse(why=why):
                    counts[f"refused_{why or 'unsaid'}"] += 1
                case i.Fail():
                    counts["failed"] += 1
                case i.Tell(data=data):
                    counts["told"] += 1
                    counts["told_bytes"] += len(data)
                case i.Probe():
                    counts["probed"] += 1
        return actions

    def cold(self, server: int, now: float) -> bool:
        module = self.module
        if not isinstance(module, GatewayPolicy) or (node := module.pool.servers.get(server)) is None:
            return False
        return module.pool.warmth(node, now) < 1.0

    def line(self, now: float) -> None:
        if self.since > -math.inf:
            self.log("tally", **{k: n for k, n in self.counts.items() if n}, **self.state(now))
        self.since, self.took = now, 0.0
        self.counts.clear()

    def state(self, now: float) -> dict[str, Any]:
        """What it holds of the fleet at the end of the period: in slots, attempts a second and seconds."""
        state: dict[str, Any] = {}
        if served := self.counts["ended_ok"]:
            state["took_mean"] = round(self.took / served, 4)
        if isinstance(module := self.module, GatewayPolicy):
            shares = module.shares
            figures = {
                "limit": module.ceiling.limit,
                "whole": shares.fleet_limit,
                "share": shares.share,
                "elsewhere": shares.peers_in_flight,
                "demand": shares.demand,
                "demands": shares.fleet_demand,
                "usual": module.latency(),
                "out": module.in_flight,
                "peers": sum(now - p.heard < shares.lease for p in shares.peers.values()),
                "workers": len(module.pool.serving),
                "customers": len(module.quota.accounts),
            }
            state |= {name: round(x, 3) for name, x in figures.items()}
        return state
