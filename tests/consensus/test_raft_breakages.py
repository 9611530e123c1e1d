"""Each rule is needed: broken alone, it is caught; kept, the same courses of events do no harm."""

from collections.abc import Callable

import pytest

from pewterring.consensus.raft import Raft
from tests.consensus import raft_breakages, scenarios
from tests.consensus.memory_storage import StorageMisuseError
from tests.consensus.schedules import play
from tests.consensus.simulated_members import SafetyViolationError

Scenario = Callable[[int, type[Raft]], None]
SEEDS = 6

PAIRS: list[tuple[Scenario, type[Raft]]] = [
    (scenarios.vote_lost_with_power, raft_breakages.VoteBeforeSync),
    (scenarios.follower_loses_entry, raft_breakages.AnswerBeforeSync),
    (scenarios.leader_loses_entry, raft_breakages.CountsOwnUnsaved),
    (scenarios.old_entry_overwritten, raft_breakages.CommitsOldTerm),
    (scenarios.rival_under_lease, raft_breakages.VotesAgainAtOnce),
    (scenarios.rival_under_lease, raft_breakages.VotesWhileLed),
    (scenarios.rival_under_lease, raft_breakages.LeaseOutlastsHoldback),
    (scenarios.answers_wait_out_a_freeze, raft_breakages.ChecksLeaseBeforeFreeze),
    (scenarios.answers_wait_out_a_freeze, raft_breakages.CountsFromArrival),
    (scenarios.answers_wait_out_a_freeze, raft_breakages.ReadsByEarlierRound),
    (scenarios.wiped_voter_and_rival, raft_breakages.KeepsItsName),
    (scenarios.back_in_a_later_term, raft_breakages.StepsDownAtOnce),
    (scenarios.late_snapshot, raft_breakages.SnapshotOverNewer),
    (scenarios.leader_lost_amid_snapshot, raft_breakages.ChunksOfTwoSnapshots),
    (scenarios.chunk_lost_amid_window, raft_breakages.ChunksWithGaps),
    (scenarios.chunk_lost_amid_window, raft_breakages.GoesOnBehindLosses),
    (scenarios.power_lost_after_snapshot, raft_breakages.CompactedIsSaved),
]


def _play_seeds(scenario: Scenario, raft_class: type[Raft]) -> None:
    for seed in range(SEEDS):
        scenario(seed, raft_class)


@pytest.mark.parametrize(("scenario", "broken"), PAIRS, ids=lambda value: value.__name__)
def test_broken_rule_is_caught(scenario: Scenario, broken: type[Raft]) -> None:
    with pytest.raises((SafetyViolationError, StorageMisuseError)):
        _play_seeds(scenario, broken)


@pytest.mark.parametrize("scenario", dict(PAIRS), ids=lambda value: value.__name__)
def test_kept_rules_do_no_harm(scenario: Scenario) -> None:
    _play_seeds(scenario, Raft)


@pytest.mark.parametrize("broken", [raft_breakages.ReadsWithoutLease, raft_breakages.ReadsBeforeOwnEntry])
def test_stale_read_is_caught_by_schedules(broken: type[Raft]) -> None:
    def play_schedules() -> None:
        for seed in range(60):
            play(seed, 3 + 2 * (seed % 2), 150, broken)

    with pytest.raises(SafetyViolationError):
        play_schedules()
