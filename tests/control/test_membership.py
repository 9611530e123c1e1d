"""How the members of the control group change."""

from pewterring.consensus.membership import check_change
from pewterring.consensus.messages import Membership
from pewterring.control.membership import MembershipPlanner, caught_up_members

A, B, C = "10.0.0.1#seed", "10.0.0.2#seed", "10.0.0.3#seed"
STEP_S = 0.25


class Group:
    """Applies what the planner at member A says, while `alive` members are heard and caught up."""

    def __init__(self, voters: tuple[str, ...], *alive: str, wanted: int = 3) -> None:
        self.now = 0.0
        self.membership = Membership(voters)
        self.alive = set(alive)
        self.behind: set[str] = set()
        self.changes = 0
        self.planner = MembershipPlanner(A, wanted)
        self.planner.start(self.now, self.membership)

    def run(self, seconds: float, asking: tuple[str, ...] = ()) -> None:
        end = self.now + seconds
        while self.now < end:
            for member in asking:
                self.planner.ask(self.now, member)
            self.step()

    def step(self) -> None:
        members = {*self.membership.voters, *self.membership.learners}
        for member in self.alive & members:
            self.planner.hear(self.now, member)
        change = self.planner.plan(self.now, self.membership, (self.alive & members) - self.behind)
        if change is not None:
            check_change(self.membership, change)
            assert A in change.voters
            self.membership = change
            self.changes += 1
        self.now += STEP_S


def test_nothing_changes_while_all_is_well() -> None:
    group = Group((A, B, C), A, B, C)
    group.run(20.0)
    assert group.changes == 0


def test_a_silent_voter_stays_where_nobody_can_take_its_place() -> None:
    group = Group((A, B, C), A, B)
    group.run(20.0)
    assert group.membership.voters == (A, B, C)


def test_a_lost_disk_is_replaced_by_its_new_name() -> None:
    again = "10.0.0.3#new"
    group = Group((A, B, C), A, B, again)
    group.run(1.0, asking=(again,))
    group.run(1.0)
    assert group.membership == Membership((A, B, again))


def test_a_new_machine_takes_the_place_of_a_silent_one_only() -> None:
    new = "10.0.0.4#new"
    group = Group((A, B, C), A, B, C, new)
    group.run(5.0, asking=(new,))
    assert group.membership == Membership((A, B, C), (new,))
    group.alive.discard(C)
    group.run(1.5)
    assert group.membership == Membership((A, B, C), (new,))
    group.run(1.5)
    assert group.membership == Membership((A, B, new))


def test_a_learner_that_lags_does_not_become_a_voter() -> None:
    new = "10.0.0.4#new"
    group = Group((A, B, C), A, B, new)
    group.behind.add(new)
    group.run(5.0, asking=(new,))
    assert group.membership == Membership((A, B, C), (new,))
    group.behind.clear()
    group.run(1.0)
    assert group.membership == Membership((A, B, new))


def test_voters_are_added_up_to_the_wanted_number() -> None:
    group = Group((A, B, C), A, B, C, "10.0.0.4#x", "10.0.0.5#x", "10.0.0.6#x", wanted=5)
    group.run(4.0, asking=("10.0.0.4#x", "10.0.0.5#x", "10.0.0.6#x"))
    assert len(group.membership.voters) == 5
    assert len(group.membership.learners) == 1


def test_a_learner_that_lost_its_disk_is_replaced_and_a_silent_one_dropped() -> None:
    group = Group((A, B, C), A, B, C)
    group.run(0.5, asking=("10.0.0.4#x",))
    group.run(0.5, asking=("10.0.0.4#y",))
    assert group.membership.learners == ("10.0.0.4#y",)
    group.run(15.0)
    assert group.membership == Membership((A, B, C))


def test_a_leader_that_was_held_up_replaces_nobody() -> None:
    group = Group((A, B, C), A, B, C, "10.0.0.4#x")
    group.run(2.0, asking=("10.0.0.4#x",))
    group.now += 30.0
    group.run(2.0)
    assert group.membership.voters == (A, B, C)


def test_members_that_hold_all_that_is_committed_are_caught_up() -> None:
    membership = Membership((A, B), (C,))
    assert caught_up_members(membership, {A: 9, B: 8, C: 9}, 9) == {A, C}
