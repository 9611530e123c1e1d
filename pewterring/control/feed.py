"""The leader's side of the feed over channels: answers requests of nodes and pushes changes to them.

Manages the channels of the sessions; `FeedPublisher` manages versions and content. The channel of a node that
does not read is aborted, so that its backlog cannot grow without limit. All sessions end with the leadership.
"""

import asyncio
from collections.abc import Awaitable, Callable

from pewterring.control.leadership import GroupLeadership
from pewterring.control.nodes import NodeTable
from pewterring.control.publisher import FeedPublisher
from pewterring.distribution.messages import (
    ANSWER_TIMEOUT_S,
    CompleteTables,
    Redirect,
    Renew,
    Renewed,
    Subscribe,
    TableChanges,
)
from pewterring.transport.lines import Channel, MessageCodec

MAX_LARGE_ANSWERS = 8  # that are being sent at a time; each is a line of its own of several megabytes
SENT_CHECK_INTERVAL_S = 0.01
SENT_CHECKS = round(ANSWER_TIMEOUT_S / SENT_CHECK_INTERVAL_S)  # then the node asks anew


class FeedServer:
    """Serves the feed with one channel per session. All methods are called on the event loop."""

    def __init__(
        self,
        publisher: FeedPublisher,
        nodes: NodeTable,
        leadership: GroupLeadership,
        codec: MessageCodec,
        clock: Callable[[], float],
    ) -> None:
        self._publisher = publisher
        self._nodes = nodes
        self._leadership = leadership
        self._codec = codec
        self._clock = clock
        self._channels: set[Channel] = set()
        self._publication_due = False
        self._turn = asyncio.Lock()
        self._large_answers = asyncio.Semaphore(MAX_LARGE_ANSWERS)
        self._releases: set[asyncio.Task[None]] = set()

    def answer_subscribe(
        self, channel: Channel, message: Subscribe
    ) -> CompleteTables | Redirect | Awaitable[CompleteTables | Redirect]:
        """Answers a subscription; of those that need a large configuration, one a turn of the event loop."""
        if self._leadership.has_lease and self._publisher.sends_large_document(message.configuration):
            return self._subscribe_in_turn(channel, message)
        return self.subscribe(channel, message)

    async def _subscribe_in_turn(self, channel: Channel, message: Subscribe) -> CompleteTables | Redirect:
        """Waits for the turn of this session, and for one of the few places of answers that are being sent.

        A change may be pushed before the answer is; the node then subscribes anew, and names what it has.
        """
        await self._large_answers.acquire()
        try:
            async with self._turn:
                await asyncio.sleep(0)
            return Redirect("") if channel.closed else self.subscribe(channel, message)
        finally:
            # Its first check comes after the answer has been passed to the channel.
            release = asyncio.create_task(self._release_when_sent(channel))
            self._releases.add(release)
            release.add_done_callback(self._releases.discard)

    async def _release_when_sent(self, channel: Channel) -> None:
        """Frees the place of an answer once it has left; ends the session if its node waits no longer."""
        try:
            for _ in range(SENT_CHECKS):
                await asyncio.sleep(SENT_CHECK_INTERVAL_S)
                if channel.closed or not channel.unsent_bytes:
                    return
            channel.abort()
        finally:
            self._large_answers.release()

    def subscribe(self, channel: Channel, message: Subscribe) -> CompleteTables | Redirect:
        """Opens a session, or redirects if this machine has no lease.

        The answer must be sent before any other message on this channel.
        """
        if not self._leadership.has_lease:
            return Redirect(self._other_leader_ip())
        self._nodes.observe(self._clock(), message.node)
        self.publish_state()
        if channel not in self._channels:
            self._channels.add(channel)
            channel.on_close.append(self._on_channel_close)
        return self._publisher.open(channel, message.configuration)

    def renew(self, channel: Channel, message: Renew) -> Renewed | Redirect:
        """Confirms the published versions; redirects a node without a session, which must subscribe again."""
        if not self._leadership.has_lease:
            return Redirect(self._other_leader_ip())
        self._nodes.observe(self._clock(), message.node)
        if message.status is not None:
            self._publisher.record_report(self._clock(), message.status)
        self.publish_state()
        return self._publisher.renew(channel) or Redirect(self._leadership.leader_ip)

    def publish_soon(self) -> None:
        """Schedules one publication after all currently committed commands have been applied."""
        if not self._publication_due and self._leadership.ready:
            self._publication_due = True
            asyncio.get_running_loop().call_soon(self._publish_due)

    def publish_state(self) -> None:
        """Pushes changes of configuration, workers, placements and decommissioned stores."""
        self._push(self._publisher.take_state_changes())

    def publish_nodes(self) -> None:
        """Pushes changes of nodes, partition leaders and control machines."""
        self._push(self._publisher.take_node_changes())

    def end_sessions(self) -> None:
        """Closes all sessions; their nodes then look for the leader."""
        for channel in tuple(self._channels):
            channel.close()

    def _publish_due(self) -> None:
        self._publication_due = False
        if self._leadership.ready:
            self.publish_state()

    def _push(self, changes: TableChanges | None) -> None:
        if changes is None:
            return
        line = self._codec.line(changes)  # encoded once for all sessions
        for channel in tuple(self._channels):
            if not channel.send_line(line):
                channel.abort()

    def _on_channel_close(self, channel: Channel) -> None:
        self._channels.discard(channel)
        self._publisher.close(channel)

    def _other_leader_ip(self) -> str:
        """The IP of another machine that leads; empty if this machine leads but has no lease at present."""
        return "" if self._leadership.ready else self._leadership.leader_ip
