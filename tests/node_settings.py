"""Settings of processes for tests; what a test does not name has a value that does not matter to it."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from pewterring.node.address import Address
from pewterring.node.settings import Bounds, NodeSettings

PLAIN = NodeSettings(
    node_id="node",
    ip="127.0.0.1",
    zone="zone-1",
    region="region",
    front=None,
    ready=None,
    control=None,
    internal_port=1,
    seeds=(),
    bootstrap=False,
    data_dir=None,
    heartbeat_s=1.0,
    tolerated_machines=1,
    memory_mb=256,
    max_descriptors=1024,
    cpu_share=1.0,
    disk_mb=0,
    bounds=Bounds(),
)


def node_settings(program: str, ip: str, **changed: Any) -> NodeSettings:
    """The settings of a program at `ip`, plain but for what is given."""
    return replace(PLAIN, node_id=f"{program}-{ip}", ip=ip, **changed)


def addresses(ips: Iterable[str], port: int) -> tuple[Address, ...]:
    """Addresses of machines, all at one port."""
    return tuple(Address(ip, port) for ip in ips)
