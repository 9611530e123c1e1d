"""Builders of process settings for tests. Fields that a test does not set have arbitrary values."""

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
    """Returns `PLAIN` for a program at `ip`, with changed fields."""
    return replace(PLAIN, node_id=f"{program}-{ip}", ip=ip, **changed)


def addresses(ips: Iterable[str], port: int) -> tuple[Address, ...]:
    """Returns one address per machine, all with the same port."""
    return tuple(Address(ip, port) for ip in ips)
