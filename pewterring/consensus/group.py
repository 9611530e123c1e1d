"""The public interface of one member of a replicated group: proposals, reads, membership, planned stops.

`raft` implements the consensus algorithm, `raft_driver` its I/O. On a member that is not the leader, calls
that need the leader raise `NotLeaderError`; once the member has failed, every call raises `GroupFailedError`.
"""

import asyncio
import contextlib

from pewterring.consensus.group_environment import GroupCallbacks, GroupEnvironment, GroupOptions
from pewterring.consensus.messages import ConsensusMessage, DepartureAck, DepartureNotice, Membership
from pewterring.consensus.raft_driver import RaftDriver


class ReplicatedGroup:
    """One member of one group. It runs on the event loop from `start` until `stop` or a failure."""

    driver_class = RaftDriver  # subclasses may use another driver, to observe its work

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
        """Loads the stored state and begins to take part in the group; waits while the disk is full.

        Raises:
            GroupFailedError: if the storage or the snapshot in it cannot be read.
        """
        await self._driver.start()

    async def stop(self) -> None:
        """Stops this member, which keeps its vote; pending calls raise `OutcomeUnknownError`.

        A save in progress is finished.
        """
        await self._driver.stop()

    @property
    def is_started(self) -> bool:
        """Whether the stored state has been loaded."""
        return self._driver.raft is not None

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and has applied all entries that earlier leaders committed."""
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
        """The led term that `on_leadership` last announced; None if this member does not lead."""
        return self._driver.leadership.term

    @property
    def leader(self) -> str | None:
        """The member name of the current leader, if known."""
        raft = self._driver.raft
        return raft.leader if raft is not None and not self._driver.is_stopped else None

    @property
    def term(self) -> int:
        """The current term; 0 before the start."""
        raft = self._driver.raft
        return raft.term if raft is not None else 0

    @property
    def commit_index(self) -> int:
        """Index of the last log entry known to be committed; 0 before the start."""
        raft = self._driver.raft
        return raft.commit_index if raft is not None else 0

    @property
    def applied_index(self) -> int:
        """Index of the last log entry that the state machine has applied; 0 before the start."""
        raft = self._driver.raft
        return raft.applied_index if raft is not None else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry in this member's log, committed or not; 0 before the start."""
        raft = self._driver.raft
        return raft.last_index if raft is not None else 0

    @property
    def membership(self) -> Membership:
        """The membership in effect, which may not be committed yet; empty before the start."""
        raft = self._driver.raft
        return raft.membership if raft is not None else Membership(voters=())

    @property
    def membership_is_committed(self) -> bool:
        """Whether the membership in effect is committed, so that it can no longer be reverted."""
        raft = self._driver.raft
        return raft is not None and raft.membership_is_committed

    def match(self, member: str) -> int:
        """Returns the last log index known to be on the disk of `member`; 0 if this member does not lead."""
        raft = self._driver.raft
        return raft.match(member) if raft is not None else 0

    def seconds_since_contact(self, member: str, now: float) -> float:
        """Returns the seconds since `member` last answered a heartbeat; 0 if this member does not lead."""
        raft = self._driver.raft
        return raft.seconds_since_contact(member, now) if raft is not None else 0.0

    def is_departing(self, member: str) -> bool:
        """Whether `member` has announced its departure to this leader; False if this member does not lead."""
        raft = self._driver.raft
        return raft is not None and raft.is_departing(member)

    def has_lease(self, now: float) -> bool:
        """Whether this member leads, has applied all earlier entries, and no other can lead at `now`."""
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
        """Handles a message from another member."""
        if not self._driver.receive(message):
            return
        if isinstance(message, DepartureAck):
            self._departure_acknowledged.set()
        if isinstance(message, DepartureNotice) and self.is_leader:
            self._callbacks.on_departure()

    async def propose(self, command: bytes) -> object:
        """Replicates a command, JSON on one line, and returns the result from this member's state machine.

        Raises:
            NotLeaderError: nothing was done; the error names the leader, if known.
            TooManyUncommittedError: nothing was done; a later call may succeed.
            OutcomeUnknownError: the leadership was lost meanwhile; the command may still be committed.
        """
        index, term = self._driver.running().propose(command)
        self._driver.schedule()
        return await self._driver.pending.proposal(index, term)

    async def change_membership(self, membership: Membership) -> None:
        """Replicates a membership change and waits until it is committed.

        Raises:
            MembershipRejectedError: nothing was done; the change is not allowed at present.
            NotLeaderError: nothing was done.
            OutcomeUnknownError: the leadership was lost meanwhile; the change may still be committed.
        """
        index, term = self._driver.running().propose_membership(membership)
        self._driver.schedule()
        await self._driver.pending.proposal(index, term)

    async def transfer_leadership(self) -> None:
        """Transfers the leadership to another voter; returns when this member no longer leads.

        Returns at once if this member does not lead or is the only voter, which remains the leader. Commands
        are rejected during the transfer. It takes a few messages, or the shortest election time-out if no
        voter can take over.
        """
        if not self._driver.running().transfer_leadership(self._clock()):
            return
        ended = self._driver.pending.end_of_leadership()
        self._driver.schedule()
        await ended

    async def depart(self, timeout_s: float) -> None:
        """Has this voter replaced by a learner before its process ends, if a learner can replace it.

        Transfers the leadership, then announces the departure repeatedly until the leader has removed this
        member from the voters, for `timeout_s` at most. Meanwhile the member remains an ordinary voter.
        """
        ends_at = self._clock() + timeout_s
        while not self._driver.running().has_departed and (remaining_s := ends_at - self._clock()) > 0.0:
            await self.transfer_leadership()
            if self.is_leader:
                return  # this member is the only voter
            self._driver.running().announce_departure()
            self._driver.schedule()
            await self._wait_for_acknowledgement(min(self._options.timing.heartbeat_s, remaining_s))

    async def _wait_for_acknowledgement(self, timeout_s: float) -> None:
        self._departure_acknowledged.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._departure_acknowledged.wait()

    async def read_barrier(self) -> None:
        """Returns when the state machine has applied all entries that were committed before the call.

        Returns at once while this member has a valid lease.

        Raises:
            NotLeaderError: this member does not lead, or lost the leadership meanwhile.
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
