"""Decisions on the members of a partition's group."""

from pewterring.batch.members import ABSENT_S, MemberPlanner
from pewterring.consensus.messages import Membership
from pewterring.distribution.messages import NodeRecord

OWN = "10.0.0.1#a"
SECOND = "10.0.0.2#b"
THIRD = "10.0.0.3#c"
FOURTH = "10.0.0.4#d"
THIRD_EMPTY = "10.0.0.3#new"
COMMIT = 100
USUAL = Membership(voters=(OWN, SECOND, THIRD))


def store(member: str, zone: str = "", retiring: bool = False) -> NodeRecord:
    ip = member.partition("#")[0]
    return NodeRecord("node-" + ip, "store", ip, zone or ip, "life", member, retiring)


def planner(*nodes: NodeRecord, tolerated: int = 1) -> MemberPlanner:
    made = MemberPlanner(OWN, tolerated)
    made.observe(nodes)
    return made


def caught_up(_member: str) -> int:
    return COMMIT


def behind(_member: str) -> int:
    return 0


def follow(
    planned: MemberPlanner, membership: Membership, now: float = 0.0, seconds: float = 10.0
) -> list[Membership]:
    """All changes, one after the other, with learners that catch up at once."""
    changes: list[Membership] = []
    while now < seconds:
        change = planned.next_change(now, membership, caught_up, COMMIT)
        if change is None:
            now += 0.5
            continue
        voters, wanted = set(membership.voters), set(change.voters)
        assert len(voters ^ wanted) <= 1, "one voter at a time"
        membership = change
        changes.append(change)
    return changes


def test_nothing_changes_while_all_voters_are_good() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD), store(FOURTH))
    assert follow(planned, USUAL) == []


def test_a_lost_disk_is_replaced_at_once() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD_EMPTY))
    first = planned.next_change(0.0, USUAL, behind, COMMIT)
    assert first == Membership(USUAL.voters, (THIRD_EMPTY,))
    assert planned.next_change(0.0, first, behind, COMMIT) is None
    assert follow(planned, first)[-1] == Membership((OWN, SECOND, THIRD_EMPTY))


def test_the_lost_voter_is_removed_before_the_learner_votes() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD_EMPTY))
    removed, promoted = follow(planned, Membership(USUAL.voters, (THIRD_EMPTY,)))
    assert removed == Membership((OWN, SECOND), (THIRD_EMPTY,))
    assert promoted == Membership((OWN, SECOND, THIRD_EMPTY))


def test_an_absent_voter_is_lost_after_a_while_only() -> None:
    planned = planner(store(OWN), store(SECOND), store(FOURTH))
    assert planned.next_change(0.0, USUAL, behind, COMMIT) is None
    assert planned.next_change(ABSENT_S, USUAL, behind, COMMIT) is None
    change = planned.next_change(ABSENT_S + 0.1, USUAL, behind, COMMIT)
    assert change == Membership(USUAL.voters, (FOURTH,))


def test_absence_counts_anew_after_the_tables_were_not_current() -> None:
    planned = planner(store(OWN), store(SECOND), store(FOURTH))
    planned.next_change(0.0, USUAL, behind, COMMIT)
    planned.forget_absences()
    assert planned.next_change(ABSENT_S + 0.1, USUAL, behind, COMMIT) is None


def test_a_voter_that_returns_keeps_its_place_and_the_learner_goes() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD), store(FOURTH))
    assert follow(planned, Membership(USUAL.voters, (FOURTH,))) == [USUAL]


def test_a_retiring_voter_leaves_after_its_successor_votes() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD, retiring=True), store(FOURTH))
    learner, four, three = follow(planned, USUAL)
    assert learner == Membership(USUAL.voters, (FOURTH,))
    assert four == Membership((*USUAL.voters, FOURTH))
    assert three == Membership((OWN, SECOND, FOURTH))


def test_a_retiring_voter_stays_while_nobody_can_take_its_place() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD, retiring=True))
    assert follow(planned, USUAL) == []


def test_stores_of_other_zones_are_preferred() -> None:
    same_zone = store("10.0.0.0#e", zone="10.0.0.2")
    planned = planner(store(OWN), store(SECOND), same_zone, store(FOURTH))
    planned.next_change(0.0, USUAL, behind, COMMIT)
    change = planned.next_change(3.0, USUAL, behind, COMMIT)
    assert change is not None
    assert change.learners == (FOURTH,)


def test_a_learner_whose_disk_was_lost_goes() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD_EMPTY))
    change = planned.next_change(0.0, Membership((OWN, SECOND), (THIRD,)), caught_up, COMMIT)
    assert change == Membership((OWN, SECOND))


def test_a_surplus_voter_goes_but_not_the_leader() -> None:
    planned = planner(store(OWN), store(SECOND), store(THIRD), store(FOURTH))
    assert follow(planned, Membership((SECOND, THIRD, FOURTH, OWN))) == [Membership((SECOND, THIRD, OWN))]


def test_two_lost_voters_of_five_are_replaced_one_after_the_other() -> None:
    fifth, sixth, seventh = "10.0.0.5#e", "10.0.0.6#f", "10.0.0.7#g"
    five = Membership((OWN, SECOND, THIRD, FOURTH, fifth))
    planned = planner(store(OWN), store(SECOND), store(THIRD), store(sixth), store(seventh), tolerated=2)
    changes = follow(planned, five)
    assert set(changes[-1].voters) == {OWN, SECOND, THIRD, sixth, seventh}
    assert changes[-1].learners == ()
