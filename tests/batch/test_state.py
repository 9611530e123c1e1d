"""The replicated state of a partition compared with a model, across snapshots and repeated commands."""

from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pewterring.batch.commands import (
    Accepted,
    AcceptJob,
    AddResults,
    CloseJob,
    Command,
    Counted,
    CountFailures,
    DropJobs,
    ItemFailures,
    JobResult,
    Listed,
    Outcome,
    encode_command,
)
from pewterring.batch.errors import InvalidCommandError, InvalidSnapshotError
from pewterring.batch.messages import ItemResult
from pewterring.batch.state import BatchState
from tests.batch.stand_ins import ManualClock, item

JOBS = st.sampled_from(["j1", "j2", "j3"])
HOSTS = st.sampled_from(["a.example", "b.example"])
ITEMS = st.sampled_from(["i1", "i2", "i3", "i4"])
TOKENS = st.integers(1, 50)


class ModelJob:
    """A job in the model: the tokens of its items, and the results and failures recorded so far."""

    def __init__(self, host: str, tokens: dict[str, int]) -> None:
        self.host = host
        self.tokens = tokens
        self.listed: list[tuple[str, str]] = []
        self.failed: dict[str, int] = {}
        self.ended = False

    def unlisted(self) -> set[str]:
        return set() if self.ended else set(self.tokens) - {name for name, _ in self.listed}


class StateAgainstModel(RuleBasedStateMachine):
    """Applies random commands, and checks each outcome and the whole readable state against the model."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.state = BatchState(self.clock)
        self.index = 0
        self.model: dict[str, ModelJob] = {}

    def apply(self, command: Command) -> Outcome:
        self.index += 1
        return self.state.apply(self.index, encode_command(command))

    @rule(job=JOBS, host=HOSTS, items=st.dictionaries(ITEMS, TOKENS, min_size=1))
    def accept(self, job: str, host: str, items: dict[str, int]) -> None:
        specs = tuple(
            msgspec.structs.replace(item(name, tokens), body="Y" * tokens) for name, tokens in items.items()
        )
        outcome = self.apply(AcceptJob(job, host, "/p/", specs))
        assert outcome == Accepted(job, new=job not in self.model)
        self.model.setdefault(job, ModelJob(host, items))

    @rule(results=st.lists(st.tuples(JOBS, ITEMS, st.text(max_size=3)), max_size=4))
    def add_results(self, results: list[tuple[str, str, str]]) -> None:
        entries = tuple(JobResult(job, ItemResult(name, "succeeded", text)) for job, name, text in results)
        expected = [(job, name) for job, name, text in results if self.list_in_model(job, name, text)]
        assert self.apply(AddResults(entries)) == Listed(tuple(expected))

    def list_in_model(self, job: str, name: str, text: str) -> bool:
        if job not in self.model or name not in self.model[job].unlisted():
            return False
        self.model[job].listed.append((name, text))
        return True

    @rule(failures=st.lists(st.tuples(JOBS, ITEMS, st.integers(1, 5)), max_size=3))
    def count_failures(self, failures: list[tuple[str, str, int]]) -> None:
        command = CountFailures(tuple(ItemFailures(*entry) for entry in failures))
        assert self.apply(command) == Counted()
        for job, name, times in failures:
            if job in self.model and name in self.model[job].unlisted():
                failed = self.model[job].failed
                failed[name] = max(times, failed.get(name, 0))

    @rule(job=JOBS)
    def close(self, job: str) -> None:
        self.apply(CloseJob(job))
        if job in self.model:
            self.model[job].ended = True

    @rule(jobs=st.lists(JOBS, max_size=2))
    def drop(self, jobs: list[str]) -> None:
        self.apply(DropJobs(tuple(jobs)))
        for job in jobs:
            self.model.pop(job, None)

    @rule()
    def restore_into_a_new_state(self) -> None:
        restored = BatchState(self.clock)
        restored.restore(self.state.snapshot())
        self.state = restored

    @rule()
    def restore_into_the_same_state(self) -> None:
        self.state.restore(self.state.snapshot())

    @invariant()
    def state_equals_model(self) -> None:
        assert {job.id for job in self.state.jobs()} == set(self.model)
        for job_id, model in self.model.items():
            job = self.state.job(job_id)
            assert job is not None
            assert job.total == len(model.tokens)
            assert [(result.id, result.text) for result in job.results] == model.listed
            assert set(job.items) == model.unlisted()
            assert job.ended == model.ended
            unlisted = model.unlisted()
            assert job.failed_attempts == {
                name: times for name, times in model.failed.items() if name in unlisted
            }

    @invariant()
    def counts_waiting_tokens(self) -> None:
        for host in ("a.example", "b.example"):
            assert self.state.waiting_tokens((host, "/p/")) == self.expected_tokens(host)

    @invariant()
    def counts_bytes(self) -> None:
        """In this test each body has as many bytes as its item has tokens."""
        bodies = sum(self.expected_tokens(host) for host in ("a.example", "b.example"))
        texts = sum(len(text) for job in self.model.values() for _, text in job.listed)
        assert self.state.size_bytes == bodies + texts
        assert self.state.size_bytes == sum(job.size_bytes for job in self.state.jobs())

    def expected_tokens(self, host: str) -> int:
        jobs: Iterable[ModelJob] = (job for job in self.model.values() if job.host == host)
        return sum(job.tokens[name] for job in jobs for name in job.unlisted())


TestStateAgainstModel = StateAgainstModel.TestCase
TestStateAgainstModel.settings = settings(max_examples=50, stateful_step_count=25, deadline=None)


def test_the_size_counts_result_texts_and_bodies_of_items_without_a_result() -> None:
    state = BatchState(ManualClock())
    bodies = {"a": "Y" * 100, "b": "Y" * 20}
    specs = tuple(msgspec.structs.replace(item(name), body=body) for name, body in bodies.items())
    result = JobResult("j", ItemResult("a", "succeeded", "x" * 7))
    commands: tuple[Command, ...] = (
        AcceptJob("j", "h", "/p/", specs),
        AddResults((result,)),
        CloseJob("j"),
        DropJobs(("j",)),
    )
    sizes = []
    for index, command in enumerate(commands, 1):
        for _ in range(2):  # a command that is applied twice counts once
            state.apply(index, encode_command(command))
        sizes.append(state.size_bytes)
    assert sizes == [120, 27, 7, 0]


def test_the_age_of_a_job_continues_across_a_snapshot() -> None:
    clock = ManualClock()
    state = BatchState(clock)
    state.apply(1, encode_command(AcceptJob("j", "h", "/p/", (item("i"),), age_ms=500)))
    clock.now += 2
    data = state.snapshot()
    clock.now = 7000.0
    state.restore(data)
    job = state.job("j")
    assert job is not None
    assert clock.now - job.accepted_at == pytest.approx(2.5)


def test_a_snapshot_of_an_older_version_without_failed_attempts_is_read() -> None:
    state = BatchState(ManualClock())
    state.apply(1, encode_command(AcceptJob("j", "h", "/p/", (item("i"),))))
    older = msgspec.json.decode(state.snapshot())
    for job in older["jobs"]:
        del job["failed_attempts"]
    state.restore(msgspec.json.encode(older))
    job = state.job("j")
    assert job is not None
    assert job.failed_attempts == {}


def test_invalid_commands_and_snapshots_raise_errors_of_the_batch_layer() -> None:
    state = BatchState(ManualClock())
    with pytest.raises(InvalidCommandError):
        state.apply(1, b'{"type":"Other"}')
    with pytest.raises(InvalidSnapshotError):
        state.restore(b"{")
