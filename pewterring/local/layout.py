"""Which process of a local tier has which address, and its settings file."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path

FRONT_PORT = 8144  # clients
READY_PORT = 8140
CONTROL_PORT = 8146  # operator and workers
INTERNAL_PORTS = (7660, 7675)  # between the processes
WORKER_PORT = 8080
HEARTBEAT_MS = 500
FIRST_HOSTS = {"gateway": 1, "control": 11, "store": 21}  # last number of the first address
FIRST_WORKER_HOST = 31
ZONES = ("local-a", "local-b", "local-c")
DEFAULT_NETWORK = "127.0.77"


class LayoutError(Exception):
    """The tier cannot be laid out; the text says why."""


@dataclass(frozen=True, slots=True)
class Process:
    """One process of the tier."""

    program: str
    name: str
    ip: str
    zone: str


@dataclass(frozen=True, slots=True)
class Layout:
    """Processes on addresses of `network` (`127.0.77` for 127.0.77.1 and so on), files under `folder`."""

    network: str
    folder: Path
    gateways: int = 2
    controls: int = 3
    stores: int = 3
    workers: int = 2

    def __post_init__(self) -> None:
        try:
            address = ipaddress.IPv4Address(f"{self.network}.1")
        except ValueError:
            raise LayoutError(f"{self.network}: not the first three numbers of an address") from None
        if not address.is_loopback:
            raise LayoutError(f"{self.network}: not a network of loopback addresses")

    def processes(self) -> list[Process]:
        """All processes, control first."""
        counts = {"control": self.controls, "store": self.stores, "gateway": self.gateways}
        return [
            Process(program, f"{program}-{n + 1}", self._ip(FIRST_HOSTS[program] + n), ZONES[n % len(ZONES)])
            for program, count in counts.items()
            for n in range(count)
        ]

    def of(self, program: str) -> list[Process]:
        """The processes of one program."""
        return [process for process in self.processes() if process.program == program]

    def control_addresses(self) -> list[str]:
        """Where the operator and workers call."""
        return [f"{process.ip}:{CONTROL_PORT}" for process in self.of("control")]

    def worker_addresses(self) -> list[str]:
        """Where the stand-in workers listen."""
        return [f"{self._ip(FIRST_WORKER_HOST + number)}:{WORKER_PORT}" for number in range(self.workers)]

    def folder_of(self, process: Process) -> Path:
        """The process's files: `node.conf`, `log`, `data/`."""
        return self.folder / process.name

    def settings(self, process: Process, bootstrap: bool) -> str:
        """The text of a process's settings file."""
        lines = {
            "node_id": process.name,
            "ip": process.ip,
            "zone": process.zone,
            "region": "local",
            "ephemeral_ports": f"{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
            "seed_nodes": ",".join(self.control_addresses()),
            "bootstrap": str(bootstrap).lower(),
            "heartbeat_ms": HEARTBEAT_MS,
            "fault_tolerance.machines": 1,
            **self._own(process),
        }
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def _own(self, process: Process) -> dict[str, str]:
        data_dir = {"data_dir": str(self.folder_of(process) / "data")}
        if process.program == "control":
            return {"listen_addrs.control": f"{process.ip}:{CONTROL_PORT}", **data_dir}
        if process.program == "store":
            return data_dir
        return {
            "listen_addrs.front": f"{process.ip}:{FRONT_PORT}",
            "listen_addrs.ready": f"{process.ip}:{READY_PORT}",
        }

    def _ip(self, host: int) -> str:
        return f"{self.network}.{host}"
