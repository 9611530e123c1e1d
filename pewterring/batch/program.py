"""The store program: hosts batch partitions, answers gateways, and runs items of partitions that it leads.

Owns the data folder, the connections to other stores and to workers, and every task of the process. What may
go wrong: the data folder cannot be read, or is full at the start (the store waits for free space), or a group
stops because its disk failed (`on_failure` ends the process).
"""

import random
import secrets
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from loguru import logger

from pewterring.batch.errors import StoreSettingsError
from pewterring.batch.messages import BATCH_MESSAGES, NotLeading
from pewterring.batch.partition import StoreEnvironment
from pewterring.batch.partitions import StorePartitions
from pewterring.batch.service import batch_call
from pewterring.batch.state import Clock
from pewterring.batch.worker_access import WorkerAccess
from pewterring.consensus.backpressure import retry_while_full
from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import CONSENSUS_MESSAGES, ConsensusMessage
from pewterring.distribution.messages import FEED_MESSAGES, STORE, GroupStatus, NodeRecord
from pewterring.distribution.subscriber import FeedEnvironment, FeedSubscriber, NodeReport
from pewterring.distribution.tables import Tables
from pewterring.node.settings import NodeSettings
from pewterring.storage.identity import member_name
from pewterring.transport.channel import Answer
from pewterring.transport.lines import Channel, LineServer, LinkPool, Message, MessageCodec

INCARNATION_BYTES = 8  # random bytes in the name of this incarnation of the process


class StoreProgram:
    """One process of the store. Call `start`, then `drain` before a planned stop, then `stop`.

    Args:
        settings: The settings of this node.
        on_failure: Called when a group has stopped because of an error, such as a disk failure. The process
            must be restarted then.
        clock: Returns the monotonic time in seconds.
        rng: The source of randomness; tests pass one with a seed.

    Raises:
        StoreSettingsError: The settings name no data folder.
    """

    def __init__(
        self,
        settings: NodeSettings,
        on_failure: Callable[[Exception], None] | None = None,
        clock: Clock = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._data_dir = _data_dir(settings)
        self._settings = settings
        self._on_failure = on_failure
        self._clock = clock
        self._rng = rng or random.Random()
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._member = ""
        codec = MessageCodec((*CONSENSUS_MESSAGES, *BATCH_MESSAGES, *FEED_MESSAGES), settings.cluster)
        self._server = LineServer(codec, self._on_message)
        self._links = LinkPool(
            codec, settings.internal_port, self._on_message, rng=self._rng, source_ip=settings.ip
        )
        self.feed = FeedSubscriber(
            settings,
            codec,
            NodeReport(self._node_record, self._status),
            self._on_tables,
            FeedEnvironment(self._rng, clock),
        )
        self._workers = WorkerAccess(settings, lambda: self.feed.tables, clock, self._rng)
        self.partitions = StorePartitions(self._data_dir, self._environment)

    async def start(self) -> None:
        """Loads the partitions on disk, listens, and subscribes to the feed of the control leader.

        Raises:
            StorageError: The files of this store cannot be read.
            OSError: An address is in use.
        """
        self._member = await retry_while_full("the store", self._read_name)
        logger.bind(event="store_starting", node_id=self._settings.node_id, member=self._member).info(
            "The store starts."
        )
        await self.partitions.load()
        await self._server.start(self._settings.ip, self._settings.internal_port)
        await self._workers.listen()
        await self.feed.start()
        self._workers.start_heartbeats()
        self.partitions.start_membership_checks()

    async def _read_name(self) -> str:
        return member_name(self._data_dir, self._settings.ip)

    def reload(self, settings: NodeSettings) -> None:
        """Applies changed settings: new seeds are contacted from the next search for control on."""
        self.feed.reload(settings)

    async def drain(self) -> None:
        """Gives up leadership and votes of this store before a planned stop. It still serves meanwhile."""
        await self.partitions.drain()

    async def stop(self) -> None:
        """Stops all partitions, tasks and connections. The files on disk remain."""
        await self.partitions.stop_membership_checks()
        await self._workers.stop_heartbeats()
        self.partitions.cancel_starts()
        await self.feed.stop()
        await self.partitions.stop()
        self._workers.close()
        self._links.close()
        await self._server.stop()

    # Messages

    def _on_message(self, _channel: Channel, message: Message) -> Answer | Awaitable[Answer]:
        if isinstance(message, ConsensusMessage):
            if message.target == self._member:  # otherwise the message is for a former member here
                self.partitions.receive(message, self.feed.tables.placements)
            return None
        call = batch_call(message)
        if call is None:
            return None
        partition = next(iter(self.partitions), None)
        if partition is None:
            return NotLeading(leader="")
        return partition.service.handle(call)

    def _send(self, message: ConsensusMessage) -> None:
        self._links.send(address_of(message.target), message)

    # Partitions

    def _environment(self) -> StoreEnvironment:
        return StoreEnvironment(
            settings=self._settings,
            member=self._member,
            tables=lambda: self.feed.tables,
            confirmed_age=self.feed.confirmed_age,
            dispatcher=self._workers.dispatcher,
            runner=self._workers.runner,
            send=self._send,
            clock=self._clock,
            rng=self._rng,
            on_failure=self._on_group_failure,
        )

    def _on_group_failure(self, error: Exception) -> None:
        logger.bind(event="partition_failed", error=str(error)).error(
            "A partition has stopped in this store and stays stopped until the store is restarted."
        )
        if self._on_failure is not None:
            self._on_failure(error)

    # The feed

    def _node_record(self) -> NodeRecord:
        settings = self._settings
        return NodeRecord(
            settings.node_id, STORE, settings.ip, settings.zone, self._incarnation, self._member
        )

    def _status(self) -> GroupStatus | None:
        return self.partitions.status()

    def _on_tables(self, old: Tables, new: Tables) -> None:
        for placement in new.placements:
            if self._member in placement.voters:
                self.partitions.ensure_placed(placement)
        self._workers.tables_changed(old, new)
        self.partitions.tables_changed()


def _data_dir(settings: NodeSettings) -> Path:
    if settings.data_dir is None:
        raise StoreSettingsError("data_dir is missing: a store needs a disk; set it in the node's settings")
    return settings.data_dir
