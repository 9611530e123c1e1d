"""A simulated group with a membership planner, whose machines lose their disks or stop permanently.

A wiped machine restarts at its address under another member name. The sources of the planner's candidates
(the table of stores, the requests to join) are exact and without delay: only the group itself takes time.
"""

import contextlib
from collections.abc import Callable

from pewterring.batch.partitions import MEMBERSHIP_CHECK_PERIOD_S
from pewterring.consensus.departure import DEPARTURE_TIMEOUT_FRACTION
from pewterring.consensus.errors import ConsensusError
from pewterring.consensus.membership import address_of, voters_needed
from pewterring.consensus.membership_planner import ALL_SPARES, MembershipPlanner
from pewterring.consensus.membership_view import Candidates
from pewterring.consensus.messages import ConsensusMessage, DepartureNotice
from pewterring.consensus.raft import Raft
from pewterring.control.program import LEADER_CHECK_INTERVAL_S
from tests.consensus.simulated_members import TIMING, Member
from tests.consensus.simulation import Simulation

CATCH_UP_S = 4.8
POLL_INTERVAL_S = 0.002  # between checks whether a departing process may end
DOWNTIME_S = 0.5  # from the loss of a machine's disk to its restart
DEPARTURE_TIMEOUT_S = DEPARTURE_TIMEOUT_FRACTION * 8.0  # the setting `grace_s` is 8 seconds


class PlannedSimulation(Simulation):
    """A group of 2f + 1 voters, where f is `tolerated`, and `spares` further machines.

    With `ALL_SPARES` the planner runs at the interval of control, otherwise at that of batch partitions.
    """

    def __init__(
        self,
        seed: int,
        tolerated: int,
        spare_learners: int,
        spares: int = 0,
        raft_class: type[Raft] = Raft,
    ) -> None:
        super().__init__(seed, voters_needed(tolerated), raft_class)
        self.tolerated = tolerated
        self.decommissioning: set[str] = set()
        self.command_count = 0
        self._spare_learners = spare_learners
        self._interval_s = (
            LEADER_CHECK_INTERVAL_S if spare_learners == ALL_SPARES else MEMBERSHIP_CHECK_PERIOD_S
        )
        self._planners: dict[tuple[str, int, int], MembershipPlanner] = {}
        self._wipe_count = 0
        self._disk_created_at = dict.fromkeys(self.members, 0.0)
        for number in range(spares):
            self.join(f"spare{number}")
        self._schedule(self.now + self._interval_s, self._run_periodic_check)

    def join(self, name: str) -> None:
        super().join(name)
        self._disk_created_at[name] = self.now

    # Membership planner

    def _run_periodic_check(self) -> None:
        self._plan_members()
        self._schedule(self.now + self._interval_s, self._run_periodic_check)

    def _plan_members(self) -> None:
        for member in tuple(self.members.values()):
            raft = member.raft
            if raft is None or member.frozen or not raft.is_ready_leader:
                continue
            if raft.has_lease(self._clock(member)):
                self._plan(member, raft)

    def _plan(self, member: Member, raft: Raft) -> None:
        now = self._clock(member)
        leadership = (member.name, member.incarnation, raft.term)
        planner = self._planners.get(leadership)
        if planner is None:
            planner = MembershipPlanner(member.name, self.tolerated, CATCH_UP_S, self._spare_learners)
            planner.start(now, raft)
            self._planners[leadership] = planner
        change = planner.plan(now, raft, self._candidates())
        if change is None:
            return
        with contextlib.suppress(ConsensusError):
            raft.propose_membership(change)
            self._process_ready(member)
        self._schedule(self.now + 0.02, self._plan_members)  # by then the change is committed

    def _candidates(self) -> Candidates:
        alive = [name for name, member in self.members.items() if member.raft is not None]
        current_names = {address_of(name): name for name in alive}
        return Candidates(tuple(current_names.values()), current_names, frozenset(self.decommissioning))

    # Losses of machines and disks

    def oldest_voters(self, count: int = 1) -> list[str]:
        """Returns the `count` voters with the oldest disks."""
        voters = [name for name in self.leader_raft().membership.voters if name in self.members]
        return sorted(voters, key=lambda name: (self._disk_created_at[name], name))[:count]

    def lose_for_good(self, name: str) -> None:
        """Crashes a machine, which never returns."""
        self.crash(name, saves_lost=True)
        del self.members[name]

    def stop_for_good(self, name: str) -> None:
        """Stops a machine; a leader first transfers its leadership, as both programs do on SIGTERM."""
        member = self.members[name]
        if member.raft is not None and member.raft.is_leader:
            member.raft.transfer_leadership(self._clock(member))
            self._process_ready(member)
            self.run(0.1)
        self.lose_for_good(name)

    # Departures

    def _deliver(self, message: ConsensusMessage) -> None:
        super()._deliver(message)
        if isinstance(message, DepartureNotice):
            self._plan_members()  # both programs plan at once after a notice

    def depart(self, name: str) -> Callable[[], bool]:
        """Departs as `ReplicatedGroup.depart` does; returns a predicate: whether the process may end."""
        member = self.members[name]
        incarnation = member.incarnation
        ends_at = self.now + DEPARTURE_TIMEOUT_S

        def may_end() -> bool:
            return self.now >= ends_at or member.raft is None or member.raft.has_departed

        def announce() -> None:
            if member.raft is None or member.incarnation != incarnation or may_end():
                return
            if member.raft.is_leader:
                member.raft.transfer_leadership(self._clock(member))
                self._schedule(self.now + POLL_INTERVAL_S, announce)
            else:
                member.raft.announce_departure()
                self._schedule(self.now + TIMING.heartbeat_s, announce)
            self._process_ready(member)

        announce()
        return may_end

    def depart_for_good(self, name: str) -> float:
        """Departs, then ends the process and loses its disk; returns the duration of the departure."""
        began_at = self.now
        may_end = self.depart(name)
        while not may_end():
            self.run(POLL_INTERVAL_S)
        self.lose_for_good(name)
        return self.now - began_at

    def wipe(self, *names: str) -> None:
        """The machines lose power and their disks at the same time, and restart with empty disks."""
        for name in names:
            self.lose_for_good(name)
        self.run(DOWNTIME_S)
        for name in names:
            self._wipe_count += 1
            self.join(f"{address_of(name)}#{self._wipe_count}")

    # Writes, and waiting for a complete group

    def write(self, seconds: float) -> None:
        """Proposes commands at the leader for `seconds`."""
        end = self.now + seconds
        while self.now < end:
            self.command_count += 1
            self.propose(f"command {self.command_count}")
            self.run(0.02)

    def propose_and_wait(self, text: str) -> None:
        """Proposes a command and runs until it is acknowledged."""
        self.propose(text)
        self.run_until(lambda: text in self.acknowledged)

    def is_complete(self) -> bool:
        """Whether 2f + 1 running voters have all committed entries, and none is decommissioned."""
        name = self.leader()
        if name is None:
            return False
        raft = self.leader_raft()
        voters = raft.membership.voters
        if len(voters) != voters_needed(self.tolerated) or self.decommissioning & set(voters):
            return False
        return raft.membership_is_committed and all(
            voter in self.members and raft.match(voter) >= raft.commit_index for voter in voters
        )

    def run_until_complete(self) -> float:
        """Runs until the group is complete; returns the duration."""
        began_at = self.now
        self.run_until(self.is_complete)
        return self.now - began_at
