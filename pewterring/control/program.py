"""The control program: one member of the control group with the operator's and workers' API and the feed."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from loguru import logger

from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.farewell import LEAVE_PART
from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage, Membership
from pewterring.consensus.planner import MembershipPlanner, voters_needed
from pewterring.consensus.types import RaftTiming
from pewterring.control.api import ControlApi
from pewterring.control.feed import FeedServer
from pewterring.control.http_server import ApiServer
from pewterring.control.leader_tasks import LeaderTaskRunner, LeaderTasks, controls_of
from pewterring.control.leadership import GroupLeadership
from pewterring.control.membership import JoinRequests
from pewterring.control.messages import CONTROL_MESSAGES, JoinGroup, RelayedCall
from pewterring.control.nodes import NodeTable
from pewterring.control.pause_detector import PauseDetector
from pewterring.control.publisher import FeedPublisher
from pewterring.control.relay import CallRouter, RelayError
from pewterring.control.retiring import RetirementDesk
from pewterring.control.service import ControlService
from pewterring.control.state import ControlState
from pewterring.distribution.messages import FEED_MESSAGES, Renew, Subscribe
from pewterring.node.settings import NodeSettings, SettingsError
from pewterring.registry.workers import WorkerRegistry
from pewterring.storage.disk import FolderDisk
from pewterring.storage.group import DiskGroupStorage
from pewterring.storage.identity import member_name
from pewterring.transport.channel import Answer
from pewterring.transport.lines import Channel, LineServer, LinkPool, Message, MessageCodec, TransportError

GROUP = "control"
FIRST_TAG = "seed"  # of the first voters, whose names all must know
TICK_S = 0.2  # between checks of what the leader has to do
JOIN_S = 0.5  # between wishes to join

MESSAGES = (*CONSENSUS_MESSAGES, *FEED_MESSAGES, *CONTROL_MESSAGES)


class ControlProgram:
    """Wires the parts together; `start` and `stop` are called once each.

    `on_failure` is called when the member stopped, such as when its disk failed: the process is of no more
    use then.
    """

    def __init__(self, settings: NodeSettings, on_failure: Callable[[Exception], None] | None = None) -> None:
        if settings.data_dir is None:
            raise SettingsError("data_dir is missing")
        if settings.control is None:
            raise SettingsError("listen_addrs.control is missing")
        self._settings = settings
        self._on_failure = on_failure
        self._clock = time.monotonic
        needed = voters_needed(settings.tolerated_machines)
        self._member, storage = open_storage(settings, settings.data_dir)
        codec = MessageCodec(MESSAGES, settings.cluster)
        self._links = LinkPool(codec, settings.internal_port, rng=random.Random(), source_ip=settings.ip)
        self._lines = LineServer(codec, self._on_message)
        self._state = ControlState(on_change=self._on_change)
        self._group = ReplicatedGroup(
            group=GROUP,
            member=self._member,
            storage=storage,
            machine=self._state,
            send=self._send,
            timing=RaftTiming(),
            rng=random.Random(),
            clock=self._clock,
            on_leadership=self._on_leadership,
            on_farewell=self._on_farewell,
            on_failure=self._on_group_failure,
        )
        self._leadership = GroupLeadership(self._group, self._clock)
        nodes = NodeTable()
        publisher = FeedPublisher(self._state, nodes)
        registry = WorkerRegistry(self._state.workers, self._state.departed, settings.heartbeat_s)
        desk = RetirementDesk(self._state, nodes, self._leadership, needed)
        planner = MembershipPlanner(
            self._member, settings.tolerated_machines, settings.bounds.catch_up_s, keeps_spares=True
        )
        self._joins = JoinRequests()
        bounds = settings.bounds
        self._duties = LeaderTasks(
            self._state,
            nodes,
            registry,
            publisher,
            desk,
            needed,
            report_s=min(bounds.config_s, bounds.drain_s),
        )
        self._runner = LeaderTaskRunner(self._duties, planner, self._joins, self._group, self._leadership)
        self._feed = FeedServer(publisher, nodes, self._leadership, codec, self._leader_ip, self._clock)
        service = ControlService(self._state, registry, desk, self._leadership, self._clock)
        self._pauses = PauseDetector(self._clock)
        self._router = CallRouter(
            service.handle,
            self._leader_ip,
            self._request,
            settings.ip,
            self._leadership,
            self._pauses.was_paused,
        )
        self._http = ApiServer(ControlApi(self._router.answer), settings.control)
        self._duty: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all parts; returns once it listens."""
        await self._lines.start(self._settings.ip, self._settings.internal_port)
        await self._group.start()
        await self._http.start()
        duties = (self._pauses.run(), self._tick_forever(), self._join_forever())
        self._tasks = [asyncio.create_task(duty) for duty in duties]
        logger.info("control started as {}", self._member)

    def reload(self, settings: NodeSettings) -> None:
        """Takes settings that have changed: a member that is not a voter asks other seeds to be admitted."""
        self._settings = settings

    async def drain(self) -> None:
        """Hands the leadership over before a planned stop, and the vote where a learner is there to take it.

        Calls are passed on to the leader meanwhile.
        """
        if self._group.is_leader:
            logger.info("hands the leadership of control over in term {}", self._group.term)
        with contextlib.suppress(ConsensusError):
            await self._group.hand_over_leadership()
            if self._group.membership.learners:
                await self._group.leave(LEAVE_PART * self._settings.bounds.grace_s)

    async def stop(self) -> None:
        """Ends calls that are open, then all parts."""
        await self._http.stop()
        self._leadership.ready = False
        for task in (*self._tasks, self._duty):
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self._feed.end_sessions()
        await self._group.stop()
        await self._lines.stop()
        self._links.close()

    # Messages

    def _on_message(self, channel: Channel, message: Message) -> Answer | Awaitable[Answer]:
        match message:
            case Renew():
                return self._feed.renew(channel, message)
            case Subscribe():
                return self._feed.subscribe(channel, message)
            case RelayedCall():
                return self._router.answer_relayed(message)
            case JoinGroup():
                self._on_join(message)
            case _ if isinstance(message, CONSENSUS_MESSAGES):
                self._on_consensus(message)
        return None

    def _on_consensus(self, message: ConsensusMessage) -> None:
        self._group.receive(message)

    def _on_join(self, message: JoinGroup) -> None:
        if self._leadership.ready:
            self._joins.ask(self._clock(), message.member)
        elif not message.forwarded and self._leader_ip() not in ("", self._settings.ip):
            self._links.send(self._leader_ip(), JoinGroup(message.member, forwarded=True))

    def _send(self, message: ConsensusMessage) -> None:
        self._links.send(address_of(message.target), message)

    async def _request(self, ip: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        try:
            return await self._links.request(ip, message, timeout_s)
        except TransportError as error:
            raise RelayError from error

    def _leader_ip(self) -> str:
        return address_of(self._group.leader or "")

    # Leadership

    def _on_change(self) -> None:
        self._feed.publish_soon()

    def _on_leadership(self, leads: bool) -> None:
        self._leadership.ready = leads
        if not leads:
            self._feed.end_sessions()
            return
        self._runner.start(self._clock())
        logger.info("leads control in term {}", self._group.term)

    def _on_farewell(self) -> None:
        """A voter leaves: its place is filled now, not at the next tick."""
        if self._leadership.has_lease and (self._duty is None or self._duty.done()):
            self._duty = asyncio.create_task(self._runner.change_members(self._clock()))

    def _on_group_failure(self, error: Exception) -> None:
        logger.error("the control group stopped here: {}", error)
        if self._on_failure is not None:
            self._on_failure(error)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if not self._leadership.has_lease:
                continue
            now = self._clock()
            self._duties.observe(now, self._group.membership)
            self._feed.publish_nodes()
            if self._duty is None or self._duty.done():
                self._duty = asyncio.create_task(self._runner.run_once(now))

    # Joining

    async def _join_forever(self) -> None:
        while True:
            if not self._is_voter():
                for ip in sorted(self._control_ips() - {self._settings.ip}):
                    self._links.send(ip, JoinGroup(self._member))
            await asyncio.sleep(JOIN_S)

    def _is_voter(self) -> bool:
        """Whether this member counts, as far as it knows. One that was removed meanwhile hears no leader."""
        return self._group.leader is not None and self._member in self._group.membership.voters

    def _control_ips(self) -> set[str]:
        return {seed.ip for seed in self._settings.seeds} | controls_of(self._group.membership)


def open_storage(settings: NodeSettings, data_dir: Path) -> tuple[str, DiskGroupStorage]:
    """The member's name and its storage. At the first start of all, the seeds are the first voters."""
    seeds = sorted({seed.ip for seed in settings.seeds})
    is_first = settings.bootstrap and settings.ip in seeds
    disk = FolderDisk(data_dir)
    member = member_name(data_dir, settings.ip, disk, tag=FIRST_TAG if is_first else None)
    storage = DiskGroupStorage(disk, GROUP)
    if is_first and member == f"{settings.ip}#{FIRST_TAG}":
        storage.load()
        storage.initialize(Membership(tuple(f"{seed}#{FIRST_TAG}" for seed in seeds)))
    return member, storage
