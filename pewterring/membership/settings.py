"""The settings of the membership protocol."""

from dataclasses import dataclass

from pewterring.membership.errors import MembershipError

MUST_BE_POSITIVE = ("period_s", "suspicion_factor", "retransmit_factor", "dead_retention_s")


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """Settings that all instances of a fleet must share. Raises `MembershipError` for an invalid value."""

    period_s: float = 0.5  # each instance probes one other member per period
    indirect_probes: int = 3  # members that are requested to ping a member that does not answer
    suspicion_factor: float = 3.0  # suspicion timeout in periods, multiplied by log2 of the fleet size
    retransmit_factor: float = 3.0  # sends of an update per instance, multiplied by log2 of the fleet size
    dead_retention_s: float = 120.0  # dead members are remembered, so that stale updates do not revive them
    unanswered_chance: float = 0.01  # target for a live member in one period, which more probes achieve
    max_probes: int = 4  # direct pings per period

    def __post_init__(self) -> None:
        for name in MUST_BE_POSITIVE:
            if not getattr(self, name) > 0:
                raise MembershipError(f"{name} must be above 0")
