"""Join requests: which members send them, and whether a receiver records or forwards them."""

import asyncio
from typing import cast

import msgspec
import pytest

from pewterring.consensus.group import ReplicatedGroup
from pewterring.consensus.messages import Membership
from pewterring.control.join_protocol import FIRST_JOIN_INTERVAL_S, JOIN_INTERVAL_S, JoinProtocol
from pewterring.control.join_requests import JoinRequests
from pewterring.control.leadership import GroupLeadership
from pewterring.control.messages import JoinGroup
from pewterring.transport.lines import LinkPool
from tests.consensus.virtual_time import run
from tests.control.group_stand_in import StandInGroup
from tests.node_settings import addresses, node_settings

OWN_IP, LEADER_IP, SEED_IP = "10.0.0.1", "10.0.0.2", "10.0.0.9"
OTHER = "10.0.0.4#d"


class Links:
    """Records sent messages."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, msgspec.Struct]] = []

    def send(self, ip: str, message: msgspec.Struct) -> None:
        self.sent.append((ip, message))


class Joining:
    """The join protocol of one member of three."""

    def __init__(self, leader: str | None, leads: bool = False) -> None:
        self.group = StandInGroup()
        self.group.leader = leader
        self.links = Links()
        self.requests = JoinRequests()
        group = cast(ReplicatedGroup, self.group)
        leadership = GroupLeadership(group, lambda: 1.0)
        leadership.ready = leads
        settings = node_settings("control", OWN_IP, seeds=addresses((SEED_IP,), 1))
        self.protocol = JoinProtocol(settings, group, leadership, cast(LinkPool, self.links), self.requests)

    def recorded(self) -> tuple[str, ...]:
        return tuple(self.requests.candidates(1.0).joining)


def test_the_leader_records_a_request() -> None:
    joining = Joining(leader=f"{OWN_IP}#a", leads=True)
    joining.protocol.receive(1.0, JoinGroup(OTHER))
    assert joining.recorded() == (OTHER,)
    assert joining.links.sent == []


@pytest.mark.parametrize(
    ("leader", "forwarded", "sent"),
    [
        (f"{LEADER_IP}#b", False, [(LEADER_IP, JoinGroup(OTHER, forwarded=True))]),
        (f"{LEADER_IP}#b", True, []),  # members with stale views could otherwise forward it in a circle
        (f"{OWN_IP}#a", False, []),  # a leader that has not applied all earlier entries yet
        (None, False, []),
    ],
)
def test_a_follower_forwards_a_request_once(
    leader: str | None, forwarded: bool, sent: list[tuple[str, JoinGroup]]
) -> None:
    joining = Joining(leader)
    joining.protocol.receive(1.0, JoinGroup(OTHER, forwarded))
    assert joining.recorded() == ()
    assert joining.links.sent == sent


def test_a_member_that_is_not_a_voter_sends_requests_to_all_known_machines() -> None:
    async def scenario() -> None:
        joining = Joining(leader=f"{LEADER_IP}#b")
        joining.group.membership = Membership(("10.0.0.2#b", "10.0.0.3#c"))
        running = asyncio.create_task(joining.protocol.run())
        await asyncio.sleep(1.5 * JOIN_INTERVAL_S)
        expected = [(ip, JoinGroup(joining.group.member)) for ip in (LEADER_IP, "10.0.0.3", SEED_IP)]
        assert joining.links.sent == 2 * expected
        running.cancel()

    run(scenario())


@pytest.mark.parametrize(("leader", "requests"), [(f"{LEADER_IP}#b", False), (None, True)])
def test_a_voter_sends_no_requests_while_it_follows_a_leader(leader: str | None, requests: bool) -> None:
    async def scenario() -> None:
        joining = Joining(leader)
        running = asyncio.create_task(joining.protocol.run())
        await asyncio.sleep(0)
        assert bool(joining.links.sent) == requests
        assert joining.protocol.is_voter != requests
        running.cancel()

    run(scenario())


def test_a_member_that_knows_no_leader_sends_requests_more_often() -> None:
    """Requests are lost while there is no leader, and an incomplete group tolerates fewer failures."""

    async def scenario() -> None:
        joining = Joining(leader=None)
        running = asyncio.create_task(joining.protocol.run())
        await asyncio.sleep(2.5 * FIRST_JOIN_INTERVAL_S)
        targets = {ip for ip, _request in joining.links.sent}
        assert len(joining.links.sent) == 3 * len(targets)
        running.cancel()

    run(scenario())
