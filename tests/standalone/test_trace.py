"""Fleets too small to be sparse decide as they did: a recorded trace of three.

Recorded anew when health became one of worker and class, and when plans were told by number of name; up to
then the trace was that of 1e1e373.
"""

import hashlib
import heapq
import itertools
import random
from collections import Counter

import pytest

from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import GatewayPolicy, ServerPool
from tests.standalone.helpers import SERVERS, settings

RECORDED = "03d1114c8e4b97ed2b8f35b6c2f3870070b6f2aa3e3b6cbcadb2760bfff31c18"


def trace(size: int, seconds: float) -> tuple[list[str], Counter[str]]:
    """What `size` gatekeepers do in that time of drawn requests, answers, drains and lost mail."""
    rng, lines, kinds = random.Random(11), list[str](), Counter[str]()
    gatekeepers = [GatewayPolicy(settings(me=n, fleet=size), n) for n in range(size)]
    due: list[tuple[float, int, int, i.Event]] = []
    serial, attempts = itertools.count(), Counter[tuple[int, int]]()

    def at(now: float, n: int, event: i.Event) -> None:
        heapq.heappush(due, (now, next(serial), n, event))

    for n in range(size):
        at(100.0, n, i.ServerList(i.ListForm.WHOLE, SERVERS))
        drains = i.Server(2, "a", 2, i.Mode.DRAINING)
        at(100.0 + seconds / 2, n, i.ServerList(i.ListForm.CHANGES, (drains,)))
    for id in range(1, int(seconds * 60)):
        now, customer = 100.0 + id / 60, rng.randrange(6)
        plan = ["free", "free", "small", "busy", "busy", "busy"][customer]
        cls = rng.choice(["pure", "token-all", "token-cell", "once"])
        r = i.Request(id, cls, plan, customer, now + 4.0, 1.0, size, 0)
        at(now, rng.randrange(size), r)
    while due and due[0][0] < 100.0 + seconds:
        now, _, n, event = heapq.heappop(due)
        for action in gatekeepers[n].handle(now, event):
            kinds[type(action).__name__] += 1
            match action:
                case i.Send(id, server):
                    number, took = attempts[n, id], rng.lognormvariate(-2.0, 0.8)
                    attempts[n, id] += 1
                    code = (
                        i.Code.OK
                        if rng.random() < 0.93
                        else rng.choice([i.Code.UNAVAILABLE, i.Code.INTERNAL])
                    )
                    outcome = i.Outcome(id, number, server, code, took, code is i.Code.OK)
                    at(now + took, n, outcome)
                    lines.append(f"{n} send {id} {server}")
                case i.Refuse(id, after):
                    lines.append(f"{n} refuse {id} {after:.6f}")
                case i.Fail(id):
                    lines.append(f"{n} fail {id}")
                case i.SetTimer(delay, label):
                    at(now + delay, n, i.TimerDue(label))
                case i.Tell(peer, data):
                    if peer is not None and rng.random() > 0.05:
                        at(now + rng.uniform(0.004, 0.02), peer, i.PeerMessage(n, data))
                    lines.append(f"{n} tell {peer} {len(data)}")
    return lines, kinds


def test_three_gatekeepers_decide_as_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = ServerPool.__init__

    def as_then(self: ServerPool, setup: i.Settings, rng: random.Random, sparse: bool = False) -> None:
        rng.getrandbits(
            32
        )  # then drawn for the chance picks of near servers; all draws after it would differ
        begin(self, setup, rng, sparse)

    monkeypatch.setattr(ServerPool, "__init__", as_then)
    lines, kinds = trace(3, 30.0)
    assert kinds["Send"] > 1000
    assert kinds["Refuse"] > 100
    assert kinds["Tell"] > 200
    assert hashlib.sha256("\n".join(lines).encode()).hexdigest() == RECORDED
