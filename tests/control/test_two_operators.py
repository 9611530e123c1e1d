"""Two operators against the service and the replicated state, as a model of random orders.

Any number of orders under one version, lost answers, changes of leader, snapshots and restarts, with few
digests remembered. Only what callers were answered and what is in force is checked. An answer that was lost
is an order that is sent again, so any order may come again at any time, whatever was answered before.
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
REMEMBERED = 3  # digests
TURNS = 8  # of the loop, after which all calls that can go on have


class Outcome(Enum):
    """What the caller of an order knows by its answer."""

    ACCEPTED = auto()
    REJECTED = auto()
    UNKNOWN = auto()


OUTCOMES = {200: Outcome.ACCEPTED, 400: Outcome.REJECTED, 412: Outcome.REJECTED, 503: Outcome.UNKNOWN}


@dataclass(frozen=True)
class Order:
    """An order of one operator. No two orders have the same document: it holds the base as well."""

    base: int
    version: int
    variant: int  # of the document under this number
    is_patch: bool = False

    def call(self) -> RelayedCall:
        notes = [{"name": "order", "variant": self.variant, "base": self.base}]
        if self.is_patch:  # its service is there only if it is applied to the base that it names
            removed = {"backends": [service_of(self.base)]}
            added = {"backends": [{"name": service_of(self.version)}], "notes": notes}
            body = orjson.dumps({"version": self.version, "upsert": added, "delete": removed})
            return RelayedCall("POST", UPDATE_PATH, str(self.base), body)
        services = [*document()["backends"], {"name": service_of(self.version)}]
        body = encoded(version=self.version, notes=notes, backends=services)
        return RelayedCall("POST", REPLACE_PATH, str(self.base), body)


def service_of(version: int) -> str:
    """The service that stands in one version alone."""
    return f"only-in-{version}"


@dataclass
class Member:
    """The state of one member, and how much of the log it has applied."""

    state: ControlState
    applied: int = 0


@dataclass
class Proposal:
    """A command in the leader's log that is not committed yet, and the call that waits for it."""

    command: bytes
    outcome: asyncio.Future[Result]


class Group:
    """The log of the group: what is committed, and what only the leader has."""

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
        """The oldest proposals are committed and applied by the leader, and their callers answered."""
        for proposal in self.proposals[:count]:
            self.committed.append(proposal.command)
            result = self.catch_up(self.leader)
            assert result is not None
            proposal.outcome.set_result(result)
        del self.proposals[:count]

    def catch_up(self, number: int) -> Result | None:
        """A member applies all that is committed; returns the last result."""
        member = self.members[number]
        result: Result | None = None
        for index, command in enumerate(self.committed[member.applied :], member.applied + 1):
            result = member.state.apply(index, command)
        member.applied = len(self.committed)
        return result

    def elect(self, number: int, committed: int) -> None:
        """Another leader commits some of the proposals; no caller gets a clear answer."""
        self.committed += [proposal.command for proposal in self.proposals[:committed]]
        for proposal in self.proposals:
            proposal.outcome.set_exception(CommandOutcomeUnknownError())
        self.proposals.clear()
        self.leader = number
        self.catch_up(number)

    def restore(self, number: int, source: int) -> None:
        """A member begins anew with the snapshot of another, as far as that one is."""
        snapshot = self.members[source].state.snapshot()
        member = Member(ControlState(), self.members[source].applied)
        member.state.restore(snapshot)
        self.members[number] = member
        if number == self.leader:
            self.catch_up(number)


@dataclass
class History:
    """What callers were answered."""

    accepted: dict[int, Order] = field(default_factory=dict)  # by version
    rejected: set[Order] = field(default_factory=set)
    bases: dict[int, Order] = field(default_factory=dict)  # of those accepted

    def answered(self, order: Order, status: int) -> None:
        outcome = OUTCOMES[status]
        if outcome is Outcome.ACCEPTED:
            assert order not in self.rejected, "a loser was acknowledged"
            assert self.accepted.setdefault(order.version, order) == order, "two documents under one number"
            assert self.bases.setdefault(order.base, order) == order, "two changes on one version"
        elif outcome is Outcome.REJECTED:
            assert self.accepted.get(order.version) != order, "an acknowledged order was refused"
            self.rejected.add(order)


class TwoOperators(RuleBasedStateMachine):
    """Random orders, repeats and changes of the group."""

    def __init__(
        self,
        history_class: type[ConfigurationHistory] = ConfigurationHistory,
        make_group: type[Group] = Group,
    ) -> None:
        super().__init__()
        self.patches = contextlib.ExitStack()
        history = "pewterring.control.configuration_history.REMEMBERED_VERSIONS"
        self.patches.enter_context(mock.patch(history, REMEMBERED))
        self.patches.enter_context(mock.patch("pewterring.control.state.ConfigurationHistory", history_class))
        self.loop = VirtualTimeLoop()
        self.group = make_group()
        self.history = History()
        self.sent: list[Order] = []
        self.in_force: list[int] = [0]
        self.follower = ControlState()  # is never restored from a snapshot
        self.versions: list[int] = [0]  # by how much of the log is applied
        self.calls: dict[asyncio.Task[int], Order] = {}
        self.variants = itertools.count()

    def teardown(self) -> None:
        self.patches.close()
        for call in self.calls:
            call.cancel()
        self.turn()
        self.loop.close()

    # Calls

    async def _answer(self, call: RelayedCall) -> int:
        state = self.group.state
        tables = LeaderState.of(state, self.group, needed_stores=3, heartbeat_s=1.0)
        service = ControlService(tables, self.group, lambda: 0.0)
        router = CallRouter(service.handle, self.group, self._no_relay, "10.0.0.1", bool)
        return (await router.answer_relayed(call)).status

    async def _no_relay(self, *_: object) -> msgspec.Struct:
        raise AssertionError("the leader passes nothing on")

    def send(self, order: Order) -> asyncio.Task[int]:
        call = self.loop.create_task(self._answer(order.call()))
        self.calls[call] = order
        self.turn()
        return call

    def turn(self) -> None:
        """Lets calls go on, and records what was answered."""
        for _ in range(TURNS):
            self.loop.run_until_complete(asyncio.sleep(0))
        for call in [call for call in self.calls if call.done()]:
            order = self.calls.pop(call)
            if not call.cancelled():
                self.history.answered(order, call.result())

    # Rules

    @rule(
        back=st.integers(0, 3),
        steps=st.lists(st.integers(-1, 4), min_size=1, max_size=2),
        patches=st.integers(0, 3),
    )
    def orders(self, back: int, steps: list[int], patches: int = 0) -> None:
        """One operator or two send orders on the current version or an older one."""
        base = self.in_force[max(0, len(self.in_force) - 1 - back)]
        self._order(base, steps, patches)

    @rule(step=st.integers(1, 2), patches=st.integers(0, 3))
    def both_order_under_one_number(self, step: int, patches: int = 0) -> None:
        self._order(self.in_force[-1], [step, step], patches)

    def _order(self, base: int, steps: list[int], patches: int) -> None:
        """`patches` says by its bits which of the orders are patches; the first configuration is complete."""
        for number, step in enumerate(steps):
            self._send_new(base, max(0, base + step), bool(patches >> number & 1))

    def _send_new(self, base: int, version: int, is_patch: bool) -> asyncio.Task[int]:
        order = Order(base, version, next(self.variants), is_patch and base > 0)
        self.sent.append(order)
        return self.send(order)

    @rule()
    @precondition(lambda self: self.group.proposals)
    def sends_a_patch_of_what_is_not_committed(self) -> None:
        base = max(order.version for order in self.calls.values())
        self._send_new(base, base + 1, True)

    @rule(number=st.integers(0, 1000), which=st.sampled_from(["any", "oldest accepted", "newest accepted"]))
    @precondition(lambda self: self.sent)
    def sends_again(self, number: int, which: str) -> None:
        accepted = self.history.accepted
        if which == "any" or not accepted:
            self.send(self.sent[number % len(self.sent)])
        else:
            self.send(accepted[min(accepted) if which == "oldest accepted" else max(accepted)])

    @rule(is_patch=st.booleans())
    @precondition(lambda self: not self.group.proposals)
    def a_proper_order_alone_is_accepted(self, is_patch: bool = False) -> None:
        base = self.in_force[-1]
        call = self._send_new(base, base + 1, is_patch)
        self.group.commit(1)
        self.turn()
        assert call.result() == 200

    @rule(count=st.integers(1, 4))
    def commits(self, count: int) -> None:
        self.group.commit(count)
        self.turn()

    @rule(number=st.integers(0, MEMBERS - 1), committed=st.integers(0, 3))
    def is_elected(self, number: int, committed: int) -> None:
        self.group.elect(number, committed)
        self.turn()

    @rule(number=st.integers(0, MEMBERS - 1))
    def catches_up(self, number: int) -> None:
        self.group.catch_up(number)

    @rule(number=st.integers(0, MEMBERS - 1))
    def gets_a_snapshot(self, number: int) -> None:
        """A member that lags, or one that restarts, begins with the leader's snapshot."""
        self.group.restore(number, self.group.leader)

    @rule(number=st.integers(0, MEMBERS - 1), committed=st.integers(0, 3))
    def is_elected_after_a_snapshot(self, number: int, committed: int) -> None:
        self.group.restore(number, number)
        self.is_elected(number, committed)

    # Judgement

    @invariant()
    def what_is_in_force_was_ordered_and_not_rejected(self) -> None:
        state = self.group.state
        assert state.version >= self.in_force[-1], "the leader went back"
        if state.version > self.in_force[-1]:
            self.in_force.append(state.version)
        assert state.version >= max(self.history.accepted, default=0), "an acknowledged version was lost"
        if state.version:
            order = self._order_of(bytes(state.document))
            assert order.version == state.version
            assert order not in self.history.rejected, "a loser is in force"
            assert self.history.accepted.get(order.version, order) == order, (
                "other than what was acknowledged"
            )
            self._check_content(orjson.loads(bytes(state.document)))

    def _order_of(self, content: bytes) -> Order:
        (item,) = orjson.loads(content)["notes"]
        return next(order for order in self.sent if order.variant == item["variant"])

    def _check_content(self, content: dict[str, Any]) -> None:
        """A patch that was applied to another base than its own leaves that one's service behind."""
        usual = [service["name"] for service in document()["backends"]]
        names = [service["name"] for service in content["backends"]]
        assert names == [*usual, service_of(content["version"])], "a patch of another base"
        assert {key: content[key] for key in ("routes", "some_new_field")} == {
            key: document()[key] for key in ("routes", "some_new_field")
        }, "fields were lost"

    @invariant()
    def members_applied_what_was_committed_in_this_order(self) -> None:
        for command in self.group.committed[len(self.versions) - 1 :]:
            self.follower.apply(len(self.versions), command)
            self.versions.append(self.follower.version)
        for member in self.group.members:
            assert member.state.version == self.versions[member.applied]


TwoOperators.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestTwoOperators = TwoOperators.TestCase


# Deliberate breakages, which a scenario played on the model above must notice.


class ForgetsDigestsAtASnapshot(ConfigurationHistory):
    def restore(self, snapshot: Snapshot) -> None:
        super().restore(snapshot)
        self.accepted_digests.clear()


class RejectsWhatItForgot(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        self.newest_forgotten_version = 0
        return super().put(command)


class ForgetsAtASnapshotThatItForgot(ConfigurationHistory):
    def restore(self, snapshot: Snapshot) -> None:
        super().restore(snapshot)
        self.newest_forgotten_version = 0


class IgnoresTheBase(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        return super().put(msgspec.structs.replace(command, base=self.version))


class IdentifiesOrdersByVersionAlone(ConfigurationHistory):
    def put(self, command: PutConfiguration) -> Result:
        if command.version in self.accepted_digests:
            return Accepted(repeated=True)
        return super().put(command)


class ForgetsTheDigestOfTheLast(ConfigurationHistory):
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


class PatchesAgain(ConfigurationHistory):
    def has_accepted(self, version: int, digest: str) -> bool:
        return not digest.startswith(PATCH_DIGEST_PREFIX) and super().has_accepted(version, digest)


class JudgedOnArrival(Group):
    """Makes a complete configuration of each patch as it arrives, on what is in force then."""

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


def scenario_of_puts(model: TwoOperators) -> None:
    """All that the rules above do, once and in a fixed order."""
    steps: list[Callable[[], object]] = [
        lambda: model.both_order_under_one_number(1),
        lambda: model.commits(2),
        lambda: model.sends_again(0, "any"),
        lambda: model.sends_again(1, "any"),
        lambda: model.commits(2),
        lambda: model.orders(0, [1, 2]),  # no answer: the next leader has the first of them, not the second
        lambda: model.is_elected(1, 1),
        lambda: model.sends_again(2, "any"),
        lambda: model.sends_again(3, "any"),
        lambda: model.commits(2),
        lambda: model.orders(1, [4]),  # on a version that is no longer current
        lambda: model.commits(1),
        lambda: model.sends_again(0, "oldest accepted"),
        lambda: model.commits(1),
        lambda: model.is_elected_after_a_snapshot(2, 0),
        lambda: model.sends_again(0, "newest accepted"),
        lambda: model.sends_again(0, "oldest accepted"),
        lambda: model.commits(2),
        *[model.a_proper_order_alone_is_accepted] * REMEMBERED,
        lambda: model.sends_again(0, "oldest accepted"),
        lambda: model.commits(1),
        lambda: model.gets_a_snapshot(0),
        lambda: model.is_elected(0, 0),
        lambda: model.sends_again(0, "newest accepted"),
        lambda: model.sends_again(0, "oldest accepted"),
        lambda: model.commits(2),
    ]
    for step in steps:
        step()
        model.what_is_in_force_was_ordered_and_not_rejected()
        model.members_applied_what_was_committed_in_this_order()


def scenario_of_patches(model: TwoOperators) -> None:
    """Patches beside complete configurations.

    On one base, sent again after others, on an older base, and one that arrives before its base is committed.
    """
    steps: list[Callable[[], object]] = [
        model.a_proper_order_alone_is_accepted,
        lambda: model.both_order_under_one_number(1, 0b01),
        lambda: model.commits(2),
        lambda: model.both_order_under_one_number(1, 0b10),
        lambda: model.commits(2),
        lambda: model.sends_again(1, "any"),  # the patch that was accepted, after another order
        lambda: model.commits(1),
        lambda: model.orders(1, [3], 0b1),  # a patch of a version that is no longer current
        lambda: model.commits(1),
        lambda: model.a_proper_order_alone_is_accepted(True),
        lambda: model.sends_again(0, "newest accepted"),
        lambda: model.commits(1),
        lambda: model.orders(0, [1]),
        model.sends_a_patch_of_what_is_not_committed,
        lambda: model.commits(2),
        lambda: model.is_elected_after_a_snapshot(1, 0),
        lambda: model.sends_again(0, "newest accepted"),
        lambda: model.commits(1),
    ]
    for step in steps:
        step()
        model.what_is_in_force_was_ordered_and_not_rejected()
        model.members_applied_what_was_committed_in_this_order()


def played(
    history_class: type[ConfigurationHistory] = ConfigurationHistory,
    make_group: type[Group] = Group,
    steps: Callable[[TwoOperators], None] = scenario_of_puts,
) -> TwoOperators:
    model = TwoOperators(history_class, make_group)
    try:
        steps(model)
    finally:
        model.teardown()
    return model


def test_the_scenario_of_puts_without_breakage() -> None:
    model = played()
    assert sorted(model.history.accepted) == [1, 2, 3, 4, 5]
    assert len(model.history.rejected) == 3


@pytest.mark.parametrize(
    ("broken", "noticed"),
    [
        (ForgetsDigestsAtASnapshot, "an acknowledged order was refused"),
        (RejectsWhatItForgot, "an acknowledged order was refused"),
        (ForgetsAtASnapshotThatItForgot, "an acknowledged order was refused"),
        (ForgetsTheDigestOfTheLast, "an acknowledged order was refused"),
        (IgnoresTheBase, "two changes on one version"),
        (IdentifiesOrdersByVersionAlone, "two documents under one number"),
    ],
)
def test_a_broken_state_is_noticed(broken: type[ConfigurationHistory], noticed: str) -> None:
    with pytest.raises(AssertionError, match=noticed):
        played(history_class=broken)


def test_the_scenario_of_patches_without_breakage() -> None:
    model = played(steps=scenario_of_patches)
    assert [order.is_patch for _, order in sorted(model.history.accepted.items())] == [
        False,
        True,
        False,
        True,
        False,
        True,
    ]
    assert [order.is_patch for order in model.history.rejected].count(True) == 2


@pytest.mark.parametrize(
    ("broken", "noticed"),
    [
        (PatchesAnyBase, "two changes on one version"),
        (IdentifiesPatchesByTheirResult, "an acknowledged order was refused"),
        (PatchesAgain, "an acknowledged order was refused"),
    ],
)
def test_a_state_that_breaks_patches_is_noticed(broken: type[ConfigurationHistory], noticed: str) -> None:
    with pytest.raises(AssertionError, match=noticed):
        played(history_class=broken, steps=scenario_of_patches)


def test_patches_judged_on_arrival_are_noticed() -> None:
    with pytest.raises(AssertionError, match="a patch of another base"):
        played(make_group=JudgedOnArrival, steps=scenario_of_patches)


@pytest.mark.parametrize(
    ("broken", "noticed"),
    [
        (RejectsUnknownOutcomes, "a loser is in force"),
        (AcknowledgesUnknownOutcomes, "two changes on one version"),
    ],
)
def test_a_wrong_answer_to_an_unknown_outcome_is_noticed(broken: type[Group], noticed: str) -> None:
    with pytest.raises(AssertionError, match=noticed):
        played(make_group=broken)
