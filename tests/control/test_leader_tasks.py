"""The commands that the leader's periodic tasks find due."""

from pewterring.consensus.messages import Membership
from pewterring.control.commands import (
    Command,
    CreateGroup,
    EndDecommissioning,
    PutWorker,
    Result,
    StartDecommissioning,
)
from pewterring.control.leader_state import LeaderState
from pewterring.control.leader_tasks import ZONE_WAIT_S, LeaderTasks
from pewterring.control.state import ControlState
from pewterring.distribution.messages import NodeRecord
from tests.control.records import apply, status, store, worker

MEMBERSHIP = Membership(("10.0.0.1#seed",))
STEP_S = 0.25
REPORT_DELAY_S = 2.0


class Leader:
    """The tasks of a leader whose commands are committed immediately. `live` are the connected nodes."""

    def __init__(self, *live: NodeRecord) -> None:
        self.now = 0.0
        self.live = list(live)
        self.state = ControlState()
        self.tables = LeaderState.of(self.state, self, needed_stores=3, heartbeat_s=1.0)
        self.publisher = self.tables.publisher
        self.tasks = LeaderTasks(self.tables, 3, REPORT_DELAY_S)
        self.tasks.start(self.now, 1, MEMBERSHIP)

    async def propose(self, command: Command) -> Result:
        return apply(self.state, command)

    async def read_barrier(self) -> None:
        pass

    def check_lease(self) -> None:
        pass

    def run(self, seconds: float) -> list[Command]:
        committed: list[Command] = []
        end = self.now + seconds
        while self.now < end:
            for node in self.live:
                self.tables.nodes.observe(self.now, node)
            self.tasks.observe(self.now, MEMBERSHIP)
            commands = self.tasks.due_commands(self.now)
            for command in commands:
                apply(self.state, command)
            committed += commands
            self.now += STEP_S
        return committed


def placements(commands: list[Command]) -> list[CreateGroup]:
    return [command for command in commands if isinstance(command, CreateGroup)]


def test_stores_in_different_zones_are_placed_at_once_and_only_once() -> None:
    leader = Leader(store(1), store(2), store(3))
    assert len(placements(leader.run(STEP_S))) == 1
    assert placements(leader.run(5.0)) == []


def test_stores_of_one_zone_are_placed_after_waiting_for_other_zones() -> None:
    leader = Leader(store(1, "a"), store(2, "a"), store(3, "a"))
    assert placements(leader.run(ZONE_WAIT_S)) == []
    assert len(placements(leader.run(STEP_S))) == 1


def test_too_few_stores_are_not_placed() -> None:
    assert placements(Leader(store(1), store(2)).run(5.0)) == []


def test_nodes_are_committed_when_they_connect_and_disconnect() -> None:
    leader = Leader(store(1), store(2))
    leader.run(1.0)
    assert set(leader.state.nodes) == {"store-1", "store-2"}
    assert leader.run(1.0) == []
    leader.live.pop()
    leader.run(3.0)
    assert set(leader.state.nodes) == {"store-1"}
    assert set(leader.state.stores) == {"store-1", "store-2"}


def test_an_unresponsive_worker_is_marked_and_later_removed() -> None:
    leader = Leader()
    apply(leader.state, PutWorker(worker("i-1")))
    leader.run(3.5)
    assert leader.state.workers["i-1"].state == "ready"
    leader.run(1.0)
    assert leader.state.workers["i-1"].state == "silent"
    leader.run(50.0)
    assert not leader.state.workers


def test_a_draining_worker_that_becomes_unresponsive_is_removed() -> None:
    leader = Leader()
    apply(leader.state, PutWorker(worker("i-1", state="draining")))
    leader.run(4.5)
    assert not leader.state.workers


def test_a_decommissioning_ends_with_a_later_report() -> None:
    stores = [store(number) for number in (1, 2, 3, 4)]
    leader = Leader(*stores)
    leader.run(1.0)
    leader.publisher.record_report(leader.now, status(stores[1:], commit=5))
    apply(leader.state, StartDecommissioning("store-1", stores[0].member))
    assert leader.run(3.0) == []
    leader.publisher.record_report(leader.now, status(stores[:3], commit=5))
    assert leader.run(1.0) == []
    leader.publisher.record_report(leader.now, status(stores[1:], commit=6, complete=2))
    assert leader.run(1.0) == []
    leader.publisher.record_report(leader.now, status(stores[1:], commit=7))
    assert leader.run(1.0) == [EndDecommissioning("store-1")]


def test_a_report_does_not_end_a_decommissioning_that_its_sender_may_not_know() -> None:
    """A spare store is in no report. A partition leader that does not know better could make it a voter."""
    stores = [store(number) for number in (1, 2, 3, 4)]
    leader = Leader(*stores)
    leader.run(1.0)
    apply(leader.state, StartDecommissioning("store-4", stores[3].member))
    leader.run(REPORT_DELAY_S)
    leader.publisher.record_report(leader.now - STEP_S, status(stores[:3], commit=5))
    assert leader.run(1.0) == []
    leader.publisher.record_report(leader.now, status(stores[:3], commit=5))
    assert leader.run(1.0) == [EndDecommissioning("store-4")]
