"""The choice of stores that may be members of a partition's group."""

from pewterring.batch.members import store_candidates
from pewterring.consensus.membership import address_of
from pewterring.consensus.messages import Membership
from pewterring.distribution.messages import NodeRecord
from tests.consensus.planned_group import PlannedGroupStandIn

OWN = "10.0.0.1#a"
SECOND = "10.0.0.2#b"
THIRD = "10.0.0.3#c"
FOURTH = "10.0.0.4#d"
THIRD_REPLACED = "10.0.0.3#new"
USUAL = Membership(voters=(OWN, SECOND, THIRD))
GATEWAY = NodeRecord("edge-1", "gateway", "10.0.0.9", "z", "life")


def store(member: str, zone: str = "", decommissioning: bool = False) -> NodeRecord:
    ip = address_of(member)
    return NodeRecord("node-" + ip, "store", ip, zone or ip, "life", member, decommissioning)


def test_stores_of_other_zones_come_first() -> None:
    same_zone = store("10.0.0.0#e", zone="10.0.0.2")
    nodes = (GATEWAY, same_zone, store(OWN), store(SECOND), store(FOURTH))
    candidates = store_candidates(nodes, USUAL)
    others = [member for member in candidates.joining if member not in USUAL.voters]
    assert others == [FOURTH, same_zone.member]


def test_the_zone_of_a_decommissioned_store_counts_as_a_zone_without_a_member() -> None:
    successor = store("10.0.0.8#h", zone="10.0.0.3")
    other = store("10.0.0.9#i", zone="10.0.0.2")
    nodes = (other, successor, store(OWN), store(SECOND), store(THIRD, decommissioning=True))
    candidates = store_candidates(nodes, USUAL)
    assert candidates.joining[0] == successor.member
    assert candidates.decommissioning == {THIRD}
    assert THIRD not in candidates.joining


def test_the_name_in_use_at_an_address_is_known() -> None:
    candidates = store_candidates((store(OWN), store(THIRD_REPLACED)), USUAL)
    assert candidates.current_names["10.0.0.3"] == THIRD_REPLACED


def test_a_spare_store_in_another_zone_replaces_a_lost_one() -> None:
    same_zone = store("10.0.0.0#e", zone="10.0.0.2")
    nodes = (same_zone, store(OWN), store(SECOND), store(FOURTH))
    group = PlannedGroupStandIn(USUAL, (OWN, SECOND, FOURTH, same_zone.member))
    group.run(10.0, joining=store_candidates(nodes, USUAL).joining)
    assert group.membership == Membership((OWN, SECOND, FOURTH))
