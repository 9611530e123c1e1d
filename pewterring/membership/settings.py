"""The figures of the membership protocol."""

from dataclasses import dataclass

from pewterring.membership.errors import MembershipError

MUST_BE_POSITIVE = ("period_s", "suspicion_factor", "retransmit_factor", "dead_retention_s")


@dataclass(frozen=True, slots=True)
class ProtocolSettings:
    """What all instances of a fleet have alike. Raises `MembershipError` where a figure cannot be used."""

    period_s: float = 0.5  # each instance probes one other in this
    indirect_probes: int = 3  # members that are requested to probe one that does not answer
    suspicion_factor: float = 3.0  # periods, times log2 of the fleet's size, that a suspect has to refute
    retransmit_factor: float = 3.0  # times log2 of the fleet's size: how often an instance sends an update
    dead_retention_s: float = 120.0  # the dead are remembered, so that old updates do not revive them
    unanswered_chance: float = 0.01  # aimed at for a live member's period; more probes keep it
    max_probes: int = 4  # in one period

    def __post_init__(self) -> None:
        for name in MUST_BE_POSITIVE:
            if not getattr(self, name) > 0:
                raise MembershipError(f"{name} must be above 0")
