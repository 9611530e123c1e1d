"""All interleavings of three instances to a small depth; broken variants are refuted."""

import pytest

from pewterring.lab.explore import Found, Make, explore, fresh
from pewterring.membership.protocol import MembershipProtocol


class NeverRefutes(MembershipProtocol):
    def refute(self, incarnation: int) -> None:
        """Leaves what is said of it as it is."""


class RefutesTooLow(MembershipProtocol):
    def refute(self, incarnation: int) -> None:
        self.identity.incarnation = incarnation  # not above what was said of it


def variant(kind: type[MembershipProtocol]) -> Make:
    def make(number: int, size: int, start_id: int) -> MembershipProtocol:
        plain = fresh(number, size, start_id)
        return kind(number, size, start_id, plain.rng, plain.settings)

    return make


def test_every_interleaving_ends_in_agreement() -> None:
    states, tried = explore(size=3, depth=2, crashes=1)
    assert states > 50
    assert tried > states


@pytest.mark.parametrize("kind", [NeverRefutes, RefutesTooLow])
def test_broken_variants_are_refuted(kind: type[MembershipProtocol]) -> None:
    with pytest.raises(Found) as found:
        explore(size=3, depth=2, crashes=1, make=variant(kind))
    assert "cut off" in str(found.value)
