"""Weighs the ways to exchange admission heartbeats: from all to all, by sampling, and by relays.

    python benchmarks/admission_exchange.py [--gateways 7 66 410] [--seconds 30] [--seeds 3]

Simulated, without sockets. One service; requests come by chance, to some gateways three times as often as to
others, and hold a slot for two seconds on average; four slots a gateway, 70% of them in use. Datagrams take 1
to 4 ms, 1% are lost. `refused` is the part of the requests that were refused while slots were free; `error`
is the mean distance of a gateway's share from its part of the ceiling by its true demand, in parts of it;
`over` is how far attempts out went past the ceiling, in parts of it.
"""

import argparse
import heapq
import itertools
import random
import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass

from pewterring.admission.datagram import GATEWAY, service_number, write_heartbeat
from pewterring.admission.digests import Totals
from pewterring.admission.relay_exchange import RelayExchange
from pewterring.admission.relay_plan import HeartbeatSender, make_plan
from pewterring.admission.relayed_shares import RelayedShares
from pewterring.admission.shares import HEARTBEAT_PERIOD_S, LEASE_S
from pewterring.standalone.peer_messages import decode_heartbeat
from pewterring.standalone.policy.state import Peer
from pewterring.transport.datagrams import IP_UDP_BYTES

WAYS = ("all", "sampled", "relayed")
SAMPLED_PEERS = 2  # a heartbeat period: as many bytes as the exchange with relays
SLOTS = 4  # a gateway
LOAD = 0.7
HOLD_S = 2.0
BUSIER = 3.0
LOST = 0.01
DELAY_S = (0.001, 0.004)
ZONES = 4
WARM_UP_S = 10.0
SERVICE = service_number("service")


@dataclass
class Outcome:
    """The figures of one run."""

    refused: float
    error: float
    over: float
    bytes_a_second: float  # sent by one gateway on average
    most_bytes_a_second: float  # by the one that sends most


class Gateway:
    """One gateway's shares and what it sends."""

    def __init__(self, index: int, fleet: int, way: str, rng: random.Random) -> None:
        self.ip = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}"
        self.index = index
        self.way = way
        self.out = 0
        self.sent_bytes = 0
        self.rng = rng
        self.limit = float(SLOTS * fleet) * rng.uniform(0.95, 1.05)
        self.shares = RelayedShares(fleet, index + 1)
        if way == "sampled":
            self.shares.sparse = True
            self.shares.lease = 2 * LEASE_S
        self.shares.lends = True
        self.shares.started_at = 0.0
        self.now = 0.0
        self.exchange = RelayExchange(self.ip, index + 1, self.hear_totals)

    def hear_totals(self, number: int, totals: Totals) -> None:
        self.shares.receive_totals(self.now, totals, self.limit)

    def tick(self, now: float, everybody: "list[Gateway]") -> Iterator[tuple[str, bytes]]:
        self.now = now
        self.shares.update_demand(now, HEARTBEAT_PERIOD_S, self.limit)
        data = write_heartbeat(GATEWAY, {SERVICE: self.shares.heartbeat(self.limit, self.out)})
        if self.way == "relayed":
            yield from self.exchange.round(now, data, HEARTBEAT_PERIOD_S)
        elif self.way == "all":
            yield from ((peer.ip, data) for peer in everybody if peer is not self)
        else:
            peers = self.rng.sample(everybody, SAMPLED_PEERS + 1)
            yield from ((peer.ip, data) for peer in peers if peer is not self)

    def receive(self, now: float, source: "Gateway", data: bytes) -> None:
        self.now = now
        if self.way == "relayed":
            self.exchange.receive(now, source.ip, data)
            return
        beat = decode_heartbeat(data[10:])
        if (
            beat is not None
        ):  # the division at each heartbeat is left to the next tick: it is the same by then
            self.shares.peers[source.index] = Peer(beat, now)


def simulate(way: str, fleet: int, seconds: float, seed: int) -> Outcome:
    """One run."""
    rng = random.Random(seed)
    gateways = [Gateway(index, fleet, way, rng) for index in range(fleet)]
    by_ip = {gateway.ip: gateway for gateway in gateways}
    plan = make_plan(
        HeartbeatSender(gateway.ip, f"zone-{gateway.index % ZONES}", True) for gateway in gateways
    )
    for gateway in gateways:
        gateway.exchange.plan = plan
    weights = [BUSIER if index % 4 == 0 else 1.0 for index in range(fleet)]
    ceiling = SLOTS * fleet
    rate = LOAD * ceiling / HOLD_S
    order = itertools.count()
    events: list[tuple[float, int, str, int, tuple[Gateway, bytes] | None]] = []

    def plan_event(at: float, what: str, index: int, value: tuple[Gateway, bytes] | None = None) -> None:
        heapq.heappush(events, (at, next(order), what, index, value))

    for index in range(fleet):
        plan_event(rng.uniform(0, HEARTBEAT_PERIOD_S), "tick", index)
    plan_event(0.0, "request", 0)
    asked = refused = 0
    errors: list[float] = []
    over = 0.0
    while events and events[0][0] < seconds:
        now, _, what, index, value = heapq.heappop(events)
        gateway = gateways[index]
        measured = now > WARM_UP_S
        if what == "request":
            plan_event(now + rng.expovariate(rate), "request", 0)
            index = rng.choices(range(fleet), weights)[0]
            gateway = gateways[index]
            gateway.shares.requested += 1
            asked += measured
            if gateway.out < gateway.shares.capacity(gateway.out):
                gateway.out += 1
                plan_event(now + rng.expovariate(1 / HOLD_S), "end", index)
                over = max(over, sum(each.out for each in gateways) / ceiling - 1) if measured else 0.0
            else:
                refused += measured and sum(each.out for each in gateways) < ceiling
        elif what == "end":
            gateway.out -= 1
        elif what == "tick":
            plan_event(now + HEARTBEAT_PERIOD_S, "tick", index)
            for ip, data in gateway.tick(now, gateways):
                gateway.sent_bytes += len(data) + IP_UDP_BYTES
                if rng.random() >= LOST:
                    plan_event(now + rng.uniform(*DELAY_S), "data", by_ip[ip].index, (gateway, data))
            if measured:
                due = max(1.0, ceiling * weights[index] / sum(weights))
                errors.append(abs(gateway.shares.share - due) / due)
        elif value is not None:
            source, data = value
            gateway.receive(now, source, data)
    sent = [gateway.sent_bytes / seconds for gateway in gateways]
    return Outcome(refused / max(1, asked), statistics.fmean(errors), over, statistics.fmean(sent), max(sent))


def exchange_cost(fleet: int, services: int, rounds: int) -> tuple[float, float]:
    """Processor seconds of a round at the relay that takes most, and of a member on average."""
    rng = random.Random(1)
    gateways = [Gateway(index, fleet, "relayed", rng) for index in range(fleet)]
    plan = make_plan(
        HeartbeatSender(gateway.ip, f"zone-{gateway.index % ZONES}", True) for gateway in gateways
    )
    by_ip = {gateway.ip: gateway for gateway in gateways}
    spent = dict.fromkeys(by_ip, 0.0)
    gateways[0].shares.update_demand(1.0, HEARTBEAT_PERIOD_S, 4.0)
    beat = gateways[0].shares.heartbeat(4.0, 1)
    heartbeat = write_heartbeat(GATEWAY, dict.fromkeys(range(services), beat))
    for gateway in gateways:
        gateway.exchange.plan = plan
    for number in range(rounds):
        now = number * HEARTBEAT_PERIOD_S
        datagrams = []
        for gateway in gateways:
            began = time.process_time()
            sent = gateway.exchange.round(now, heartbeat, HEARTBEAT_PERIOD_S)
            spent[gateway.ip] += time.process_time() - began
            datagrams += [(gateway, by_ip[ip], data) for ip, data in sent]
        for source, target, data in datagrams:
            target.now = now
            began = time.process_time()
            target.exchange.receive(now, source.ip, data)
            spent[target.ip] += time.process_time() - began
    relays = {ip for group in plan.groups.values() for ip in group.relays}
    members = [seconds for ip, seconds in spent.items() if ip not in relays]
    return max(spent[ip] for ip in relays) / rounds, statistics.fmean(members) / rounds


def main() -> None:
    """Prints one line a way and size."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--gateways", type=int, nargs="+", default=[7, 66, 410])
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--ways", nargs="+", default=list(WAYS))
    parser.add_argument("--cost", action="store_true", help="processor time of an exchange, without sockets")
    parser.add_argument("--services", type=int, default=19, help="for --cost")
    options = parser.parse_args()
    if options.cost:
        for fleet in options.gateways:
            relay, member = exchange_cost(fleet, options.services, 20)
            print(f"{fleet:8} gateways, a round: relay {relay * 1e3:.2f} ms, member {member * 1e3:.3f} ms")
        return
    print("gateways way      refused error  over   bytes/s most")
    for fleet in options.gateways:
        for way in options.ways:
            runs = [simulate(way, fleet, options.seconds, seed) for seed in range(options.seeds)]
            mean = [
                statistics.fmean(values) for values in zip(*(vars(run).values() for run in runs), strict=True)
            ]
            print(
                f"{fleet:8} {way:8} {mean[0]:.4f}  {mean[1]:.3f}  {mean[2]:.3f} {mean[3]:8.0f} {mean[4]:.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
