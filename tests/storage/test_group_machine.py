"""Hypothesis compares group storage with the plain model for random sequences of calls and faults."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pewterring.storage.errors import StorageFullError
from tests.storage.model import Model, apply_call, random_call
from tests.storage.simulated_disk import PowerLossError, SimulatedDisk
from tests.storage.stored_group import load_matches, load_storage


class StorageMachine(RuleBasedStateMachine):
    """Random sequences of calls, killed processes, power losses during calls, and full disks."""

    def __init__(self) -> None:
        super().__init__()
        self.disk = SimulatedDisk()
        self.model = Model()
        self.storage = load_storage(self.disk)

    @rule(seed=st.integers(0, 10000))
    def call(self, seed: int) -> None:
        call = random_call(self.model, random.Random(seed))
        call(self.storage)
        self.model = apply_call(self.model, call)

    @rule(seed=st.integers(0, 10000), number=st.integers(1, 12))
    def lose_power_within_a_call(self, seed: int, number: int) -> None:
        call = random_call(self.model, random.Random(seed))
        changed = apply_call(self.model, call)
        self.disk.lose_power_at(number)
        try:
            call(self.storage)
            self.model = changed
        except PowerLossError:
            pass
        self.disk.lose_power(random.Random(seed))
        if load_matches(self.disk, changed):
            self.model = changed
        self.storage = load_storage(self.disk)

    @rule(seed=st.integers(0, 10000), free_bytes=st.integers(0, 200))
    def call_on_a_full_disk(self, seed: int, free_bytes: int) -> None:
        call = random_call(self.model, random.Random(seed))
        self.disk.capacity = sum(self.disk.size(name) for name in self.disk.names()) + free_bytes
        try:
            call(self.storage)
            self.model = apply_call(self.model, call)
        except StorageFullError:
            pass
        self.disk.capacity = None

    @rule()
    def kill(self) -> None:
        self.disk.kill()
        self.storage = load_storage(self.disk)

    @rule(seed=st.integers(0, 10000))
    def lose_power(self, seed: int) -> None:
        self.disk.lose_power(random.Random(seed))
        self.storage = load_storage(self.disk)

    @invariant()
    def recovery_equals_the_model(self) -> None:
        self.disk.kill()
        assert load_matches(self.disk, self.model)
        self.storage = load_storage(self.disk)


StorageMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True, database=None
)
TestStorageMachine = StorageMachine.TestCase
