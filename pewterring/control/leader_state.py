"""The state that the leader of the control group works on: the replicated state and its own soft state.

The replicated state survives a change of leader. The soft state (sessions, reports, times of last contact) is
local to one leader and is reset at each leadership, so a new leader waits a full timeout before it treats a
node or worker as lost.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self

from pewterring.control.decommissioning import StoreDecommissioner
from pewterring.control.leadership import Leadership
from pewterring.control.nodes import NodeTable
from pewterring.control.publisher import FeedPublisher
from pewterring.control.state import ControlState
from pewterring.registry.workers import WorkerRegistry


@dataclass(frozen=True, slots=True)
class LeaderState:
    """The tables of one control machine; all but the replicated state are valid only while it leads.

    Attributes:
        replicated: The state machine of the control group, the same at all members.
        nodes: The live processes of the tier, according to their sessions on the feed.
        workers: The time of each worker's last heartbeat.
        publisher: The versions and sessions of the feed, and the reports of partitions.
        decommissioner: Starts decommissionings, and records which stores are absent.
    """

    replicated: ControlState
    nodes: NodeTable
    workers: WorkerRegistry
    publisher: FeedPublisher
    decommissioner: StoreDecommissioner

    @classmethod
    def of(
        cls, replicated: ControlState, leadership: Leadership, needed_stores: int, heartbeat_s: float
    ) -> Self:
        """Creates the leader's own tables for a replicated state.

        Args:
            replicated: The state that the group's log is applied to.
            leadership: Commits the commands of the decommissioner.
            needed_stores: The number of stores that a partition needs.
            heartbeat_s: The interval at which workers send heartbeats, in seconds.
        """
        nodes = NodeTable()
        return cls(
            replicated,
            nodes,
            WorkerRegistry(replicated.workers, replicated.departed, heartbeat_s),
            FeedPublisher(replicated, nodes),
            StoreDecommissioner(replicated, nodes, leadership, needed_stores),
        )

    def start(self, now: float, term: int, control_ips: Iterable[str]) -> None:
        """Begins a leadership in `term`; all earlier log entries have been applied."""
        self.nodes.start(now, self.replicated.nodes)
        self.workers.restart_timeouts(now)
        self.publisher.start(term, control_ips)
