"""Sessions of many nodes with the control leader, in a process of its own, that keep the tables unread.

They stand for the gateways and stores of a large deployment: what they cost the leader is real, and what a
configuration costs each of them after it has arrived is left out.
"""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from pewterring.distribution.messages import FEED_MESSAGES, NodeRecord
from pewterring.distribution.subscriber import FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.local.layout import Layout
from pewterring.node.settings import NodeSettings, read_report
from pewterring.transport.lines import MessageCodec

PROGRAM = "observer"  # known to no program, so nothing is sent to these nodes
POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class Arrivals:
    """When the sessions had a version of the configuration, on the monotonic clock of the machine."""

    first_s: float
    last_s: float
    sessions: int


class _UnreadSession(FeedSubscriber):
    """A session that applies changes and does not read configurations."""

    def _notify(self, old: Tables, new: Tables) -> None:
        """Leaves a large configuration unread."""

    @property
    def version(self) -> int:
        return self.tables.versions.configuration


def combined(parts: Sequence[Arrivals]) -> Arrivals:
    """Returns the arrivals at the sessions of several processes."""
    return Arrivals(
        min(part.first_s for part in parts),
        max(part.last_s for part in parts),
        sum(part.sessions for part in parts),
    )


def follow(layout: Layout, numbers: range, versions: list[int], timeout_s: float) -> list[Arrivals]:
    """Opens sessions, and returns when each version had arrived at them; runs for the whole time."""
    return asyncio.run(_follow(layout, numbers, versions, timeout_s))


async def _follow(layout: Layout, numbers: range, versions: list[int], timeout_s: float) -> list[Arrivals]:
    settings = _settings(layout)
    nodes = [_session(settings, number) for number in numbers]
    for node in nodes:
        await node.start()
    arrived: dict[int, dict[int, float]] = {version: {} for version in versions}
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        for number, node in enumerate(nodes):
            if node.version in arrived:
                arrived[node.version].setdefault(number, time.monotonic())
        await asyncio.sleep(POLL_S)
    for node in nodes:
        await node.stop()
    return [
        Arrivals(min(times.values(), default=0.0), max(times.values(), default=0.0), len(times))
        for times in arrived.values()
    ]


def _settings(layout: Layout) -> NodeSettings:
    return read_report(layout.settings(layout.of("gateway")[0], bootstrap=False)).settings


def _session(settings: NodeSettings, number: int) -> _UnreadSession:
    record = NodeRecord(f"observer-{number}", PROGRAM, settings.ip, settings.zone, f"incarnation-{number}")
    codec = MessageCodec(FEED_MESSAGES, settings.cluster)
    return _UnreadSession(settings, codec, NodeReport(lambda: record))
