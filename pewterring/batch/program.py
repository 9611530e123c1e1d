"""The store: keeps batch partitions, answers gateways, and runs items where it leads.

Owns the data folder, the connections to other stores and to workers, and every task of the process. What may
go wrong: the data folder cannot be read or is full at the start (it waits for free disk space), or a group
stops because its disk failed (`on_failure` ends the process).
"""

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from loguru import logger

from pewterring.admission.datagram import BATCH
from pewterring.admission.digests import Totals
from pewterring.admission.shares import BEAT_S
from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.dispatch import AdmissionDispatcher
from pewterring.batch.errors import StoreSettingsError
from pewterring.batch.messages import BATCH_MESSAGES, NotLeading
from pewterring.batch.partition import Partition, StoreEnvironment
from pewterring.batch.runner import HttpItemRunner
from pewterring.batch.service import batch_call
from pewterring.batch.state import Clock
from pewterring.consensus.backpressure import retry_while_full
from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage, Membership
from pewterring.distribution.messages import FEED_MESSAGES, STORE, GroupStatus, NodeRecord
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.routing.chooser import WorkerChooser
from pewterring.routing.heartbeats import AdmissionHeartbeats
from pewterring.storage.disk import FolderDisk
from pewterring.storage.identity import member_name
from pewterring.storage.log import SEGMENT_SUFFIX
from pewterring.storage.snapshots import SNAPSHOT_SUFFIX
from pewterring.transport.channel import Answer
from pewterring.transport.http_client import WorkerPool
from pewterring.transport.lines import Channel, LineServer, LinkPool, Message, MessageCodec

MEMBERSHIP_CHECK_PERIOD_S = 0.1  # between checks of the groups' members: far below their catch-up time
INCARNATION_BYTES = 8  # of randomness in the name of this incarnation of the process


class StoreProgram:
    """One process of the store: `start`, then maybe `drain`, then `stop`. Owns all tasks of the process.

    `on_failure` is called when a group stopped, as when its disk failed: the process must be restarted then.
    """

    def __init__(
        self,
        settings: NodeSettings,
        on_failure: Callable[[Exception], None] | None = None,
        clock: Clock = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        if settings.data_dir is None:
            raise StoreSettingsError(
                "data_dir is missing: a store needs a disk; set it in the node's settings"
            )
        self._settings = settings
        self._data_dir: Path = settings.data_dir
        self._on_failure = on_failure
        self._clock = clock
        self._rng = rng or random.Random()
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._member = ""
        self._partitions: dict[str, Partition] = {}
        self._groups_on_disk: set[str] = set()
        self._starting: dict[str, asyncio.Task[None]] = {}
        self._membership_task: asyncio.Task[None] | None = None
        codec = MessageCodec((*CONSENSUS_MESSAGES, *BATCH_MESSAGES, *FEED_MESSAGES), settings.cluster)
        self._server = LineServer(codec, self._on_message)
        self._links = LinkPool(
            codec, settings.internal_port, self._on_message, rng=self._rng, source_ip=settings.ip
        )
        self._workers = WorkerPool()
        self.feed = FeedSubscriber(
            settings,
            codec,
            NodeReport(self._node_record, self._status),
            self._on_tables,
            FeedEnvironment(self._rng, clock),
        )
        self._chooser = WorkerChooser(settings.zone, self._rng, self._workers.is_connected)
        self._admissions = BatchAdmissions(self._rng)
        self._heartbeats = AdmissionHeartbeats(
            settings.ip, settings.internal_port, BATCH, self._on_heartbeat, self._on_totals
        )
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._dispatcher = AdmissionDispatcher(
            lambda: self.feed.tables, self._chooser, self._admissions, clock
        )

    async def start(self) -> None:
        """Loads the partitions on disk, listens, and follows the control leader."""
        self._member = await retry_while_full("the store", self._read_name)
        logger.bind(event="store_starting", node_id=self._settings.node_id, member=self._member).info(
            "The store starts."
        )
        self._groups_on_disk = self._groups_with(SEGMENT_SUFFIX)
        for name in sorted(self._groups_with(SNAPSHOT_SUFFIX)):
            await self._add_partition(name, None)
        await self._server.start(self._settings.ip, self._settings.internal_port)
        await self._heartbeats.start()
        await self.feed.start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        self._membership_task = asyncio.create_task(self._manage_memberships())

    async def _read_name(self) -> str:
        return member_name(self._data_dir, self._settings.ip)

    async def drain(self) -> None:
        """Gives up the votes of this store before a planned stop; it serves as a member meanwhile."""
        await asyncio.gather(*(partition.drain() for partition in self._partitions.values()))

    async def stop(self) -> None:
        """Stops everything; what is on disk stays."""
        for periodic in (self._membership_task, self._heartbeat_task):
            if periodic is not None:
                periodic.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await periodic
        for task in self._starting.values():
            task.cancel()
        await self.feed.stop()
        for partition in self._partitions.values():
            await partition.stop()
        self._heartbeats.close()
        self._workers.close()
        self._links.close()
        await self._server.stop()

    # Messages

    def _on_message(self, _channel: Channel, message: Message) -> Answer | Awaitable[Answer]:
        if isinstance(message, ConsensusMessage):
            self._on_consensus(message)
            return None
        call = batch_call(message)
        if call is None:
            return None
        partition = next(iter(self._partitions.values()), None)
        if partition is None:
            return NotLeading(leader="")
        return partition.service.handle(call)

    def _on_consensus(self, message: ConsensusMessage) -> None:
        if message.target != self._member:
            return  # for an earlier member at this address
        partition = self._partitions.get(message.group)
        if partition is not None:
            partition.group.receive(message)
            return
        known = {placement.group for placement in self.feed.tables.placements}
        if message.group in known | self._groups_on_disk:
            self._begin(message.group, None)

    def _send(self, message: ConsensusMessage) -> None:
        self._links.send(address_of(message.target), message)

    # Partitions

    def _groups_with(self, suffix: str) -> set[str]:
        """Groups with such files on disk.

        One without a snapshot may not know its first voters yet: it starts when tables name them, or when
        members of its group send messages.
        """
        names = FolderDisk(self._data_dir).names()
        return {name.partition(".")[0] for name in names if name.endswith(suffix)}

    def _begin(self, name: str, first_voters: Membership | None) -> None:
        """Starts a partition in the background, unless it is there."""
        if name in self._partitions or name in self._starting:
            return
        task = asyncio.get_running_loop().create_task(self._add_partition(name, first_voters))
        self._starting[name] = task
        task.add_done_callback(lambda done: self._partition_started(name, done))

    def _partition_started(self, name: str, task: "asyncio.Task[None]") -> None:
        self._starting.pop(name, None)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            self._on_group_failure(error)

    async def _add_partition(self, name: str, first_voters: Membership | None) -> None:
        partition = Partition(name, self._data_dir, self._environment())
        await partition.start(first_voters)
        self._partitions[name] = partition

    def _environment(self) -> StoreEnvironment:
        return StoreEnvironment(
            settings=self._settings,
            member=self._member,
            tables=lambda: self.feed.tables,
            confirmed_age=self.feed.confirmed_age,
            dispatcher=self._dispatcher,
            runner=HttpItemRunner(self._workers, self._dispatcher.load_reported),
            send=self._send,
            clock=self._clock,
            rng=self._rng,
            on_failure=self._on_group_failure,
        )

    def _on_group_failure(self, error: Exception) -> None:
        logger.bind(event="partition_failed", error=str(error)).error(
            "A partition has stopped in this store and does not come back before a restart."
        )
        if self._on_failure is not None:
            self._on_failure(error)

    async def _manage_memberships(self) -> None:
        while True:
            await asyncio.sleep(MEMBERSHIP_CHECK_PERIOD_S)
            for partition in tuple(self._partitions.values()):
                try:
                    await partition.manage_members()
                except Exception:  # noqa: BLE001 - the task's edge: other partitions and later checks go on
                    logger.bind(event="membership_check_failed", group=partition.name).exception(
                        "Checking the members of a partition failed; the next check tries again."
                    )

    # Admission heartbeats

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            heartbeats = self._admissions.tick(self._clock())
            self._heartbeats.send(heartbeats, self.feed.tables.nodes)

    def _on_heartbeat(self, kind: int, peer: int, number: int, heartbeat: bytes) -> None:
        self._admissions.hear(self._clock(), kind, peer, number, heartbeat)

    def _on_totals(self, number: int, totals: Totals) -> None:
        self._admissions.hear_totals(self._clock(), number, totals)

    # The feed

    def _node_record(self) -> NodeRecord:
        settings = self._settings
        return NodeRecord(
            settings.node_id, STORE, settings.ip, settings.zone, self._incarnation, self._member
        )

    def _status(self) -> GroupStatus | None:
        statuses = (partition.status() for partition in self._partitions.values())
        return next((status for status in statuses if status is not None), None)

    def _on_tables(self, old: Tables, new: Tables) -> None:
        for placement in new.placements:
            if self._member in placement.voters:
                self._begin(placement.group, Membership(placement.voters))
        if new.workers is not old.workers or new.configuration is not old.configuration:
            self._chooser.update(new.workers, new.configuration)
        self._admissions.update(self._clock(), new, self._chooser)
        gone = {worker.address for worker in old.workers.values()}
        gone -= {worker.address for worker in new.workers.values()}
        for address in gone:
            self._workers.close_address(address)
        for partition in self._partitions.values():
            partition.service.tables_changed()
