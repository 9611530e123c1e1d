"""One member of a replicated group, for its owner: proposals, reads, membership and planned stops.

The work is done by `raft_driver`; what the group decides by is `raft`. A call that needs the leader raises
`NotLeaderError` elsewhere; once the member has failed, every call raises `GroupFailedError`.
"""

import asyncio
import contextlib

from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.messages import ConsensusMessage, DepartureAck, DepartureNotice, Membership
from pewterring.consensus.raft_driver import RaftDriver


class ReplicatedGroup:
    """One member of one group. It runs on the event loop, from `start` to `stop` or to a failure."""

    driver_class = RaftDriver  # a subclass may observe the work by another driver

    def __init__(
        self,
        group: str,
        member: str,
        environment: GroupEnvironment,
        options: GroupOptions | None = None,
        callbacks: GroupCallbacks | None = None,
    ) -> None:
        self.group = group
        self.member = member
        self._clock = environment.clock
        self._options = options or GroupOptions()
        self._callbacks = callbacks or GroupCallbacks()
        self._driver = self.driver_class(group, member, environment, self._options, self._callbacks)
        self._departure_acknowledged = asyncio.Event()

    async def start(self) -> None:
        """Reads the storage and takes part in the group; waits while the disk is full.

        Raises:
            GroupFailedError: if the storage or the snapshot in it cannot be read.
        """
        await self._driver.start()

    async def stop(self) -> None:
        """Takes part no longer. A save under way is finished; open calls end with `OutcomeUnknownError`."""
        await self._driver.stop()

    @property
    def is_started(self) -> bool:
        """Whether the storage has been read."""
        return self._driver.raft is not None

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and has applied all that earlier leaders committed."""
        driver = self._driver
        raft = driver.raft
        return (
            raft is not None
            and driver.leadership.term == raft.term
            and raft.is_leader
            and not driver.is_stopped
        )

    @property
    def led_term(self) -> int | None:
        """The term for which the owner was last notified that this member leads; None where it does not."""
        return self._driver.leadership.term

    @property
    def leader(self) -> str | None:
        """The leader's member name, if known."""
        raft = self._driver.raft
        return raft.leader if raft is not None and not self._driver.is_stopped else None

    @property
    def term(self) -> int:
        """The current term."""
        raft = self._driver.raft
        return raft.term if raft is not None else 0

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        raft = self._driver.raft
        return raft.commit_index if raft is not None else 0

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine has applied."""
        raft = self._driver.raft
        return raft.applied_index if raft is not None else 0

    @property
    def membership(self) -> Membership:
        """The membership in force, which may not be committed yet."""
        raft = self._driver.raft
        return raft.membership if raft is not None else Membership(voters=())

    @property
    def membership_is_committed(self) -> bool:
        """Whether the membership in force can no longer be taken back."""
        raft = self._driver.raft
        return raft is not None and raft.membership_is_committed

    def match(self, member: str) -> int:
        """Returns the last index that `member` has on disk, as far as this leader knows; 0 elsewhere."""
        raft = self._driver.raft
        return raft.match(member) if raft is not None else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Returns for how long `member` has answered no heartbeat of this leadership; 0 elsewhere."""
        raft = self._driver.raft
        return raft.seconds_since_contact(member, now) if raft is not None else 0.0

    def is_departing(self, member: str) -> bool:
        """Whether `member` has announced to this leader that its process is about to end; False elsewhere."""
        raft = self._driver.raft
        return raft is not None and raft.is_departing(member)

    def has_lease(self, now: float) -> bool:
        """Whether this member leads, has applied what was committed before, and no other leads at `now`."""
        raft = self._driver.raft
        return self.is_leader and raft is not None and raft.has_lease(now)

    @property
    def newest_round(self) -> tuple[int, int]:
        """The current term, and the newest heartbeat round that its leader is known to have sent in it."""
        raft = self._driver.raft
        return (raft.term, raft.newest_round) if raft is not None else (0, 0)

    def is_recent_round(self, term: int, number: int, now: float) -> bool:
        """Whether this member leads in `term` and sent that round within the longest election time-out."""
        raft = self._driver.raft
        return self.is_leader and raft is not None and raft.is_recent_round(term, number, now)

    def receive(self, message: ConsensusMessage) -> None:
        """Takes a message of another member."""
        if not self._driver.receive(message):
            return
        if isinstance(message, DepartureAck):
            self._departure_acknowledged.set()
        if isinstance(message, DepartureNotice) and self.is_leader:
            self._callbacks.on_departure()

    async def propose(self, command: bytes) -> object:
        """Replicates a command, JSON on one line, and returns what applying it here returned.

        Raises:
            NotLeaderError: nothing was done; the error names the leader, if known.
            TooManyUncommittedError: nothing was done; it may succeed once others are committed.
            OutcomeUnknownError: leadership was lost meanwhile; the command may still be committed.
        """
        index, term = self._driver.running().propose(command)
        self._driver.schedule()
        return await self._driver.pending.proposal(index, term)

    async def change_membership(self, membership: Membership) -> None:
        """Replicates a change of membership.

        Raises:
            MembershipRejectedError: nothing was done; the change is not allowed, or not now.
            NotLeaderError: nothing was done.
            OutcomeUnknownError: leadership was lost meanwhile; the change may still be committed.
        """
        index, term = self._driver.running().propose_membership(membership)
        self._driver.schedule()
        await self._driver.pending.proposal(index, term)

    async def transfer_leadership(self) -> None:
        """Has another voter elected; returns when this member leads no longer, at once where it doesn't.

        Commands are rejected from then on. It takes some messages, or the shortest election time-out where
        no successor can be had. The only voter goes on leading.
        """
        if not self._driver.running().transfer_leadership(self._clock()):
            return
        ended = self._driver.pending.end_of_leadership()
        self._driver.schedule()
        await ended

    async def depart(self, timeout_s: float) -> None:
        """Ends the membership of a process that is about to end, as far as another can take its place.

        Transfers the leadership, and announces the departure until the leader has taken the vote away, for
        `timeout_s` at most. The member answers and counts like any other meanwhile.
        """
        ends_at = self._clock() + timeout_s
        while not self._driver.running().has_departed and (left_s := ends_at - self._clock()) > 0.0:
            await self.transfer_leadership()
            if self.is_leader:
                return  # nobody else votes
            self._driver.running().announce_departure()
            self._driver.schedule()
            await self._wait_for_acknowledgement(min(self._options.timing.heartbeat_s, left_s))

    async def _wait_for_acknowledgement(self, timeout_s: float) -> None:
        self._departure_acknowledged.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._departure_acknowledged.wait()

    async def read_barrier(self) -> None:
        """Returns when the state machine has applied all that was committed before the call.

        Returns at once while the lease holds.

        Raises:
            NotLeaderError: this member does not lead, or no longer does.
        """
        driver = self._driver
        raft = driver.running()
        ticket = raft.request_read(self._clock())
        if ticket.index is None:
            driver.schedule()
            await driver.pending.read(raft.term, ticket.number)
        elif ticket.index > raft.applied_index:
            driver.process()
            driver.running()
