"""Addresses and settings files of the processes of a local tier."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path

FRONT_PORT = 8144  # for clients
READY_PORT = 8140
CONTROL_PORT = 8146  # for the operator and workers
INTERNAL_PORTS = (7660, 7675)  # first and last port for traffic between processes
WORKER_PORT = 8080
HEARTBEAT_MS = 500
FIRST_HOSTS = {"gateway": 1, "control": 11, "store": 21}  # last number of the IP address of the first process
FIRST_WORKER_HOST = 31
ZONES = ("local-a", "local-b", "local-c")
DEFAULT_NETWORK = "127.0.77"


class LayoutError(Exception):
    """The network is not usable for a local tier; the text says why."""


@dataclass(frozen=True, slots=True)
class Process:
    """One process of the tier."""

    program: str
    name: str
    ip: str
    zone: str


@dataclass(frozen=True, slots=True)
class Layout:
    """Assigns addresses in `network` (`127.0.77` means 127.0.77.1 and so on) and files in `folder`."""

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
        """Returns all processes, control machines first."""
        counts = {"control": self.controls, "store": self.stores, "gateway": self.gateways}
        return [
            Process(
                program,
                f"{program}-{number + 1}",
                self._ip(FIRST_HOSTS[program] + number),
                ZONES[number % len(ZONES)],
            )
            for program, count in counts.items()
            for number in range(count)
        ]

    def of(self, program: str) -> list[Process]:
        """Returns the processes of one program."""
        return [process for process in self.processes() if process.program == program]

    def control_addresses(self) -> list[str]:
        """Returns the addresses for calls of the operator and workers."""
        return [f"{process.ip}:{CONTROL_PORT}" for process in self.of("control")]

    def worker_addresses(self) -> list[str]:
        """Returns the addresses on which the stand-in workers listen."""
        return [f"{self._ip(FIRST_WORKER_HOST + number)}:{WORKER_PORT}" for number in range(self.workers)]

    def folder_of(self, process: Process) -> Path:
        """Returns the folder with the files of a process: `node.conf`, `log`, `data/`."""
        return self.folder / process.name

    def settings(self, process: Process, bootstrap: bool) -> str:
        """Returns the text of a process's settings file."""
        settings = {
            "node_id": process.name,
            "ip": process.ip,
            "zone": process.zone,
            "region": "local",
            "ephemeral_ports": f"{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
            "seed_nodes": ",".join(self.control_addresses()),
            "bootstrap": str(bootstrap).lower(),
            "heartbeat_ms": HEARTBEAT_MS,
            "fault_tolerance.machines": 1,
            **self._program_settings(process),
        }
        return "".join(f"{key}={value}\n" for key, value in settings.items())

    def _program_settings(self, process: Process) -> dict[str, str]:
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
