"""Each broken rule violates an invariant in its scenario; without a broken rule no scenario does."""

from collections.abc import Callable

import pytest

from pewterring.consensus.raft import Raft
from tests.consensus import raft_breakages, scenarios
from tests.consensus.memory_storage import StorageMisuseError
from tests.consensus.schedules import run_schedule
from tests.consensus.simulated_members import SafetyViolationError

Scenario = Callable[[int, type[Raft]], None]
SEEDS = 6

SCENARIOS_AND_BREAKAGES: list[tuple[Scenario, type[Raft]]] = [
    (scenarios.vote_lost_with_power, raft_breakages.VoteBeforeSync),
    (scenarios.follower_loses_entry, raft_breakages.ReplyBeforeSync),
    (scenarios.leader_loses_entry, raft_breakages.CountsOwnUnpersisted),
    (scenarios.old_entry_overwritten, raft_breakages.CommitsOldTerm),
    (scenarios.candidate_during_lease, raft_breakages.VotesRightAfterRestart),
    (scenarios.candidate_during_lease, raft_breakages.VotesDuringLease),
    (scenarios.candidate_during_lease, raft_breakages.LeaseOutlastsWithheldVotes),
    (scenarios.leader_frozen_with_replies_in_flight, raft_breakages.ChecksLeaseBeforeFreeze),
    (scenarios.leader_frozen_with_replies_in_flight, raft_breakages.CountsLeaseFromArrival),
    (scenarios.leader_frozen_with_replies_in_flight, raft_breakages.ReadsByEarlierRound),
    (scenarios.wiped_voter_and_stale_candidate, raft_breakages.KeepsNameAfterDiskLoss),
    (scenarios.reconnects_in_a_later_term, raft_breakages.StepsDownForLaterTerm),
    (scenarios.late_snapshot, raft_breakages.InstallsOlderSnapshot),
    (scenarios.leader_crashes_during_snapshot, raft_breakages.MixesChunksOfSnapshots),
    (scenarios.chunk_lost_within_window, raft_breakages.IgnoresChunkGaps),
    (scenarios.chunk_lost_within_window, raft_breakages.NeverRetransmitsChunks),
    (scenarios.power_lost_after_snapshot, raft_breakages.CountsCompactedAsPersisted),
]


def _run_seeds(scenario: Scenario, raft_class: type[Raft]) -> None:
    for seed in range(SEEDS):
        scenario(seed, raft_class)


@pytest.mark.parametrize(
    ("scenario", "broken_raft"), SCENARIOS_AND_BREAKAGES, ids=lambda value: value.__name__
)
def test_a_broken_rule_is_detected(scenario: Scenario, broken_raft: type[Raft]) -> None:
    with pytest.raises((SafetyViolationError, StorageMisuseError)):
        _run_seeds(scenario, broken_raft)


@pytest.mark.parametrize("scenario", dict(SCENARIOS_AND_BREAKAGES), ids=lambda value: value.__name__)
def test_the_unmodified_core_violates_no_invariant(scenario: Scenario) -> None:
    _run_seeds(scenario, Raft)


@pytest.mark.parametrize(
    "broken_raft", [raft_breakages.ReadsWithoutLease, raft_breakages.ReadsBeforeOwnEntry]
)
def test_random_schedules_detect_a_stale_read(broken_raft: type[Raft]) -> None:
    def run_schedules() -> None:
        for seed in range(60):
            run_schedule(seed, 3 + 2 * (seed % 2), 150, broken_raft)

    with pytest.raises(SafetyViolationError):
        run_schedules()
