"""Stateful property test of a group: Hypothesis generates and shrinks sequences of faults and calls."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.consensus.simulated_members import FaultProfile
from tests.consensus.simulation import Simulation

NAMES = st.sampled_from("abc")


class GroupMachine(RuleBasedStateMachine):
    """A group of three members, of which one at a time may lose its disk and be replaced."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.simulation = Simulation(seed)
        self.current_members = {name: name for name in "abc"}  # the current member of each machine
        self.replacement: tuple[str, str] | None = None  # old and new member of a replacement in progress
        self.count = 0

    @rule(duration=st.sampled_from((0.01, 0.1, 0.5, 2.0)))
    def run(self, duration: float) -> None:
        if self.replacement is not None and self.simulation.advance_replacement(*self.replacement):
            self.replacement = None
        self.simulation.run(duration)

    @rule(number=st.sampled_from((1, 3, 30)))
    def propose(self, number: int) -> None:
        for _ in range(number):
            self.count += 1
            self.simulation.propose(str(self.count))

    @rule()
    def read_everywhere(self) -> None:
        for name in list(self.simulation.members):
            self.simulation.read(name)

    @rule(name=NAMES)
    def crash(self, name: str) -> None:
        self.simulation.crash(self.current_members[name])

    @rule()
    def crash_leader(self) -> None:
        leader = self.simulation.leader()
        if leader is not None:
            self.simulation.crash(leader)

    @rule()
    def crash_all(self) -> None:
        for name in self.current_members.values():
            self.simulation.crash(name)

    @rule(name=NAMES)
    def start(self, name: str) -> None:
        self.simulation.start(self.current_members[name])

    @rule(name=NAMES)
    def freeze(self, name: str) -> None:
        self.simulation.freeze(self.current_members[name])

    @rule()
    def thaw(self) -> None:
        for name in list(self.simulation.members):
            self.simulation.thaw(name)

    @rule(sender=NAMES, receiver=NAMES)
    def disconnect_one_way(self, sender: str, receiver: str) -> None:
        self.simulation.blocked_links.add((self.current_members[sender], self.current_members[receiver]))

    @rule(name=NAMES)
    def isolate(self, name: str) -> None:
        self.simulation.isolate(self.current_members[name])

    @rule()
    def heal(self) -> None:
        self.simulation.blocked_links.clear()

    @rule(faulty_network=st.booleans(), slow_disks=st.booleans())
    def change_faults(self, faulty_network: bool, slow_disks: bool) -> None:
        fraction = 0.2 if faulty_network else 0.0
        sync_s = (0.01, 0.3) if slow_disks else (0.001, 0.01)
        self.simulation.faults = FaultProfile(
            loss_rate=fraction, duplicate_rate=fraction, long_delay_rate=fraction, sync_s=sync_s
        )

    @rule(name=NAMES)
    def lose_disk(self, name: str) -> None:
        if self.replacement is not None:
            return
        self.count += 1
        old, new = self.current_members[name], f"{name}#{self.count}"
        self.simulation.crash(old)
        del self.simulation.members[old]
        self.simulation.join(new)
        self.current_members[name] = new
        self.replacement = (old, new)

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        simulation = self.simulation
        simulation.check_converges()
        for _ in range(200):
            if self.replacement is None or simulation.advance_replacement(*self.replacement):
                break
            simulation.run(0.2)
        else:
            raise AssertionError("a lost member was not replaced")
        simulation.check_converges()


GroupMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
TestGroupMachine = GroupMachine.TestCase
