"""Loopback addresses and ports of the test process, so that tests that run beside each other do not meet.

Each worker process of pytest-xdist has a network of its own, 127.0.100.0/24 for the first; a run without
workers uses the first one's.
"""

import os
import socket

FIRST_NETWORK = 100
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


def loopback_ip(host: int) -> str:
    """The address of host number `host`, 1 to 254, in this process's network."""
    return f"127.0.{FIRST_NETWORK + WORKER}.{host}"


def free_port(ip: str = "127.0.0.1") -> int:
    """A TCP port that is free at `ip` now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
    return port
