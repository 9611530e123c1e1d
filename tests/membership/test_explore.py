"""All interleavings of three instances to a small depth; broken variants are refuted."""

import pytest

from pewterring.lab.explore import Found, Make, explore, fresh
from pewterring.membership.members import Members


class NeverRefutes(Members):
    def refute(self, incarnation: int) -> None:
        pass


class RefutesTooLow(Members):
    def refute(self, incarnation: int) -> None:
        self.incarnation = incarnation  # not above what was said of it


def variant(kind: type[Members]) -> Make:
    def make(number: int, size: int, life: int) -> Members:
        plain = fresh(number, size, life)
        return kind(number, size, life, plain.rng, plain.setup)

    return make


def test_every_interleaving_settles() -> None:
    states, tried = explore(size=3, depth=2, crashes=1)
    assert states > 50
    assert tried > states


@pytest.mark.parametrize("kind", [NeverRefutes, RefutesTooLow])
def test_broken_variants_are_refuted(kind: type[Members]) -> None:
    with pytest.raises(Found) as found:
        explore(size=3, depth=2, crashes=1, make=variant(kind))
    assert "cut off" in str(found.value)
