"""The control program: a member of the control group, the HTTP API for operators and workers, and the feed.

Connects these components, dispatches messages between machines and runs the background tasks. The member's
log and its snapshots are on disk (`member_storage.py`); all other state is rebuilt at each start. The program
ends if the disk fails or a record is damaged; it waits for every other fault (no leader, lost messages, an
address in use) to pass.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from loguru import logger

from pewterring.consensus.departure import DEPARTURE_TIMEOUT_FRACTION
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment
from pewterring.consensus.membership import address_of, voters_needed
from pewterring.consensus.membership_planner import ALL_SPARES, MembershipPlanner
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage
from pewterring.control.api import ControlApi
from pewterring.control.feed import FeedServer
from pewterring.control.http_server import ApiServer
from pewterring.control.join_protocol import JoinProtocol
from pewterring.control.join_requests import JoinRequests
from pewterring.control.leader_state import LeaderState
from pewterring.control.leader_task_runner import LeaderTaskRunner
from pewterring.control.leader_tasks import LeaderTasks
from pewterring.control.leadership import GroupLeadership
from pewterring.control.member_storage import GROUP, open_member_storage
from pewterring.control.messages import CONTROL_MESSAGES, JoinGroup, RelayedCall
from pewterring.control.patch_preparation import PatchPreparation
from pewterring.control.pause_detector import PauseDetector
from pewterring.control.relay import CallRouter
from pewterring.control.service import ControlService
from pewterring.control.state import ControlState
from pewterring.distribution.messages import FEED_MESSAGES, Renew, Subscribe
from pewterring.node.address import Address
from pewterring.node.errors import SettingsError
from pewterring.node.settings import NodeSettings
from pewterring.storage.group import DiskGroupStorage
from pewterring.transport.channel import Answer
from pewterring.transport.lines import Channel, LineServer, LinkPool, Message, MessageCodec

LEADER_CHECK_INTERVAL_S = 0.2  # far below the timeouts that the leader enforces, which are 1.5 s and more

MESSAGES = (*CONSENSUS_MESSAGES, *FEED_MESSAGES, *CONTROL_MESSAGES)


class ControlProgram:
    """Connects the components of the program; `start` and `stop` are called once each, on the event loop.

    Args:
        settings: The settings of this machine.
        on_failure: Called when the group's member has stopped because of an error, for example a failed disk.
            The process should end then.

    Raises:
        SettingsError: The settings contain no data folder or no address for the API.
        StorageError: The data folder cannot be used.
    """

    def __init__(self, settings: NodeSettings, on_failure: Callable[[Exception], None] | None = None) -> None:
        data_dir, api_address = _required_settings(settings)
        self._settings = settings
        self._on_failure = on_failure
        self._clock = time.monotonic
        member, storage = open_member_storage(settings, data_dir)
        codec = MessageCodec(MESSAGES, settings.cluster)
        self._links = LinkPool(codec, settings.internal_port, rng=random.Random(), source_ip=settings.ip)
        self._listener = LineServer(codec, self._on_message)
        self._state = ControlState(on_change=self._on_state_change)
        self._patch_preparation = PatchPreparation(self._state)
        self.group = self._make_group(member, storage)
        self.leadership = GroupLeadership(self.group, self._clock)
        needed_stores = voters_needed(settings.tolerated_machines)
        tables = LeaderState.of(self._state, self.leadership, needed_stores, settings.heartbeat_s)
        join_requests = JoinRequests()
        self.joining = JoinProtocol(settings, self.group, self.leadership, self._links, join_requests)
        self._task_runner = self._make_task_runner(tables, needed_stores, join_requests)
        self._feed = FeedServer(tables.publisher, tables.nodes, self.leadership, codec, self._clock)
        self._pauses = PauseDetector(self._clock)
        self._router = self._make_router(tables)
        self._api = ApiServer(ControlApi(self._router.answer), api_address)
        self._background: list[asyncio.Task[None]] = []

    def _make_group(self, member: str, storage: DiskGroupStorage) -> ReplicatedGroup:
        return ReplicatedGroup(
            GROUP,
            member,
            GroupEnvironment(
                storage=storage,
                machine=self._state,
                send=self._send,
                clock=self._clock,
                rng=random.Random(),
            ),
            callbacks=GroupCallbacks(
                on_leadership=self._on_leadership,
                on_departure=self._on_departure,
                on_failure=self._on_group_failure,
            ),
        )

    def _make_task_runner(
        self, tables: LeaderState, needed_stores: int, join_requests: JoinRequests
    ) -> LeaderTaskRunner:
        bounds = self._settings.bounds
        tasks = LeaderTasks(tables, needed_stores, report_delay_s=min(bounds.config_s, bounds.drain_s))
        planner = MembershipPlanner(
            self.group.member, self._settings.tolerated_machines, bounds.catch_up_s, ALL_SPARES
        )
        return LeaderTaskRunner(tasks, planner, join_requests, self.group, self.leadership)

    def _make_router(self, tables: LeaderState) -> CallRouter:
        service = ControlService(tables, self.leadership, self._clock)
        return CallRouter(
            service.handle,
            self.leadership,
            self._links.request,
            self._settings.ip,
            self._pauses.was_paused,
        )

    # Lifecycle

    async def start(self) -> None:
        """Starts all components; returns once other machines can connect.

        Raises:
            GroupFailedError: The member's log cannot be read.
            OSError: The address for messages between machines cannot be bound.
        """
        await self._listener.start(self._settings.ip, self._settings.internal_port)
        await self.group.start()
        await self._api.start()
        background = (self._pauses.run(), self._check_leader_tasks(), self.joining.run())
        self._background = [asyncio.create_task(work) for work in background]
        logger.bind(event="control_started", member=self.group.member).info(
            "The control program has started."
        )

    def reload(self, settings: NodeSettings) -> None:
        """Applies changed settings: a member that is not a voter sends join requests to the new seeds."""
        self._settings = settings
        self.joining.settings = settings

    async def drain(self) -> None:
        """Transfers the leadership before a planned stop, and the vote if a learner can take it over.

        Meanwhile calls are forwarded to the new leader.
        """
        if self.group.is_leader:
            logger.bind(event="leadership_transfer_started", group=GROUP, term=self.group.term).info(
                "Transferring the leadership before a planned stop."
            )
        with contextlib.suppress(ConsensusError):
            await self.group.transfer_leadership()
            if self.group.membership.learners:
                await self.group.depart(DEPARTURE_TIMEOUT_FRACTION * self._settings.bounds.grace_s)

    async def stop(self) -> None:
        """Waits for open calls to complete, then stops all components."""
        await self._api.stop()
        self.leadership.ready = False
        for task in self._background:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._task_runner.stop()
        self._feed.end_sessions()
        await self.group.stop()
        await self._patch_preparation.stop()
        await self._listener.stop()
        self._links.close()

    # Messages

    def _on_message(self, channel: Channel, message: Message) -> Answer | Awaitable[Answer]:
        match message:
            case Renew():
                return self._feed.renew(channel, message)
            case Subscribe():
                return self._feed.answer_subscribe(channel, message)
            case RelayedCall():
                return self._router.answer_relayed(message)
            case JoinGroup():
                self.joining.receive(self._clock(), message)
            case _ if isinstance(message, CONSENSUS_MESSAGES):
                self.group.receive(message)
        return None

    def _send(self, message: ConsensusMessage) -> None:
        self._links.send(address_of(message.target), message)

    # Callbacks of the replicated group

    def _on_state_change(self) -> None:
        self._feed.publish_soon()
        self._patch_preparation.state_changed()

    def _on_leadership(self, leads: bool) -> None:
        self.leadership.ready = leads
        if not leads:
            self._feed.end_sessions()
            return
        self._task_runner.start(self._clock())
        logger.bind(event="leadership_acquired", group=GROUP, term=self.group.term).info(
            "This member leads the group and has applied all entries committed before its term."
        )

    def _on_departure(self) -> None:
        self._task_runner.on_departure(self._clock())

    def _on_group_failure(self, error: Exception) -> None:
        logger.bind(event="group_failed", group=GROUP, error=str(error)).error(
            "This machine's member of the group stopped because of an error."
        )
        if self._on_failure is not None:
            self._on_failure(error)

    async def _check_leader_tasks(self) -> None:
        while True:
            await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
            if self.leadership.has_lease:
                self._task_runner.check(self._clock())
                self._feed.publish_nodes()


def _required_settings(settings: NodeSettings) -> tuple[Path, Address]:
    """Returns the data folder and the address of the API, which are optional for other programs.

    Raises `SettingsError` if one of them is missing.
    """
    if settings.data_dir is None:
        raise SettingsError("data_dir is missing")
    if settings.control is None:
        raise SettingsError("listen_addrs.control is missing")
    return settings.data_dir, settings.control
