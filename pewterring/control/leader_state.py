"""What the leader of the control group decides and answers on: the replicated state and its own soft state.

The replicated state outlasts leaders. The rest (sessions, reports, times of last contact) is known to one
leader alone and begins anew with each leadership, so a new leader waits before it calls anything lost.
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
    """The tables of one control machine, which count only while it leads.

    Attributes:
        replicated: The state machine of the control group, the same at all members.
        nodes: The processes that are there, by their sessions on the feed.
        workers: When each worker last sent a heartbeat.
        publisher: Versions and sessions of the feed, and the reports of partitions.
        decommissioner: Starts the emptying of stores, and knows which of them are away.
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
        """Builds the leader's own tables around a replicated state.

        Args:
            replicated: The state that the group's log is applied to.
            leadership: Commits what the decommissioner decides.
            needed_stores: How many stores a partition needs.
            heartbeat_s: The period in which workers send heartbeats.
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
        """Begins a leadership in `term`, everything before it being applied."""
        self.nodes.start(now, self.replicated.nodes)
        self.workers.restart_timeouts(now)
        self.publisher.start(term, control_ips)
