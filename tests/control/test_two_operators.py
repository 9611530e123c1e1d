"""Model test: two operators send configuration requests to the service and the replicated state.

The random sequences contain several requests with one version, lost answers, changes of leader, snapshots and
restarts, and few digests are remembered. Only the answers to callers and the current configuration are
checked. An operator repeats a request whose answer was lost, so any request may be repeated at any time.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any
from unittest import mock

import msgspec
import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from pewterring.configuration.digest import document_digest
from pewterring.configuration.patch import apply_patch, parse_patch
from pewterring.configuration.validation import PATCH_DIGEST_PREFIX
from pewterring.control.calls import REPLACE_PATH, UPDATE_PATH
from pewterring.control.commands import (
    Accepted,
    Command,
    Conflict,
    PatchConfiguration,
    PutConfiguration,
    Result,
    encode_command,
)
from pewterring.control.configuration_history import ConfigurationHistory
from pewterring.control.errors import CommandOutcomeUnknownError
from pewterring.control.leader_state import LeaderState
from pewterring.control.messages import RelayedCall
from pewterring.control.relay import CallRouter
from pewterring.control.service import ControlService
from pewterring.control.snapshot import Snapshot
from pewterring.control.state import ControlState
from tests.configuration.documents import document, encoded
from tests.consensus.virtual_time import VirtualTimeLoop

MEMBERS = 3
REMEMBERED_DIGESTS = 3
LOOP_ITERATIONS = 8  # enough for every call that is not waiting for a commit to complete


class Outcome(Enum):
    """What the answer to a request tells its caller."""

    ACCEPTED = auto()
    REJECTED = auto()
    UNKNOWN = auto()


OUTCOMES = {200: Outcome.ACCEPTED, 400: Outcome.REJECTED, 412: Outcome.REJECTED, 503: Outcome.UNKNOWN}


@dataclass(frozen=True)
class ConfigurationRequest:
    """A configuration request of an operator. No two have the same document: it contains the base."""

    base: int
    version: int
    variant: int  # number of the document, different for each request
    is_patch: bool = False

    def call(self) -> RelayedCall:
        notes = [{"name": "order", "variant": self.variant, "base": self.base}]
        if self.is_patch:  # deletes the service of its base, so it is valid only on that base
            removed = {"backends": [service_only_in(self.base)]}
            added = {"backends": [{"name": service_only_in(self.version)}], "notes": notes}
            body = orjson.dumps({"version": self.version, "upsert": added, "delete": removed})
            return RelayedCall("POST", UPDATE_PATH, str(self.base), body)
        services = [*document()["backends"], {"name": service_only_in(self.version)}]
        body = encoded(version=self.version, notes=notes, backends=services)
        return RelayedCall("POST", REPLACE_PATH, str(self.base), body)


def service_only_in(version: int) -> str:
    """The name of the service that exists only in one version."""
    return f"only-in-{version}"


@dataclass
class Member:
    """The state of one member, and the number of log entries that it has applied."""

    state: ControlState
    applied: int = 0


@dataclass
class Proposal:
    """An uncommitted command in the leader's log, and the future of the call that waits for it."""

    command: bytes
    outcome: asyncio.Future[Result]


class Group:
    """The log of the group: the committed commands, and the leader's uncommitted proposals."""

    def __init__(self) -> None:
        self.members = [Member(ControlState()) for _ in range(MEMBERS)]
        self.leader = 0
        self.committed: list[bytes] = []
        self.proposals: list[Proposal] = []

    async def propose(self, command: Command) -> Result:
        proposal = Proposal(encode_command(command), asyncio.get_running_loop().create_future())
        self.proposals.append(proposal)
        return await proposal.outcome

    async def read_barrier(self) -> None:
        pass

    def check_lease(self) -> None:
        pass

    leader_ip = ""
    newest_round = (1, 1)

    def check_round(self, *_: int) -> None:
        pass

    @property
    def state(self) -> ControlState:
        """The leader's state."""
        return self.members[self.leader].state

    def commit(self, count: int) -> None:
        """Commits the oldest proposals, applies them at the leader and answers their callers."""
        for proposal in self.proposals[:count]:
            self.committed.append(proposal.command)
            result = self.catch_up(self.leader)
            assert result is not None
            proposal.outcome.set_result(result)
        del self.proposals[:count]

    def catch_up(self, number: int) -> Result | None:
        """Lets a member apply all committed commands; returns the last result."""
        member = self.members[number]
        result: Result | None = None
        for index, command in enumerate(self.committed[member.applied :], member.applied + 1):
            result = member.state.apply(index, command)
        member.applied = len(self.committed)
        return result

    def elect(self, number: int, committed: int) -> None:
        """Elects a member, which commits some of the proposals; their callers learn no outcome."""
        self.committed += [proposal.command for proposal in self.proposals[:committed]]
        for proposal in self.proposals:
            proposal.outcome.set_exception(CommandOutcomeUnknownError())
        self.proposals.clear()
        self.leader = number
        self.catch_up(number)

    def restore(self, number: int, source: int) -> None:
        """Restarts a member from the snapshot of another member."""
        snapshot = self.members[source].state.snapshot()
        member = Member(ControlState(), self.members[source].applied)
        member.state.restore(snapshot)
        self.members[number] = member
        if number == self.leader:
            self.catch_up(number)


@dataclass
class History:
    """The answers that callers got."""

    accepted: dict[int, ConfigurationRequest] = field(default_factory=dict)  # accepted requests by version
    rejected: set[ConfigurationRequest] = field(default_factory=set)
    bases: dict[int, ConfigurationRequest] = field(default_factory=dict)  # accepted requests by base

    def record_answer(self, request: ConfigurationRequest, status: int) -> None:
        outcome = OUTCOMES[status]
        if outcome is Outcome.ACCEPTED:
            assert request not in self.rejected, "a rejected request was acknowledged"
            assert self.accepted.setdefault(request.version, request) == request, (
                "two documents with one version"
            )
            assert self.bases.setdefault(request.base, request) == request, "two changes of one base"
        elif outcome is Outcome.REJECTED:
            assert self.accepted.get(request.version) != request, "an acknowledged request was rejected"
            self.rejected.add(request)


class TwoOperators(RuleBasedStateMachine):
    """Random requests, repetitions of requests, and changes of the group."""

    def __init__(
        self,
        history_class: type[ConfigurationHistory] = ConfigurationHistory,
        make_group: type[Group] = Group,
    ) -> None:
        super().__init__()
        self.patches = contextlib.ExitStack()
        history = "pewterring.control.configuration_history.REMEMBERED_VERSIONS"
        self.patches.enter_context(mock.patch(history, REMEMBERED_DIGESTS))
        self.patches.enter_context(mock.patch("pewterring.control.state.ConfigurationHistory", history_class))
        self.loop = VirtualTimeLoop()
        self.group = make_group()
        self.history = History()
        self.sent: list[ConfigurationRequest] = []
        self.in_force: list[int] = [0]
        self.follower = ControlState()  # applies the whole log, and is never restored from a snapshot
        self.versions: list[int] = [0]  # current version by the number of applied commands
        self.calls: dict[asyncio.Task[int], ConfigurationRequest] = {}
        self.variants = itertools.count()

    def teardown(self) -> None:
        self.patches.close()
        for call in self.calls:
            call.cancel()
        self.run_calls()
        self.loop.close()

    # Calls

    async def _answer(self, call: RelayedCall) -> int:
        state = self.group.state
        tables = LeaderState.of(state, self.group, needed_stores=3, heartbeat_s=1.0)
        service = ControlService(tables, self.group, lambda: 0.0)
        router = CallRouter(service.handle, self.group, self._no_relay, "10.0.0.1", bool)
        return (await router.answer_relayed(call)).status

    async def _no_relay(self, *_: object) -> msgspec.Struct:
        raise AssertionError("the leader forwarded a call")

    def send(self, request: ConfigurationRequest) -> asyncio.Task[int]:
        call = self.loop.create_task(self._answer(request.call()))
        self.calls[call] = request
        self.run_calls()
        return call

    def run_calls(self) -> None:
        """Runs the pending calls and records their answers."""
        for _ in range(LOOP_ITERATIONS):
            self.loop.run_until_complete(asyncio.sleep(0))
        for call in [call for call in self.calls if call.done()]:
            request = self.calls.pop(call)
            if not call.cancelled():
                self.history.record_answer(request, call.result())

    # Rules

    @rule(
        versions_back=st.integers(0, 3),
        steps=st.lists(st.integers(-1, 4), min_size=1, max_size=2),
        patches=st.integers(0, 3),
    )
    def sends_requests(self, versions_back: int, steps: list[int], patches: int = 0) -> None:
        """One or two operators send requests based on the current version or an older one."""
        base = self.in_force[max(0, len(self.in_force) - 1 - versions_back)]
        self._send_requests(base, steps, patches)

    @rule(step=st.integers(1, 2), patches=st.integers(0, 3))
    def two_requests_with_one_version(self, step: int, patches: int = 0) -> None:
        self._send_requests(self.in_force[-1], [step, step], patches)

    def _send_requests(self, base: int, steps: list[int], patches: int) -> None:
        """Bit n of `patches` makes request n a patch; the first configuration is always a complete one."""
        for number, step in enumerate(steps):
            self._send_new(base, max(0, base + step), bool(patches >> number & 1))

    def _send_new(self, base: int, version: int, is_patch: bool) -> asyncio.Task[int]:
        request = ConfigurationRequest(base, version, next(self.variants), is_patch and base > 0)
        self.sent.append(request)
        return self.send(request)

    @rule()
    @precondition(lambda self: self.group.proposals)
    def sends_a_patch_on_an_uncommitted_base(self) -> None:
        base = max(request.version for request in self.calls.values())
        self._send_new(base, base + 1, True)

    @rule(
        number=st.integers(0, 1000), selection=st.sampled_from(["any", "oldest accepted", "newest accepted"])
    )
    @precondition(lambda self: self.sent)
    def sends_a_request_again(self, number: int, selection: str) -> None:
        accepted = self.history.accepted
        if selection == "any" or not accepted:
            self.send(self.sent[number % len(self.sent)])
        else:
            self.send(accepted[min(accepted) if selection == "oldest accepted" else max(accepted)])

    @rule(is_patch=st.booleans())
    @precondition(lambda self: not self.group.proposals)
    def a_valid_request_alone_is_accepted(self, is_patch: bool = False) -> None:
        base = self.in_force[-1]
        call = self._send_new(base, base + 1, is_patch)
        self.group.commit(1)
        self.run_calls()
        assert call.result() == 200

    @rule(count=st.integers(1, 4))
    def commits(self, count: int) -> None:
        self.group.commit(count)
        self.run_calls()

    @rule(number=st.integers(0, MEMBERS - 1), committed=st.integers(0, 3))
    def is_elected(self, number: int, committed: int) -> None:
        self.group.elect(number, committed)
        self.run_calls()

    @rule(number=st.integers(0, MEMBERS - 1))
    def catches_up(self, number: int) -> None:
        self.group.catch_up(number)

    @rule(number=st.integers(0, MEMBERS - 1))
    def loads_a_snapshot(self, number: int) -> None:
        """A member that lags or restarts loads the leader's snapshot."""
        self.group.restore(number, self.group.leader)

    @rule(number=st.integers(0, MEMBERS - 1), committed=st.integers(0, 3))
    def is_elected_after_a_snapshot(self, number: int, committed: int) -> None:
        self.group.restore(number, number)
        self.is_elected(number, committed)

    # Invariants

    @invariant()
    def the_current_configuration_was_requested_and_not_rejected(self) -> None:
        state = self.group.state
        assert state.version >= self.in_force[-1], "the current version decreased"
        if state.version > self.in_force[-1]:
            self.in_force.append(state.version)
        assert state.version >= max(self.history.accepted, default=0), "an acknowledged version was lost"
        if state.version:
            request = self._request_of(bytes(state.document))
            assert request.version == state.version
            assert request not in self.history.rejected, "a rejected request is in force"
            assert self.history.accepted.get(request.version, request) == request, (
                "another configuration than the acknowledged one is in force"
            )
            self._check_content(orjson.loads(bytes(state.document)))

    def _request_of(self, content: bytes) -> ConfigurationRequest:
        (item,) = orjson.loads(content)["notes"]
        return next(request for request in self.sent if request.variant == item["variant"])

    def _check_content(self, content: dict[str, Any]) -> None:
        """Checks the services: a patch applied to another base would leave the service of that base."""
        usual = [service["name"] for service in document()["backends"]]
        names = [service["name"] for service in content["backends"]]
        assert names == [*usual, service_only_in(content["version"])], "a patch of another base"
        assert {key: content[key] for key in ("routes", "some_new_field")} == {
            key: document()[key] for key in ("routes", "some_new_field")
        }, "fields were lost"

    @invariant()
    def members_applied_the_committed_commands_in_order(self) -> None:
        for command in self.group.committed[len(self.versions) - 1 :]:
            self.follower.apply(len(self.versions), command)
            self.versions.append(self.follower.version)
        for member in self.group.members:
            assert member.state.version == self.versions[member.applied]


TwoOperators.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestTwoOperators = TwoOperators.TestCase


# Deliberate faults, each of which a scenario on the model above must detect.


class LosesDigestsInSnapshots(ConfigurationHistory):
    def restore(self, snapshot: Snapshot) -> None:
        super().restore(snapshot)
        self.accepted_digests.clear()


class RejectsForgottenVersions(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        self.newest_forgotten_version = 0
        return super().put(command)


class LosesForgottenVersionInSnapshots(ConfigurationHistory):
    def restore(self, snapshot: Snapshot) -> None:
        super().restore(snapshot)
        self.newest_forgotten_version = 0


class IgnoresTheBase(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        return super().put(msgspec.structs.replace(command, base=self.version))


class IdentifiesRequestsByVersionOnly(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        if command.version in self.accepted_digests:
            return Accepted(repeated=True)
        return super().put(command)


class ForgetsTheNewestDigest(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        result = super().put(command)
        if result == Accepted():
            del self.accepted_digests[command.version]
        return result


class PatchesAnyBase(ConfigurationHistory):
    def patch(self, command: PatchConfiguration) -> Result:
        return super().patch(msgspec.structs.replace(command, base=self.version))


class IdentifiesPatchesByTheirResult(ConfigurationHistory):
    def patch(self, command: PatchConfiguration) -> Result:
        result = super().patch(command)
        if result == Accepted():
            self.accepted_digests[command.version] = document_digest(bytes(self.document))
        return result


class AppliesRepeatedPatches(ConfigurationHistory):
    def has_accepted(self, version: int, digest: str) -> bool:
        return not digest.startswith(PATCH_DIGEST_PREFIX) and super().has_accepted(version, digest)


class ResolvesPatchesOnArrival(Group):
    """Converts each patch on arrival into a complete configuration based on the current one."""

    async def propose(self, command: Command) -> Result:
        if isinstance(command, PatchConfiguration):
            content = apply_patch(bytes(self.state.document), parse_patch(bytes(command.patch)))
            command = PutConfiguration(command.base, command.version, command.digest, msgspec.Raw(content))
        return await super().propose(command)


class RejectsUnknownOutcomes(Group):
    async def propose(self, command: Command) -> Result:
        try:
            return await super().propose(command)
        except CommandOutcomeUnknownError:
            return Conflict(self.state.version)


class AcknowledgesUnknownOutcomes(Group):
    async def propose(self, command: Command) -> Result:
        try:
            return await super().propose(command)
        except CommandOutcomeUnknownError:
            return Accepted()


def put_scenario(model: TwoOperators) -> None:
    """Does everything that the rules above do, once and in a fixed order."""
    steps: list[Callable[[], object]] = [
        lambda: model.two_requests_with_one_version(1),
        lambda: model.commits(2),
        lambda: model.sends_a_request_again(0, "any"),
        lambda: model.sends_a_request_again(1, "any"),
        lambda: model.commits(2),
        lambda: model.sends_requests(0, [1, 2]),  # unanswered: the next leader has only the first
        lambda: model.is_elected(1, 1),
        lambda: model.sends_a_request_again(2, "any"),
        lambda: model.sends_a_request_again(3, "any"),
        lambda: model.commits(2),
        lambda: model.sends_requests(1, [4]),  # on a base that is no longer current
        lambda: model.commits(1),
        lambda: model.sends_a_request_again(0, "oldest accepted"),
        lambda: model.commits(1),
        lambda: model.is_elected_after_a_snapshot(2, 0),
        lambda: model.sends_a_request_again(0, "newest accepted"),
        lambda: model.sends_a_request_again(0, "oldest accepted"),
        lambda: model.commits(2),
        *[model.a_valid_request_alone_is_accepted] * REMEMBERED_DIGESTS,
        lambda: model.sends_a_request_again(0, "oldest accepted"),
        lambda: model.commits(1),
        lambda: model.loads_a_snapshot(0),
        lambda: model.is_elected(0, 0),
        lambda: model.sends_a_request_again(0, "newest accepted"),
        lambda: model.sends_a_request_again(0, "oldest accepted"),
        lambda: model.commits(2),
    ]
    for step in steps:
        step()
        model.the_current_configuration_was_requested_and_not_rejected()
        model.members_applied_the_committed_commands_in_order()


def patch_scenario(model: TwoOperators) -> None:
    """Mixes patches and complete configurations.

    Patches share a base with another request, are repeated after others, have an older base, or arrive before
    their base is committed.
    """
    steps: list[Callable[[], object]] = [
        model.a_valid_request_alone_is_accepted,
        lambda: model.two_requests_with_one_version(1, 0b01),
        lambda: model.commits(2),
        lambda: model.two_requests_with_one_version(1, 0b10),
        lambda: model.commits(2),
        lambda: model.sends_a_request_again(1, "any"),  # the accepted patch, repeated after another request
        lambda: model.commits(1),
        lambda: model.sends_requests(1, [3], 0b1),  # a patch on a base that is no longer current
        lambda: model.commits(1),
        lambda: model.a_valid_request_alone_is_accepted(True),
        lambda: model.sends_a_request_again(0, "newest accepted"),
        lambda: model.commits(1),
        lambda: model.sends_requests(0, [1]),
        model.sends_a_patch_on_an_uncommitted_base,
        lambda: model.commits(2),
        lambda: model.is_elected_after_a_snapshot(1, 0),
        lambda: model.sends_a_request_again(0, "newest accepted"),
        lambda: model.commits(1),
    ]
    for step in steps:
        step()
        model.the_current_configuration_was_requested_and_not_rejected()
        model.members_applied_the_committed_commands_in_order()


def run_scenario(
    history_class: type[ConfigurationHistory] = ConfigurationHistory,
    make_group: type[Group] = Group,
    steps: Callable[[TwoOperators], None] = put_scenario,
) -> TwoOperators:
    model = TwoOperators(history_class, make_group)
    try:
        steps(model)
    finally:
        model.teardown()
    return model


def test_the_put_scenario_passes_without_faults() -> None:
    model = run_scenario()
    assert sorted(model.history.accepted) == [1, 2, 3, 4, 5]
    assert len(model.history.rejected) == 3


@pytest.mark.parametrize(
    ("broken", "message"),
    [
        (LosesDigestsInSnapshots, "an acknowledged request was rejected"),
        (RejectsForgottenVersions, "an acknowledged request was rejected"),
        (LosesForgottenVersionInSnapshots, "an acknowledged request was rejected"),
        (ForgetsTheNewestDigest, "an acknowledged request was rejected"),
        (IgnoresTheBase, "two changes of one base"),
        (IdentifiesRequestsByVersionOnly, "two documents with one version"),
    ],
)
def test_a_faulty_configuration_history_is_detected(broken: type[ConfigurationHistory], message: str) -> None:
    with pytest.raises(AssertionError, match=message):
        run_scenario(history_class=broken)


def test_the_patch_scenario_passes_without_faults() -> None:
    model = run_scenario(steps=patch_scenario)
    assert [request.is_patch for _, request in sorted(model.history.accepted.items())] == [
        False,
        True,
        False,
        True,
        False,
        True,
    ]
    assert [request.is_patch for request in model.history.rejected].count(True) == 2


@pytest.mark.parametrize(
    ("broken", "message"),
    [
        (PatchesAnyBase, "two changes of one base"),
        (IdentifiesPatchesByTheirResult, "an acknowledged request was rejected"),
        (AppliesRepeatedPatches, "an acknowledged request was rejected"),
    ],
)
def test_a_faulty_patch_implementation_is_detected(broken: type[ConfigurationHistory], message: str) -> None:
    with pytest.raises(AssertionError, match=message):
        run_scenario(history_class=broken, steps=patch_scenario)


def test_patches_resolved_on_arrival_are_detected() -> None:
    with pytest.raises(AssertionError, match="a patch of another base"):
        run_scenario(make_group=ResolvesPatchesOnArrival, steps=patch_scenario)


@pytest.mark.parametrize(
    ("broken", "message"),
    [
        (RejectsUnknownOutcomes, "a rejected request is in force"),
        (AcknowledgesUnknownOutcomes, "two changes of one base"),
    ],
)
def test_a_wrong_answer_for_an_unknown_outcome_is_detected(broken: type[Group], message: str) -> None:
    with pytest.raises(AssertionError, match=message):
        run_scenario(make_group=broken)
