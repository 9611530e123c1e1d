"""Explores all interleavings of three instances to a small depth, and detects faulty variants."""

import pytest

from pewterring.lab.explore import Found, Make, explore, fresh
from pewterring.membership.protocol import MembershipProtocol


class NeverRefutes(MembershipProtocol):
    def refute(self, incarnation: int) -> None:
        """Does not refute."""


class RefutesTooLow(MembershipProtocol):
    def refute(self, incarnation: int) -> None:
        self.identity.incarnation = incarnation  # not above that of the wrong update


def variant(variant_class: type[MembershipProtocol]) -> Make:
    def make(number: int, size: int, start_id: int) -> MembershipProtocol:
        standard = fresh(number, size, start_id)
        return variant_class(number, size, start_id, standard.rng, standard.settings)

    return make


def test_every_interleaving_ends_in_agreement() -> None:
    states, tried = explore(size=3, depth=2, crashes=1)
    assert states > 50
    assert tried > states


@pytest.mark.parametrize("variant_class", [NeverRefutes, RefutesTooLow])
def test_faulty_variants_are_detected(variant_class: type[MembershipProtocol]) -> None:
    with pytest.raises(Found) as found:
        explore(size=3, depth=2, crashes=1, make=variant(variant_class))
    assert "cut off" in str(found.value)
