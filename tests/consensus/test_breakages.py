"""Each rule is needed: broken alone, it is caught; kept, the same courses of events do no harm."""

from collections.abc import Callable

import pytest

from pewterring.consensus.raft import Raft
from tests.consensus import breakages, scenarios
from tests.consensus.memory_storage import StorageMisused
from tests.consensus.parts import Violation
from tests.consensus.schedules import play

Scenario = Callable[[int, type[Raft]], None]
SEEDS = 6

PAIRS: list[tuple[Scenario, type[Raft]]] = [
    (scenarios.vote_lost_with_power, breakages.VoteBeforeSync),
    (scenarios.follower_loses_entry, breakages.AnswerBeforeSync),
    (scenarios.leader_loses_entry, breakages.CountsOwnUnsaved),
    (scenarios.old_entry_overwritten, breakages.CommitsOldTerm),
    (scenarios.rival_under_lease, breakages.VotesAgainAtOnce),
    (scenarios.rival_under_lease, breakages.VotesWhileLed),
    (scenarios.rival_under_lease, breakages.LeaseOutlastsHoldback),
    (scenarios.answers_wait_out_a_freeze, breakages.ChecksLeaseBeforeFreeze),
    (scenarios.answers_wait_out_a_freeze, breakages.CountsFromArrival),
    (scenarios.answers_wait_out_a_freeze, breakages.ReadsByEarlierRound),
    (scenarios.wiped_voter_and_rival, breakages.KeepsItsName),
    (scenarios.back_in_a_later_term, breakages.StepsDownAtOnce),
    (scenarios.late_snapshot, breakages.SnapshotOverNewer),
    (scenarios.leader_lost_amid_snapshot, breakages.PartsOfTwoSnapshots),
    (scenarios.part_lost_amid_window, breakages.PartsWithGaps),
    (scenarios.part_lost_amid_window, breakages.GoesOnBehindLosses),
    (scenarios.power_lost_after_snapshot, breakages.CompactedIsSaved),
]


@pytest.mark.parametrize(("scenario", "broken"), PAIRS, ids=lambda value: value.__name__)
def test_broken_rule_is_caught(scenario: Scenario, broken: type[Raft]) -> None:
    with pytest.raises((Violation, StorageMisused)):
        for seed in range(SEEDS):
            scenario(seed, broken)


@pytest.mark.parametrize("scenario", dict(PAIRS), ids=lambda value: value.__name__)
def test_kept_rules_do_no_harm(scenario: Scenario) -> None:
    for seed in range(SEEDS):
        scenario(seed, Raft)


@pytest.mark.parametrize("broken", [breakages.ReadsWithoutLease, breakages.ReadsBeforeOwnEntry])
def test_stale_read_is_caught_by_schedules(broken: type[Raft]) -> None:
    with pytest.raises(Violation):
        for seed in range(60):
            play(seed, 3 + 2 * (seed % 2), 150, broken)
