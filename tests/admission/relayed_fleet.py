"""A fleet that exchanges heartbeats through relays, on a simulated network with a simulated clock."""

from collections.abc import Callable, Collection

from pewterring.admission.datagram import BATCH, GATEWAY, write_heartbeat
from pewterring.admission.digests import Totals
from pewterring.admission.relay_exchange import RelayExchange
from pewterring.admission.relay_plan import HeartbeatSender, RelayPlan, make_plan
from pewterring.admission.shares import HEARTBEAT_PERIOD_S
from pewterring.standalone.peer_messages import Heartbeat, encode_heartbeat

SERVICE = 7
DELAY_S = 0.01


class Process:
    """One process: its side of the exchange, and the totals that it received last, by service number."""

    def __init__(self, ip: str, kind: int, limit: float, in_flight: int) -> None:
        self.ip = ip
        self.kind = kind
        self.beat = Heartbeat(1, 1, limit, in_flight, 3.0, 2.0)
        self.totals: dict[int, Totals] = {}
        self.totals_at = -1.0
        self.now = 0.0
        self.sent = 0
        self.services = [SERVICE]
        self.exchange = RelayExchange(ip, 1, self._receive_totals)

    def _receive_totals(self, number: int, totals: Totals) -> None:
        self.totals[number] = totals
        self.totals_at = self.now

    def heartbeat(self) -> bytes:
        """Encodes the same heartbeat for each service."""
        return write_heartbeat(self.kind, dict.fromkeys(self.services, encode_heartbeat(self.beat)))


class Fleet:
    """Gateways and one store in several zones; `is_lost` decides which datagrams are lost."""

    def __init__(self, gateways: int, zones: int = 4) -> None:
        self.now = 0.0
        self.zones = zones
        self.is_lost: Callable[[str, str], bool] = lambda _source, _target: False
        self.processes = {
            f"10.0.{index // 256}.{index % 256}": Process(
                f"10.0.{index // 256}.{index % 256}", GATEWAY, 100.0 + index, index % 4
            )
            for index in range(gateways)
        }
        self.processes["10.1.0.1"] = Process("10.1.0.1", BATCH, 5.0, 11)
        self.dead: set[str] = set()
        self.plan_without(())

    def plan_without(self, removed: Collection[str]) -> RelayPlan:
        """Gives all processes the plan of a table of nodes that lacks the given IPs."""
        plan = make_plan(
            HeartbeatSender(process.ip, f"zone-{index % self.zones}", process.kind == GATEWAY)
            for index, process in enumerate(self.processes.values())
            if process.ip not in removed
        )
        for process in self.processes.values():
            process.exchange.plan = plan
        return plan

    @property
    def plan(self) -> RelayPlan:
        """The plan of all processes."""
        return self.processes["10.1.0.1"].exchange.plan

    def live(self) -> list[Process]:
        """All processes that are not in `dead`."""
        return [process for process in self.processes.values() if process.ip not in self.dead]

    def run(self, rounds: int) -> None:
        """Runs a number of rounds: in each, all processes send and the datagrams that are not lost arrive."""
        for _ in range(rounds):
            self.now += HEARTBEAT_PERIOD_S
            datagrams = []
            for process in self.live():
                process.now = self.now
                sent = process.exchange.round(self.now, process.heartbeat(), HEARTBEAT_PERIOD_S)
                process.sent += len(sent)
                datagrams += [(process.ip, target, data) for target, data in sent]
            for source, target, data in datagrams:
                if target not in self.dead and not self.is_lost(source, target):
                    receiver = self.processes[target]
                    receiver.now = self.now + DELAY_S
                    receiver.exchange.receive(receiver.now, source, data)
